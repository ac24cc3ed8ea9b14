"""Update the scores of upstreams from observations."""

import math
from functools import singledispatch

from .baseline import size_class
from .observations import (
    Abandoned,
    Answered,
    ConnectFailed,
    DrainAnnounced,
    ErrorResponse,
    ProbeFailed,
    ProbeSucceeded,
    Shed,
    Stalled,
    Truncated,
)
from .scores import EJECT_SCORE, add_error, add_latency, add_success, latency_llr
from .state import Exchange, HealthState

__all__ = [
    "REFERENCE_EXCHANGES",
    "error_rate",
    "failure_score",
    "first_byte_key",
    "is_reused_connection_overdue",
    "pending_llr",
    "recent_peer_errors",
    "update_scores",
]

MIN_LATENCY_S = 0.0005
RECENT_ACTIVITY_S = 3.0
MAX_OUTCOMES = 24
RECENT_OUTCOMES = 8
REFERENCE_EXCHANGES = 3
STALL_LLR = 7.0
REUSED_CONNECTION_FACTOR = 0.5
BODY_STALL_S = 2.0
MIN_TRANSFER_BODY_BYTES = 65_536
BYTES_PER_MEGABYTE = 1_000_000
PROBE_FAILURE_LLR = 1.0
MAX_PROBE_SCORE = EJECT_SCORE / 2
DRAINING_TTL_S = 60.0


@singledispatch
def update_scores(
    observation, state: HealthState, name: str, exchange: Exchange | None, now_s: float
) -> None:
    """Update the scores of an upstream with one observation.

    Parameters
    ----------
    observation : Observation
        The observation.
    state : HealthState
        Changed in place.
    name : str
        Name of the upstream.
    exchange : Exchange or None
        The exchange that ended with the observation, if any.
    now_s : float
        Monotonic time in seconds.

    Raises
    ------
    TypeError
        If the observation is not one of the types of :data:`Observation`.
    """
    raise TypeError(f"unknown type of observation: {type(observation).__name__}")


@update_scores.register
def _(observation: Answered, state, name, exchange, now_s):
    _record_outcome(state, name, add_success, False, now_s)
    if _spans_process_pause(state, exchange):
        return
    first_byte = _first_byte_llr(state, name, exchange, observation, now_s)
    transfer = _transfer_llr(state, name, exchange, observation, now_s)
    llrs = [value for value in (first_byte, transfer) if value is not None]
    if llrs:
        _add_latency(state, name, max(llrs), now_s)


@update_scores.register(ErrorResponse)
@update_scores.register(ConnectFailed)
@update_scores.register(Truncated)
def _(observation, state, name, exchange, now_s):
    _record_outcome(state, name, add_error, True, now_s)


@update_scores.register
def _(observation: Stalled, state, name, exchange, now_s):
    if _spans_process_pause(state, exchange):
        return
    factor = REUSED_CONNECTION_FACTOR if exchange and exchange.is_reused else 1.0
    if not (exchange and exchange.has_response_started):
        size = exchange.request_bytes if exchange else 0
        key = first_byte_key(state, name, exchange, size)
        state.latencies.add(key, name, observation.waited_s, now_s)
    _add_latency(state, name, STALL_LLR * factor, now_s)
    _record_end(state, name, now_s)


@update_scores.register(Abandoned)
@update_scores.register(Shed)
def _(observation, state, name, exchange, now_s):
    """Ignore it: neither a caller that disconnects nor load shedding is a fault."""


@update_scores.register
def _(observation: ProbeSucceeded, state, name, exchange, now_s):
    """Ignore it: a healthy probe says nothing about how requests are served."""


@update_scores.register
def _(observation: ProbeFailed, state, name, exchange, now_s):
    scores = state.upstreams[name].scores
    if scores.latency < MAX_PROBE_SCORE:
        raised = min(MAX_PROBE_SCORE, scores.latency + PROBE_FAILURE_LLR)
        _set_scores(state, name, scores._replace(latency=raised), now_s)


@update_scores.register
def _(observation: DrainAnnounced, state, name, exchange, now_s):
    state.update(name, draining_until_at_s=now_s + DRAINING_TTL_S)


def pending_llr(state: HealthState, name: str, now_s: float) -> float:
    """Return the log-likelihood ratio of the exchanges in flight.

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
    float
        Sum over the exchanges that wait for the upstream; 0 or more.
    """
    in_flight = state.in_flight(name)
    if not in_flight:
        return 0.0
    return sum(_exchange_llr(state, name, x, now_s) for x in in_flight if x.is_waiting)


def is_reused_connection_overdue(state: HealthState, name: str, now_s: float) -> bool:
    """Return whether an exchange on a reused connection is overdue.

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
        True if new connections should be opened, because a device on the network
        path may have dropped the state of the old ones.
    """
    reused = (x for x in state.in_flight(name) if x.is_waiting and x.is_reused)
    return any(_exchange_llr(state, name, x, now_s) > 0 for x in reused)


