"""Turn observations into scores."""

import math
from functools import singledispatch
from statistics import median

from .baseline import size_class
from .observations import (
    Abandoned,
    Answered,
    ConnectFailed,
    DrainingSeen,
    ErrorAnswer,
    ProbeAnswered,
    ProbeFailed,
    Shed,
    Stalled,
    Truncated,
)
from .scores import EJECT_SCORE, add_error, add_latency, add_success, latency_ratio
from .state import Exchange, HealthState

__all__ = ["absorb", "doubt", "pending", "relative_doubt"]

MIN_LATENCY_S = 0.0005
RECENT_S = 3.0
ERROR_SMOOTHING = 1 / 32
STALL_EVIDENCE = 3.5
REUSED_EVIDENCE_SHARE = 0.5
BODY_SILENCE_S = 2.0
PACED_BODY_BYTES = 65_536
PROBE_EVIDENCE = 1.0
PROBE_SCORE_CAP = EJECT_SCORE / 2
DRAINING_HOLD_S = 60.0


@singledispatch
def absorb(
    observation, state: HealthState, name: str, exchange: Exchange | None, now_s: float
) -> None:
    """Change the scores of an upstream by one observation.

    Parameters
    ----------
    observation : Observation
        What was seen.
    state : HealthState
        Changed in place.
    name : str
        Name of the upstream.
    exchange : Exchange or None
        The exchange that the observation ends, if any.
    now_s : float
        Monotonic time in seconds.
    """
    raise TypeError(f"no evidence is known for {type(observation).__name__}")


@absorb.register
def _(observation: Answered, state, name, exchange, now_s):
    _count_outcome(state, name, add_success, 0.0, now_s)
    if _spans_pause(state, exchange):
        return
    ratio = _first_byte_ratio(state, name, exchange, observation, now_s)
    pace = _pace_ratio(state, name, exchange, observation, now_s)
    ratios = [value for value in (ratio, pace) if value is not None]
    if ratios:
        _add_latency(state, name, max(ratios))


@absorb.register(ErrorAnswer)
@absorb.register(ConnectFailed)
@absorb.register(Truncated)
def _(observation, state, name, exchange, now_s):
    _count_outcome(state, name, add_error, 1.0, now_s)


@absorb.register
def _(observation: Stalled, state, name, exchange, now_s):
    if _spans_pause(state, exchange):
        return
    share = REUSED_EVIDENCE_SHARE if exchange and exchange.is_reused else 1.0
    _add_latency(state, name, STALL_EVIDENCE * share)
    state.replace(name, seen_at_s=now_s)


@absorb.register(Abandoned)
@absorb.register(Shed)
def _(observation, state, name, exchange, now_s):
    """Neither a caller that leaves nor a full upstream is a fault."""


@absorb.register
def _(observation: ProbeAnswered, state, name, exchange, now_s):
    """An answer of the health endpoint proves nothing about requests."""


@absorb.register
def _(observation: ProbeFailed, state, name, exchange, now_s):
    scores = state.upstreams[name].scores
    if scores.latency < PROBE_SCORE_CAP:
        raised = min(PROBE_SCORE_CAP, scores.latency + PROBE_EVIDENCE)
        state.replace(name, scores=scores._replace(latency=raised))


@absorb.register
def _(observation: DrainingSeen, state, name, exchange, now_s):
    state.replace(name, draining_until_at_s=now_s + DRAINING_HOLD_S)


def pending(state: HealthState, name: str, now_s: float) -> float:
    """Return the evidence of exchanges that have not ended.

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
        Sum over the exchanges in which the instance waits for the upstream.
    """
    held = (x for x in state.in_flight(name) if x.is_waiting)
    return sum(_pending_ratio(state, name, exchange, now_s) for exchange in held)


def doubt(state: HealthState, name: str, now_s: float) -> float:
    """Return the strongest evidence against an upstream, taken for itself.

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
        A log-likelihood ratio, 0 for none.
    """
    scores = state.upstreams[name].scores
    latency = scores.latency + pending(state, name, now_s)
    return max(latency, scores.frequent_errors, scores.occasional_errors)


def relative_doubt(state: HealthState, name: str, now_s: float) -> float:
    """Return how much stronger the evidence is than against the other upstreams.

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
        Near 0 when the whole service is slow or failing.
    """
    others = [
        doubt(state, other, now_s)
        for other in state.peers_of(name)
        if _is_recent(state, other, now_s)
    ]
    usual = median(others) if others else 0.0
    return doubt(state, name, now_s) - usual


def _is_recent(state, name, now_s):
    if now_s - state.upstreams[name].seen_at_s < RECENT_S:
        return True
    return bool(state.in_flight(name))


def _class_of(exchange, request_bytes):
    route = exchange.route if exchange else ""
    return route, size_class(request_bytes)


def _spans_pause(state, exchange):
    return exchange is not None and exchange.started_at_s < state.resumed_at_s


def _first_byte_ratio(state, name, exchange, answered, now_s):
    spent_s = max(MIN_LATENCY_S, answered.latency_s - state.network_s(name))
    key = ("first", state.upstreams[name].upstream.service)
    key += _class_of(exchange, answered.request_bytes)
    return _ratio_and_add(state, key, name, spent_s, now_s)


def _pace_ratio(state, name, exchange, answered, now_s):
    if answered.body_bytes < PACED_BODY_BYTES:
        return None
    body_s = max(MIN_LATENCY_S, answered.duration_s - answered.latency_s)
    key = ("pace", state.upstreams[name].upstream.service)
    key += _class_of(exchange, answered.request_bytes)
    return _ratio_and_add(state, key, name, body_s / answered.body_bytes, now_s)


def _ratio_and_add(state, key, name, value_s, now_s):
    baseline = state.latencies.without(key, name, now_s)
    state.latencies.add(key, name, value_s, now_s)
    if baseline is None:
        return None
    return latency_ratio(math.log(value_s) - baseline.median, baseline.spread)


def _pending_ratio(state, name, exchange, now_s):
    silent_from_at_s = max(exchange.silent_from_at_s, state.resumed_at_s)
    silent_s = now_s - silent_from_at_s - state.network_s(name)
    if silent_s < MIN_LATENCY_S:
        return 0.0
    if exchange.is_answering:
        return STALL_EVIDENCE if silent_s > BODY_SILENCE_S else 0.0
    key = ("first", state.upstreams[name].upstream.service)
    key += _class_of(exchange, exchange.request_bytes)
    baseline = state.latencies.without(key, name, now_s)
    if baseline is None:
        return 0.0
    ratio = latency_ratio(math.log(silent_s) - baseline.median, baseline.spread)
    share = REUSED_EVIDENCE_SHARE if exchange.is_reused else 1.0
    return max(0.0, ratio) * share


def _add_latency(state, name, ratio):
    scores = add_latency(state.upstreams[name].scores, ratio)
    state.replace(name, scores=scores)


def _count_outcome(state, name, add, error, now_s):
    record = state.upstreams[name]
    scores = add(record.scores, _usual_error_rate(state, name, now_s))
    rate = record.error_rate + ERROR_SMOOTHING * (error - record.error_rate)
    state.replace(name, scores=scores, error_rate=rate, seen_at_s=now_s)


def _usual_error_rate(state, name, now_s):
    rates = [
        state.upstreams[other].error_rate
        for other in state.peers_of(name)
        if _is_recent(state, other, now_s)
    ]
    return median(rates) if rates else 0.0
