"""Compare an upstream with the others of its service over the same time."""

import math
from statistics import median

from .evidence import (
    MIN_LATENCY_S,
    REFERENCE_EXCHANGES,
    error_rate,
    failure_score,
    first_byte_key,
    recent_peer_errors,
)
from .scores import EJECT_SCORE
from .state import HealthState

__all__ = ["is_outlier", "is_service_wide"]

HEALTHY_SCORE = EJECT_SCORE / 4
HEALTHY_SHARE = 0.5
MIN_FAILING_REFERENCES = 2
MIN_ERROR_RATE_FACTOR = 3.0
MIN_LOG_LATENCY_DIFFERENCE = math.log(1.5)


def is_outlier(state: HealthState, name: str, now_s: float) -> bool:
    """Return whether an upstream fails while others of its service are healthy.

    Scores and latencies are compared only with upstreams where a few exchanges
    ended since the evidence against this one began. Earlier responses say nothing
    if the whole service became slow at once.

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
        False if the whole service is slow or failing.
    """
    references = _reference_upstreams(state, name, now_s)
    if _is_failing_by_errors(state, name):
        if not _has_higher_error_rate(state, name, now_s):
            return False
    elif not _is_slower(state, name, references, now_s):
        return False
    scores = [failure_score(state, other, now_s) for other in references]
    healthy = sum(value < HEALTHY_SCORE for value in scores)
    return healthy > 0 and healthy >= HEALTHY_SHARE * len(scores)


def is_service_wide(state: HealthState, name: str, now_s: float) -> bool:
    """Return whether upstreams of other failure domains fail as well.

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
        True if most upstreams of other failure domains, and at least two, are slow
        or failing.
    """
    domain = state.upstreams[name].upstream.failure_domain
    scores = [
        failure_score(state, other, now_s)
        for other in _reference_upstreams(state, name, now_s)
        if state.upstreams[other].upstream.failure_domain != domain
    ]
    failing = sum(value >= HEALTHY_SCORE for value in scores)
    return failing >= MIN_FAILING_REFERENCES and failing > HEALTHY_SHARE * len(scores)


def _is_failing_by_errors(state, name):
    scores = state.upstreams[name].scores
    return max(scores.frequent_errors, scores.occasional_errors) > scores.latency


def _has_higher_error_rate(state, name, now_s):
    error_flags = state.upstreams[name].error_flags
    rate = sum(error_flags) / max(1, len(error_flags))
    others = recent_peer_errors(state, name, now_s)
    rates = [error_rate([error_flags]) for error_flags in others]
    median_rate = median(rates) if rates else 0.0
    return rate >= MIN_ERROR_RATE_FACTOR * median_rate


def _is_slower(state, name, references, now_s):
    """Return whether recent latencies exceed those of the reference upstreams.

    The baseline shifts while a service slows down, so that against it an upstream
    used later would look healthier than one used before.
    """
    waiting = [x for x in state.in_flight(name) if x.is_waiting]
    if any(x.has_response_started for x in waiting):
        return True
    overdue = {}
    for exchange in waiting:
        key = first_byte_key(state, name, exchange, exchange.request_bytes)
        silent_from_at_s = max(exchange.silent_from_at_s, state.resumed_at_s)
        silent_s = max(MIN_LATENCY_S, now_s - silent_from_at_s)
        overdue.setdefault(key, []).append(silent_s)
    service = state.upstreams[name].upstream.service
    differences = state.latencies.log_differences(service, name, references, overdue)
    return max(differences, default=0.0) >= MIN_LOG_LATENCY_DIFFERENCE


def _reference_upstreams(state, name, now_s):
    from_at_s = _suspect_from_at_s(state, name, now_s)
    return [
        other
        for other in state.other_upstreams(name)
        if _has_ended_exchanges_since(state, other, from_at_s)
    ]


def _suspect_from_at_s(state, name, now_s):
    waiting = (x.silent_from_at_s for x in state.in_flight(name) if x.is_waiting)
    return min(state.upstreams[name].suspect_from_at_s, *waiting, now_s)


def _has_ended_exchanges_since(state, name, from_at_s):
    ended_at_s = state.upstreams[name].ended_at_s
    return len(ended_at_s) == REFERENCE_EXCHANGES and ended_at_s[0] > from_at_s
