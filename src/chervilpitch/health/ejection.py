"""Eject and readmit upstreams without going below the capacity floor."""

import math
from collections.abc import Iterable

from chervilpitch.model import Event, Record

from .evidence import failure_score
from .outliers import is_outlier, is_service_wide
from .scores import EJECT_SCORE, NO_SCORES
from .state import NEVER_S, HealthState

__all__ = [
    "FLOOR_SHARE",
    "capacity",
    "eject_failing",
    "extend_ejection",
    "is_eligible",
    "non_draining_upstreams",
    "ramp_weight",
    "readmit",
    "required_capacity",
    "reset_stale_scores",
    "restore_floor",
]

FLOOR_SHARE = 0.6
FIRST_EJECTION_S = 5.0
LONGEST_EJECTION_S = 300.0
MAX_EJECTIONS = 8
EJECTION_DECAY_S = 120.0
RAMP_S = 10.0
RAMP_START_WEIGHT = 0.1
SCORE_TTL_S = 15.0
RAMP_EJECT_SCORE = 0.6 * EJECT_SCORE
SLOT_TOLERANCE = 1e-9


def is_draining(state: HealthState, name: str, now_s: float) -> bool:
    """Return whether an upstream drains, as declared or as it announced."""
    record = state.upstreams[name]
    return record.upstream.draining or now_s < record.draining_until_at_s


def is_eligible(state: HealthState, name: str, now_s: float) -> bool:
    """Return whether an upstream may get new requests."""
    if is_draining(state, name, now_s):
        return False
    return state.upstreams[name].ejected_until_at_s is None


def ramp_weight(state: HealthState, name: str, now_s: float) -> float:
    """Return the share of the normal traffic; below 1 only during a ramp."""
    left_s = state.upstreams[name].ramp_ends_at_s - now_s
    if left_s <= 0:
        return 1.0
    progress = 1.0 - left_s / RAMP_S
    return max(
        RAMP_START_WEIGHT, RAMP_START_WEIGHT + (1.0 - RAMP_START_WEIGHT) * progress
    )


def non_draining_upstreams(
    state: HealthState, service: str, now_s: float
) -> tuple[str, ...]:
    """Return the upstreams of a service that are not draining."""
    names = state.services.get(service, ())
    return tuple(name for name in names if not is_draining(state, name, now_s))


def capacity(state: HealthState, service: str, now_s: float) -> float:
    """Return the eligible slots of a service, weighted by the ramp.

    Parameters
    ----------
    state : HealthState
        Not changed.
    service : str
        Name of the service.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    float
        Slots.
    """
    return sum(
        _slots(state, name) * ramp_weight(state, name, now_s)
        for name in state.services.get(service, ())
        if is_eligible(state, name, now_s)
    )


def required_capacity(state: HealthState, service: str, now_s: float) -> float:
    """Return the floor: the capacity that ejection must leave.

    Parameters
    ----------
    state : HealthState
        Not changed.
    service : str
        Name of the service.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    float
        Slots: a fixed share of the declared ones, or all that are not draining if
        those are fewer.
    """
    declared = sum(_slots(state, name) for name in state.services.get(service, ()))
    usable = sum(
        _slots(state, name) for name in non_draining_upstreams(state, service, now_s)
    )
    return min(FLOOR_SHARE * declared, usable)


def eject_failing(
    state: HealthState, names: Iterable[str], now_s: float
) -> tuple[Record, ...]:
    """Eject upstreams that fail while others do not, highest score first.

    An ejection that would leave less capacity than the floor is omitted. If the
    whole service fails, its scores and latencies are reset instead.

    Parameters
    ----------
    state : HealthState
        Changed in place.
    names : iterable of str
        Names of the upstreams to check.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Record
        Events for the time line.
    """
    suspects = [
        name
        for name in names
        if is_eligible(state, name, now_s)
        and failure_score(state, name, now_s) >= _eject_threshold(state, name, now_s)
    ]
    suspects.sort(key=lambda name: (-failure_score(state, name, now_s), name))
    return tuple(
        effect for name in suspects for effect in _eject_or_reset(state, name, now_s)
    )


def reset_stale_scores(state: HealthState, name: str, now_s: float) -> None:
    """Reset the scores of an upstream that has had no requests for a while.

    Parameters
    ----------
    state : HealthState
        Changed in place.
    name : str
        Name of the upstream.
    now_s : float
        Monotonic time in seconds.
    """
    record = state.upstreams[name]
    last_at_s = max(record.ended_at_s, default=NEVER_S)
    if state.in_flight(name) or now_s - last_at_s < SCORE_TTL_S:
        return
    state.update(name, scores=NO_SCORES, suspect_from_at_s=math.inf)