def failure_score(state: HealthState, name: str, now_s: float) -> float:
    """Return the highest score of an upstream, with its exchanges in flight.

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
    float
        Log-likelihood ratio of failing against healthy, 0 without evidence. Other
        upstreams count only through the baselines.
    """
    scores = state.upstreams[name].scores
    latency = scores.latency + pending_llr(state, name, now_s)
    return max(latency, scores.frequent_errors, scores.occasional_errors)


def _has_recent_exchange(state, name, now_s):
    ended_at_s = state.upstreams[name].ended_at_s
    return bool(ended_at_s) and now_s - ended_at_s[-1] < RECENT_ACTIVITY_S


def _request_class(exchange, request_bytes):
    route = exchange.route if exchange else ""
    return route, size_class(request_bytes)


def _spans_process_pause(state, exchange):
    return exchange is not None and exchange.started_at_s < state.resumed_at_s


def first_byte_key(state, name, exchange, request_bytes):
    """Return the key of the latency table for the time to the first byte."""
    service = state.upstreams[name].upstream.service
    return ("first", service, *_request_class(exchange, request_bytes))


def _first_byte_llr(state, name, exchange, answered, now_s):
    key = first_byte_key(state, name, exchange, answered.request_bytes)
    llr = _latency_llr(state, key, name, answered.latency_s, now_s)
    latency_s = max(MIN_LATENCY_S, answered.latency_s)
    state.latencies.add(key, name, latency_s, now_s)
    return llr


def _transfer_llr(state, name, exchange, answered, now_s):
    if answered.body_bytes < MIN_TRANSFER_BODY_BYTES:
        return None
    body_s = max(MIN_LATENCY_S, answered.duration_s - answered.latency_s)
    s_per_megabyte = body_s / answered.body_bytes * BYTES_PER_MEGABYTE
    key = ("pace", state.upstreams[name].upstream.service)
    key += _request_class(exchange, answered.request_bytes)
    llr = _latency_llr(state, key, name, s_per_megabyte, now_s)
    state.latencies.add(key, name, s_per_megabyte, now_s)
    return llr


def _latency_llr(state, key, name, elapsed_s, now_s):
    """Return the log-likelihood ratio of a time, ``None`` without a baseline.

    The network delay is subtracted from the upstream's own time, but not from those
    of the others, so that a wrong estimate of the delay can only hide a small
    slowdown.
    """
    baseline = state.latencies.baseline_without(key, name, now_s)
    if baseline is None:
        return None
    own_s = max(MIN_LATENCY_S, elapsed_s - state.network_delay_s(name))
    return latency_llr(math.log(own_s) - baseline.median, baseline.spread)


def _exchange_llr(state, name, exchange, now_s):
    silent_from_at_s = max(exchange.silent_from_at_s, state.resumed_at_s)
    silent_s = now_s - silent_from_at_s
    if exchange.has_response_started:
        return STALL_LLR if silent_s > BODY_STALL_S else 0.0
    key = first_byte_key(state, name, exchange, exchange.request_bytes)
    llr = _latency_llr(state, key, name, silent_s, now_s) or 0.0
    factor = REUSED_CONNECTION_FACTOR if exchange.is_reused else 1.0
    return max(0.0, llr) * factor


def _add_latency(state, name, llr, now_s):
    _set_scores(state, name, add_latency(state.upstreams[name].scores, llr), now_s)


def _set_scores(state, name, scores, now_s):
    suspect_from_at_s = state.upstreams[name].suspect_from_at_s
    suspect_from_at_s = min(suspect_from_at_s, now_s) if max(scores) > 0 else math.inf
    state.update(name, scores=scores, suspect_from_at_s=suspect_from_at_s)


def _record_end(state, name, now_s):
    ended_at_s = (*state.upstreams[name].ended_at_s, now_s)[-REFERENCE_EXCHANGES:]
    state.update(name, ended_at_s=ended_at_s)


def _record_outcome(state, name, add, is_error, now_s):
    record = state.upstreams[name]
    if is_error or record.scores.occasional_errors or record.scores.frequent_errors:
        scores = add(record.scores, _peer_error_rate(state, name, now_s))
        _set_scores(state, name, scores, now_s)
    error_flags = (*record.error_flags, is_error)[-MAX_OUTCOMES:]
    state.update(name, error_flags=error_flags)
    _record_end(state, name, now_s)


def _peer_error_rate(state, name, now_s):
    """Return the error rate of the other upstreams, excluding the worst one."""
    others = recent_peer_errors(state, name, now_s)
    return error_rate(sorted(others, key=sum)[:-1])


def recent_peer_errors(state, name, now_s):
    """Return the last error flags of each other upstream with recent traffic."""
    return [
        state.upstreams[other].error_flags[-RECENT_OUTCOMES:]
        for other in state.other_upstreams(name)
        if _has_recent_exchange(state, other, now_s)
    ]


def error_rate(error_flags):
    """Return the error rate over the error flags of several upstreams."""
    total = sum(map(len, error_flags))
    return sum(map(sum, error_flags)) / total if total else 0.0
