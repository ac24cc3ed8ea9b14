"""Checks whether an instance would know of a key that was withdrawn."""

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

MAX_ALTERNATIVES = 3


class Evidence(StrEnum):
    """Kind of evidence that the catalogue in force is the newest one.

    ``PLATFORM``: a recent read of the platform. ``FLEET``: recent answers of
    enough peers in other regions. ``REGION``: recent answers of enough peers in
    the same region. ``SOLE_INSTANCE``: no other instance is listed. ``BEHIND``: a
    newer revision has been missing for too long. ``NONE``: no evidence.
    """

    PLATFORM = "platform"
    FLEET = "fleet"
    REGION = "region"
    SOLE_INSTANCE = "sole-instance"
    BEHIND = "behind"
    NONE = "none"


def current_evidence(state: Freshness, now_s: float) -> Evidence:
    """Return the evidence that the catalogue in force is the newest one.

    Parameters
    ----------
    state : Freshness
        The evidence.
    now_s : float
        Monotonic time in seconds, read for this request.

    Returns
    -------
    Evidence
        With ``NONE`` and ``BEHIND`` requests must be refused.
    """
    if state.revision == 0:
        return Evidence.NONE
    if state.is_behind(now_s):
        return Evidence.BEHIND
    if state.is_platform_fresh(now_s):
        return Evidence.PLATFORM
    if not state.others:
        return Evidence.SOLE_INSTANCE if state.has_instance_list else Evidence.NONE
    if state.has_remote_quorum(now_s):
        return Evidence.FLEET
    if state.has_region_quorum(now_s):
        return Evidence.REGION
    return Evidence.NONE


def check_freshness(state: Freshness, now_s: float) -> Result[None, Refusal]:
    """Check that the instance would know of a withdrawn key.

    Parameters
    ----------
    state : Freshness
        The evidence.
    now_s : float
        Monotonic time in seconds, read for this request.

    Returns
    -------
    Result[None, Refusal]
        ``KEYS_NOT_FRESH`` with addresses of other instances.
    """
    if current_evidence(state, now_s) in (Evidence.NONE, Evidence.BEHIND):
        addresses = _alternative_addresses(state)
        return Err(Refusal(RefusalKind.KEYS_NOT_FRESH, RunState.NOT_RUN, addresses))
    return Ok(None)


def tick(state: Freshness, now_s: float) -> tuple[Effect, ...]:
    """Return an event if the evidence has changed.

    Parameters
    ----------
    state : Freshness
        The evidence; modified in place.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        An event if the evidence differs from that of the last call.
    """
    evidence = current_evidence(state, now_s).value
    if evidence == state.reported:
        return ()
    state.set_reported(evidence)
    event = Event("accounts", "key-evidence-changed", state.instance.name, evidence)
    return (Record(event),)


def _alternative_addresses(state: Freshness) -> tuple[str, ...]:
    def distance(item: Instance):
        domain = state.instance.failure_domain
        is_far = region_of(item.failure_domain) != region_of(domain)
        return is_far, item.failure_domain == domain, item.name

    nearest = sorted(state.others, key=distance)[:MAX_ALTERNATIVES]
    return tuple(item.callers_address for item in nearest)
