"""Whether an instance can know that no key was withdrawn without its notice."""

from enum import StrEnum

from result import Err, Ok, Result

from chervilpitch.model import (
    Effect,
    Event,
    Instance,
    Record,
    Refusal,
    RefusalKind,
    RunState,
    region_of,
)

from .freshness import Freshness

__all__ = ["Evidence", "check_freshness", "current_evidence", "tick"]

MAX_GO_TO = 3


class Evidence(StrEnum):
    """What the trust in the catalogue in force rests on."""

    PLATFORM = "platform"
    FLEET = "fleet"
    REGION = "region"
    SOLE_INSTANCE = "sole-instance"
    BEHIND = "behind"
    NONE = "none"


def current_evidence(state: Freshness, now_s: float) -> Evidence:
    """Return what the trust in the catalogue in force rests on.

    Parameters
    ----------
    state : Freshness
        The evidence.
    now_s : float
        Monotonic time in seconds, read for this request.

    Returns
    -------
    Evidence
        ``NONE`` and ``BEHIND`` are no ground to serve.
    """
    if state.revision == 0:
        return Evidence.NONE
    if state.is_behind(now_s):
        return Evidence.BEHIND
    if state.is_platform_heard(now_s):
        return Evidence.PLATFORM
    if not state.others:
        return Evidence.SOLE_INSTANCE if state.has_list else Evidence.NONE
    if state.are_remote_heard(now_s):
        return Evidence.FLEET
    if state.is_region_heard(now_s):
        return Evidence.REGION
    return Evidence.NONE


def check_freshness(state: Freshness, now_s: float) -> Result[None, Refusal]:
    """Check that a withdrawn key would have been heard of.

    Parameters
    ----------
    state : Freshness
        The evidence.
    now_s : float
        Monotonic time in seconds, read for this request.

    Returns
    -------
    Result[None, Refusal]
        ``KEYS_NOT_FRESH`` with other instances to go to.
    """
    if current_evidence(state, now_s) in (Evidence.NONE, Evidence.BEHIND):
        go_to = _go_to(state)
        return Err(Refusal(RefusalKind.KEYS_NOT_FRESH, RunState.NOT_RUN, go_to))
    return Ok(None)


def tick(state: Freshness, now_s: float) -> tuple[Effect, ...]:
    """Report a change of the evidence.

    Parameters
    ----------
    state : Freshness
        The evidence; changed.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        An event when the evidence is another than at the last call.
    """
    found = current_evidence(state, now_s).value
    if found == state.reported:
        return ()
    state.report(found)
    event = Event("accounts", "key-evidence-changed", state.instance.name, found)
    return (Record(event),)


def _go_to(state: Freshness) -> tuple[str, ...]:
    def distance(item: Instance):
        domain = state.instance.failure_domain
        is_far = region_of(item.failure_domain) != region_of(domain)
        return is_far, item.failure_domain == domain, item.name

    nearest = sorted(state.others, key=distance)[:MAX_GO_TO]
    return tuple(item.callers_address for item in nearest)
