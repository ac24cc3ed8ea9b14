"""Status of an instance, derived from the published list and peers' evidence."""

import math
from enum import StrEnum
from typing import NamedTuple

from chervilpitch.model import Instance, InstanceState

from .evidence import SUSPECT_AFTER_S, Evidence, is_heard

__all__ = ["Condition", "InstanceStatus", "StatusInputs", "derive_status"]

GONE_AFTER_S = 30.0


class Condition(StrEnum):
    """Condition of an instance as observed by its peers.

    ``LEAVING`` has begun a graceful stop. ``SUSPECT`` does not send the expected
    heartbeats or is reported as silent. ``GONE`` has no recent heartbeat
    and is leaving or not on the published list.
    """

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    GONE = "gone"


class InstanceStatus(NamedTuple):
    """An instance and its observed status.

    Parameters
    ----------
    instance : Instance
        The instance as described by its preferred incarnation or by the list.
    condition : Condition
        Its condition.
    two_way : bool
        Whether heartbeats arrive in both directions, or none are expected.
    listed : bool
        Whether it is on the published list.
    """

    instance: Instance
    condition: Condition
    two_way: bool = True
    listed: bool = True


class StatusInputs(NamedTuple):
    """Inputs of the status of one instance; times are monotonic seconds.

    Parameters
    ----------
    listed : Instance or None
        The instance on the published list.
    leaving_listed_at_s : float
        Time at which the list first showed it leaving; infinity for never.
    delisted_at_s : float
        Time at which it left the list; minus infinity for never.
    incarnations : tuple of Evidence
        Evidence about each incarnation.
    expected_since_s : float or None
        Time since when it should send heartbeats to this instance; None if it
        need not.
    is_reported_silent : bool
        Whether at least ``MIN_OBSERVERS`` other instances reported it as silent.
    was_gone : bool
        Whether its last condition was gone and no news has arrived since.
    """

    listed: Instance | None
    leaving_listed_at_s: float
    delisted_at_s: float
    incarnations: tuple[Evidence, ...]
    expected_since_s: float | None
    is_reported_silent: bool = False
    was_gone: bool = False


def derive_status(inputs: StatusInputs, now_s: float) -> InstanceStatus:
    """Derive the status of an instance from the list and the peers' evidence.

    Heartbeats take precedence over reports, and reports over the list. But an
    instance that the list shows leaving stays leaving unless an incarnation was
    first known later.

    Parameters
    ----------
    inputs : StatusInputs
        Inputs for one instance; it is on the list or has an incarnation.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    InstanceStatus
        The derived status.
    """
    best = _preferred_incarnation(inputs.incarnations, now_s)
    instance = _describe(inputs, best)
    heard = best is not None and is_heard(best, now_s)
    condition = _condition(inputs, best, now_s)
    if condition is Condition.LEAVING:
        instance = instance._replace(state=InstanceState.LEAVING)
    hears_us = heard and best.hears_us_at_s == best.heard_at_s
    two_way = hears_us if heard else condition is Condition.LIVE
    return InstanceStatus(instance, condition, two_way, inputs.listed is not None)


def _preferred_incarnation(
    incarnations: tuple[Evidence, ...], now_s: float
) -> Evidence | None:
    """Return the incarnation to use if several are known.

    Incarnations with a recent heartbeat are preferred. Start times come from
    different wall clocks, so they matter only if heartbeats do not decide.
    """
    return max(
        incarnations,
        key=lambda evidence: (
            is_heard(evidence, now_s),
            is_heard(evidence, now_s) and not evidence.announcement.leaving,
            evidence.announcement.started_wall_ms,
            evidence.known_at_s,
        ),
        default=None,
    )


def _describe(inputs: StatusInputs, best: Evidence | None) -> Instance:
    """Return the instance with the addresses of the preferred incarnation."""
    if best is None:
        return inputs.listed._replace(state=InstanceState.LIVE)
    announced = best.announcement
    return Instance(
        announced.name,
        announced.seat,
        announced.failure_domain,
        announced.callers_address,
        announced.peers_address,
    )


def _condition(inputs: StatusInputs, best: Evidence | None, now_s: float) -> Condition:
    silent_since_s = _silent_since_s(inputs, best, now_s)
    if inputs.was_gone and not (best and is_heard(best, now_s)):
        return Condition.GONE
    if _is_leaving(inputs, best):
        is_over = now_s - silent_since_s > GONE_AFTER_S
        return Condition.GONE if is_over else Condition.LEAVING
    if best is not None and is_heard(best, now_s):
        return Condition.LIVE
    if inputs.listed is None:
        if best.news_at_s <= inputs.delisted_at_s:
            return Condition.GONE
        if now_s - silent_since_s > GONE_AFTER_S:
            return Condition.GONE
    if inputs.is_reported_silent or now_s - silent_since_s > SUSPECT_AFTER_S:
        return Condition.SUSPECT
    return Condition.LIVE


def _is_leaving(inputs: StatusInputs, best: Evidence | None) -> bool:
    if best is None:
        return inputs.listed.state is InstanceState.LEAVING
    if best.announcement.leaving:
        return True
    return best.known_at_s <= inputs.leaving_listed_at_s < math.inf


def _silent_since_s(inputs: StatusInputs, best: Evidence | None, now_s: float) -> float:
    """Return since when heartbeats are missing; ``now_s`` if none are expected."""
    if inputs.expected_since_s is None:
        return now_s
    if best is None:
        return inputs.expected_since_s
    return max(inputs.expected_since_s, best.heard_at_s)
