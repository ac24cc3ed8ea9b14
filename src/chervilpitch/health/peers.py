"""Compare an upstream with the others of its service at the same time."""

import math
from statistics import median

from .evidence import (
    MIN_LATENCY_S,
    WITNESS_ANSWERS,
    doubt,
    first_byte_key,
    recent_outcomes,
    share_of_errors,
)
from .scores import EJECT_SCORE
from .state import HealthState

__all__ = ["has_sound_peers", "is_common"]

SOUND_SCORE = EJECT_SCORE / 4
SOUND_SHARE = 0.5
COMMON_WITNESSES = 2
ERROR_CONTRAST = 3.0
LATENCY_CONTRAST = math.log(1.5)


def has_sound_peers(state: HealthState, name: str, now_s: float) -> bool:
    """Return whether other upstreams do well while this one does not.

    Only those are asked that have ended a few exchanges since the evidence against
    this one began: an answer from before tells nothing when everything has become
    slow at once.

    Parameters
    ----------
    state : HealthState
        Not changed.
    name : str
        Name of the upstream.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        False when the whole service is slow or failing.
    """
    witnesses = _witnesses(state, name, now_s)
    if _fails_by_errors(state, name):
        if not _errs_more(state, name, now_s):
            return False
    elif not _is_slower(state, name, witnesses, now_s):
        return False
    doubts = [doubt(state, other, now_s) for other in witnesses]
    sound = sum(value < SOUND_SCORE for value in doubts)
    return sound > 0 and sound >= SOUND_SHARE * len(doubts)


def is_common(state: HealthState, name: str, now_s: float) -> bool:
    """Return whether upstreams of other failure domains do as badly.

    Parameters
    ----------
    state : HealthState
        Not changed.
    name : str
        Name of the upstream.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        True when the service as a whole has become slow or failing.
    """
    domain = state.upstreams[name].upstream.failure_domain
    doubts = [
        doubt(state, other, now_s)
        for other in _witnesses(state, name, now_s)
        if state.upstreams[other].upstream.failure_domain != domain
    ]
    failing = sum(value >= SOUND_SCORE for value in doubts)
    return failing >= COMMON_WITNESSES and failing > SOUND_SHARE * len(doubts)


def _fails_by_errors(state, name):
    scores = state.upstreams[name].scores
    return max(scores.frequent_errors, scores.occasional_errors) > scores.latency


def _errs_more(state, name, now_s):
    outcomes = state.upstreams[name].outcomes
    rate = sum(outcomes) / max(1, len(outcomes))
    others = recent_outcomes(state, name, now_s)
    rates = [share_of_errors([outcomes]) for outcomes in others]
    usual = median(rates) if rates else 0.0
    return rate >= ERROR_CONTRAST * usual


def _is_slower(state, name, witnesses, now_s):
    """Compare the last latencies with those of the witnesses at the same time.

    The baseline moves while a service slows down, so that upstreams asked later
    would look sound beside those asked before.
    """
    waiting = [x for x in state.in_flight(name) if x.is_waiting]
    if any(x.is_answering for x in waiting):
        return True
    overdue = {}
    for exchange in waiting:
        key = first_byte_key(state, name, exchange, exchange.request_bytes)
        silent_from_at_s = max(exchange.silent_from_at_s, state.resumed_at_s)
        silent_s = max(MIN_LATENCY_S, now_s - silent_from_at_s)
        overdue.setdefault(key, []).append(silent_s)
    service = state.upstreams[name].upstream.service
    contrasts = state.latencies.contrasts(service, name, witnesses, overdue)
    return max(contrasts, default=0.0) >= LATENCY_CONTRAST


def _witnesses(state, name, now_s):
    from_at_s = _suspect_from_at_s(state, name, now_s)
    return [
        other
        for other in state.peers_of(name)
        if _has_answered_since(state, other, from_at_s)
    ]


def _suspect_from_at_s(state, name, now_s):
    waiting = (x.silent_from_at_s for x in state.in_flight(name) if x.is_waiting)
    return min(state.upstreams[name].suspect_from_at_s, *waiting, now_s)


def _has_answered_since(state, name, from_at_s):
    seen_at_s = state.upstreams[name].seen_at_s
    return len(seen_at_s) == WITNESS_ANSWERS and seen_at_s[0] > from_at_s