def readmit(
    state: HealthState, name: str, now_s: float, ramp_ends_at_s: float
) -> tuple[Record, ...]:
    """Readmit an ejected upstream to new requests.

    Parameters
    ----------
    state : HealthState
        Changed in place.
    name : str
        Name of the upstream.
    now_s : float
        Monotonic time in seconds.
    ramp_ends_at_s : float
        When its share of traffic is complete again; the current time or an earlier
        one for no ramp.

    Returns
    -------
    tuple of Record
        Events for the time line.
    """
    state.update(
        name,
        scores=NO_SCORES,
        suspect_from_at_s=math.inf,
        ejected_until_at_s=None,
        ramp_ends_at_s=ramp_ends_at_s,
        probe_at_s=math.inf,
        ejections_halved_at_s=now_s + EJECTION_DECAY_S,
    )
    return (Record(Event("health", "readmitted", name)),)


def extend_ejection(state: HealthState, name: str, now_s: float) -> None:
    """Extend the ejection of an upstream after a failed probe."""
    until_at_s = now_s + FIRST_EJECTION_S
    state.update(name, ejected_until_at_s=until_at_s, probe_at_s=until_at_s)


def restore_floor(state: HealthState, service: str, now_s: float) -> tuple[Record, ...]:
    """End ramps, then readmit upstreams, until capacity reaches the floor.

    The upstreams with the fewest recent ejections come first, and among those the
    ones with the lowest scores.

    Parameters
    ----------
    state : HealthState
        Changed in place.
    service : str
        Name of the service.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Record
        Events for the time line.
    """
    effects = []
    while _is_below_floor(state, service, now_s):
        ejected, ramping = _restorable(state, service, now_s)
        if ramping:
            state.update(ramping[0], ramp_ends_at_s=NEVER_S)
            continue
        if not ejected:
            break
        name = ejected[0]
        effects += readmit(state, name, now_s, ramp_ends_at_s=NEVER_S)
        effects.append(Record(Event("health", "floor-restored", name, service)))
    return tuple(effects)


def _slots(state, name):
    return state.upstreams[name].upstream.slots


def _eject_threshold(state, name, now_s):
    return RAMP_EJECT_SCORE if ramp_weight(state, name, now_s) < 1.0 else EJECT_SCORE


def _is_below_floor(state, service, now_s):
    required = required_capacity(state, service, now_s)
    return capacity(state, service, now_s) < required - SLOT_TOLERANCE


def _restorable(state, service, now_s):
    names = non_draining_upstreams(state, service, now_s)
    ejected = [n for n in names if not is_eligible(state, n, now_s)]
    ramping = [
        n
        for n in names
        if is_eligible(state, n, now_s) and ramp_weight(state, n, now_s) < 1.0
    ]
    by_severity = _severity_key(state)
    return sorted(ejected, key=by_severity), sorted(ramping, key=by_severity)


def _severity_key(state):
    def key(name):
        record = state.upstreams[name]
        return record.ejections, max(record.scores), name

    return key


def _eject_or_reset(state, name, now_s):
    score = failure_score(state, name, now_s)
    if score < _eject_threshold(state, name, now_s):
        return ()
    if is_outlier(state, name, now_s):
        return _eject(state, name, score, now_s)
    if is_service_wide(state, name, now_s):
        return _reset_service(state, state.upstreams[name].upstream.service)
    return ()


def _reset_service(state, service):
    """Reset the scores and latencies of a service that changed as a whole."""
    for name in state.services[service]:
        state.update(name, scores=NO_SCORES, suspect_from_at_s=math.inf)
    state.latencies.drop_classes(lambda key: key[1] == service)
    return (Record(Event("health", "service-slow", service)),)


def _eject(state, name, score, now_s):
    service = state.upstreams[name].upstream.service
    freed = _slots(state, name) * ramp_weight(state, name, now_s)
    left = capacity(state, service, now_s) - freed
    if left < required_capacity(state, service, now_s):
        return ()
    record = state.upstreams[name]
    length_s = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2**record.ejections)
    until_at_s = now_s + length_s
    state.update(
        name,
        ejected_until_at_s=until_at_s,
        ejections=min(MAX_EJECTIONS, record.ejections + 1),
        ejections_halved_at_s=math.inf,
        probe_at_s=until_at_s,
    )
    detail = f"score={score:.1f} until_at_s={until_at_s:.3f}"
    return (Record(Event("health", "ejected", name, detail)),)
