"""Ejection and readmission, never below the floor of healthy capacity."""

import math
from collections.abc import Iterable

from chervilpitch.model import Event, Record

from .evidence import doubt
from .peers import has_sound_peers, is_common
from .scores import EJECT_SCORE, NO_SCORES
from .state import NEVER_S, HealthState

__all__ = [
    "FLOOR_SHARE",
    "available",
    "capacity",
    "drop_stale",
    "extend",
    "is_eligible",
    "judge",
    "ramp",
    "readmit",
    "required_capacity",
    "restore_floor",
]

FLOOR_SHARE = 0.6
FIRST_EJECTION_S = 5.0
LONGEST_EJECTION_S = 300.0
MAX_EJECTIONS = 8
FORGIVE_S = 120.0
RAMP_S = 10.0
RAMP_START = 0.1
EVIDENCE_LIFE_S = 15.0
TRIAL_SCORE = 0.6 * EJECT_SCORE
ROUNDING_SLOTS = 1e-9


def is_draining(state: HealthState, name: str, now_s: float) -> bool:
    """Return whether an upstream is leaving, as declared or as it said itself."""
    record = state.upstreams[name]
    return record.upstream.draining or now_s < record.draining_until_at_s


def is_eligible(state: HealthState, name: str, now_s: float) -> bool:
    """Return whether an upstream may get new requests."""
    if is_draining(state, name, now_s):
        return False
    return state.upstreams[name].ejected_until_at_s is None


def ramp(state: HealthState, name: str, now_s: float) -> float:
    """Return the share of its usual traffic that a readmitted upstream gets."""
    left_s = state.upstreams[name].ramp_ends_at_s - now_s
    if left_s <= 0:
        return 1.0
    grown = 1.0 - left_s / RAMP_S
    return max(RAMP_START, RAMP_START + (1.0 - RAMP_START) * grown)


def available(state: HealthState, service: str, now_s: float) -> tuple[str, ...]:
    """Return the upstreams of a service that are not draining."""
    names = state.services.get(service, ())
    return tuple(name for name in names if not is_draining(state, name, now_s))


def capacity(state: HealthState, service: str, now_s: float) -> float:
    """Return the slots of a service in use, ramping upstreams in part.

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
        _slots(state, name) * ramp(state, name, now_s)
        for name in state.services.get(service, ())
        if is_eligible(state, name, now_s)
    )


def required_capacity(state: HealthState, service: str, now_s: float) -> float:
    """Return the floor: the slots that ejection must leave in use.

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
        A share of the declared slots, or all that are not draining when those
        are fewer.
    """
    declared = sum(_slots(state, name) for name in state.services.get(service, ()))
    usable = sum(_slots(state, name) for name in available(state, service, now_s))
    return min(FLOOR_SHARE * declared, usable)


def judge(state: HealthState, names: Iterable[str], now_s: float) -> tuple[Record, ...]:
    """Eject those upstreams that fail while others do not, worst first.

    Parameters
    ----------
    state : HealthState
        Changed in place.
    names : iterable of str
        Names of the upstreams to judge.
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
        and doubt(state, name, now_s) >= _limit(state, name, now_s)
    ]
    suspects.sort(key=lambda name: (-doubt(state, name, now_s), name))
    return tuple(effect for name in suspects for effect in _decide(state, name, now_s))


def drop_stale(state: HealthState, name: str, now_s: float) -> None:
    """Drop the evidence against an upstream that has had no request for long.

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
    last_at_s = max(record.seen_at_s, default=NEVER_S)
    if state.in_flight(name) or now_s - last_at_s < EVIDENCE_LIFE_S:
        return
    state.replace(name, scores=NO_SCORES, suspect_from_at_s=math.inf)


def readmit(
    state: HealthState, name: str, now_s: float, ramp_ends_at_s: float
) -> tuple[Record, ...]:
    """Give an ejected upstream new requests again.

    Parameters
    ----------
    state : HealthState
        Changed in place.
    name : str
        Name of the upstream.
    now_s : float
        Monotonic time in seconds.
    ramp_ends_at_s : float
        When its share of traffic is whole; now for at once.

    Returns
    -------
    tuple of Record
        Events for the time line.
    """
    state.replace(
        name,
        scores=NO_SCORES,
        suspect_from_at_s=math.inf,
        ejected_until_at_s=None,
        ramp_ends_at_s=ramp_ends_at_s,
        probe_at_s=math.inf,
        forgiven_at_s=now_s + FORGIVE_S,
    )
    return (Record(Event("health", "readmitted", name)),)


def extend(state: HealthState, name: str, now_s: float) -> None:
    """Keep an upstream ejected after a failed probe."""
    until_at_s = now_s + FIRST_EJECTION_S
    state.replace(name, ejected_until_at_s=until_at_s, probe_at_s=until_at_s)


def restore_floor(state: HealthState, service: str, now_s: float) -> tuple[Record, ...]:
    """Readmit the least bad upstreams until the floor holds.

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
        ejected, ramping = _unused(state, service, now_s)
        if ramping:
            state.replace(ramping[0], ramp_ends_at_s=NEVER_S)
            continue
        if not ejected:
            break
        name = ejected[0]
        effects += readmit(state, name, now_s, ramp_ends_at_s=NEVER_S)
        effects.append(Record(Event("health", "floor-restored", name, service)))
    return tuple(effects)


def _slots(state, name):
    return state.upstreams[name].upstream.slots


def _limit(state, name, now_s):
    return TRIAL_SCORE if ramp(state, name, now_s) < 1.0 else EJECT_SCORE


def _is_below_floor(state, service, now_s):
    required = required_capacity(state, service, now_s)
    return capacity(state, service, now_s) < required - ROUNDING_SLOTS


def _unused(state, service, now_s):
    names = available(state, service, now_s)
    ejected = [n for n in names if not is_eligible(state, n, now_s)]
    ramping = [
        n for n in names if is_eligible(state, n, now_s) and ramp(state, n, now_s) < 1.0
    ]
    by_badness = _badness(state)
    return sorted(ejected, key=by_badness), sorted(ramping, key=by_badness)


def _badness(state):
    def key(name):
        record = state.upstreams[name]
        return record.ejections, max(record.scores), name

    return key


def _decide(state, name, now_s):
    score = doubt(state, name, now_s)
    if score < _limit(state, name, now_s):
        return ()
    if has_sound_peers(state, name, now_s):
        return _eject(state, name, score, now_s)
    if is_common(state, name, now_s):
        return _start_anew(state, state.upstreams[name].upstream.service)
    return ()


def _start_anew(state, service):
    """Drop the evidence on a service that has changed as a whole."""
    for name in state.services[service]:
        state.replace(name, scores=NO_SCORES, suspect_from_at_s=math.inf)
    state.latencies.restart(lambda key: key[1] == service)
    return (Record(Event("health", "service-slow", service)),)


def _eject(state, name, score, now_s):
    service = state.upstreams[name].upstream.service
    freed = _slots(state, name) * ramp(state, name, now_s)
    left = capacity(state, service, now_s) - freed
    if left < required_capacity(state, service, now_s):
        return ()
    record = state.upstreams[name]
    length_s = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2**record.ejections)
    until_at_s = now_s + length_s
    state.replace(
        name,
        ejected_until_at_s=until_at_s,
        ejections=min(MAX_EJECTIONS, record.ejections + 1),
        forgiven_at_s=math.inf,
        probe_at_s=until_at_s,
    )
    detail = f"score={score:.1f} until_at_s={until_at_s:.3f}"
    return (Record(Event("health", "ejected", name, detail)),)
