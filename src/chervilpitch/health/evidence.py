"""Turn observations into scores."""

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
from .scores import EJECT_SCORE, add_error, add_latency, add_success, latency_ratio
from .state import Exchange, HealthState

__all__ = [
    "WITNESS_ANSWERS",
    "absorb",
    "doubt",
    "first_byte_key",
    "is_silent",
    "pending",
    "recent_outcomes",
    "share_of_errors",
]

MIN_LATENCY_S = 0.0005
RECENT_S = 3.0
OUTCOMES = 24
RECENT_OUTCOMES = 8
WITNESS_ANSWERS = 3
STALL_EVIDENCE = 7.0
REUSED_EVIDENCE_SHARE = 0.5
BODY_SILENCE_S = 2.0
PACED_BODY_BYTES = 65_536
MEGABYTE = 1_000_000
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
    _count_outcome(state, name, add_success, False, now_s)
    if _spans_pause(state, exchange):
        return
    ratio = _first_byte_ratio(state, name, exchange, observation, now_s)
    pace = _pace_ratio(state, name, exchange, observation, now_s)
    ratios = [value for value in (ratio, pace) if value is not None]
    if ratios:
        _add_latency(state, name, max(ratios), now_s)


@absorb.register(ErrorResponse)
@absorb.register(ConnectFailed)
@absorb.register(Truncated)
def _(observation, state, name, exchange, now_s):
    _count_outcome(state, name, add_error, True, now_s)


@absorb.register
def _(observation: Stalled, state, name, exchange, now_s):
    if _spans_pause(state, exchange):
        return
    share = REUSED_EVIDENCE_SHARE if exchange and exchange.is_reused else 1.0
    if not (exchange and exchange.is_answering):
        size = exchange.request_bytes if exchange else 0
        key = first_byte_key(state, name, exchange, size)
        state.latencies.add(key, name, observation.waited_s, now_s)
    _add_latency(state, name, STALL_EVIDENCE * share, now_s)
    _note_end(state, name, now_s)


@absorb.register(Abandoned)
@absorb.register(Shed)
def _(observation, state, name, exchange, now_s):
    """Neither a caller that leaves nor a full upstream is a fault."""


@absorb.register
def _(observation: ProbeSucceeded, state, name, exchange, now_s):
    """An answer of the health endpoint proves nothing about requests."""


@absorb.register
def _(observation: ProbeFailed, state, name, exchange, now_s):
    scores = state.upstreams[name].scores
    if scores.latency < PROBE_SCORE_CAP:
        raised = min(PROBE_SCORE_CAP, scores.latency + PROBE_EVIDENCE)
        _set_scores(state, name, scores._replace(latency=raised), now_s)


@absorb.register
def _(observation: DrainAnnounced, state, name, exchange, now_s):
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
    held = state.in_flight(name)
    if not held:
        return 0.0
    return sum(_pending_ratio(state, name, x, now_s) for x in held if x.is_waiting)


def is_silent(state: HealthState, name: str, now_s: float) -> bool:
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
        True when fresh connections should be tried, because something between
        the two ends may have lost track of the old ones.
    """
    held = (x for x in state.in_flight(name) if x.is_waiting and x.is_reused)
    return any(_pending_ratio(state, name, x, now_s) > 0 for x in held)


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


def _is_recent(state, name, now_s):
    seen_at_s = state.upstreams[name].seen_at_s
    return bool(seen_at_s) and now_s - seen_at_s[-1] < RECENT_S


def _class_of(exchange, request_bytes):
    route = exchange.route if exchange else ""
    return route, size_class(request_bytes)


def _spans_pause(state, exchange):
    return exchange is not None and exchange.started_at_s < state.resumed_at_s


def first_byte_key(state, name, exchange, request_bytes):
    """Return the class of request under which a first byte is compared."""
    service = state.upstreams[name].upstream.service
    return ("first", service, *_class_of(exchange, request_bytes))


def _first_byte_ratio(state, name, exchange, answered, now_s):
    key = first_byte_key(state, name, exchange, answered.request_bytes)
    ratio = _ratio(state, key, name, answered.latency_s, now_s)
    taken_s = max(MIN_LATENCY_S, answered.latency_s)
    state.latencies.add(key, name, taken_s, now_s)
    return ratio


def _pace_ratio(state, name, exchange, answered, now_s):
    if answered.body_bytes < PACED_BODY_BYTES:
        return None
    body_s = max(MIN_LATENCY_S, answered.duration_s - answered.latency_s)
    megabyte_s = body_s / answered.body_bytes * MEGABYTE
    key = ("pace", state.upstreams[name].upstream.service)
    key += _class_of(exchange, answered.request_bytes)
    ratio = _ratio(state, key, name, megabyte_s, now_s)
    state.latencies.add(key, name, megabyte_s, now_s)
    return ratio


def _ratio(state, key, name, spent_s, now_s):
    """Compare with the others, whose time on the network is not taken off.

    A wrong idea of the network then only hides a little slowness.
    """
    baseline = state.latencies.without(key, name, now_s)
    if baseline is None:
        return None
    own_s = max(MIN_LATENCY_S, spent_s - state.network_s(name))
    return latency_ratio(math.log(own_s) - baseline.median, baseline.spread)


def _pending_ratio(state, name, exchange, now_s):
    silent_from_at_s = max(exchange.silent_from_at_s, state.resumed_at_s)
    silent_s = now_s - silent_from_at_s
    if exchange.is_answering:
        return STALL_EVIDENCE if silent_s > BODY_SILENCE_S else 0.0
    key = first_byte_key(state, name, exchange, exchange.request_bytes)
    ratio = _ratio(state, key, name, silent_s, now_s) or 0.0
    share = REUSED_EVIDENCE_SHARE if exchange.is_reused else 1.0
    return max(0.0, ratio) * share


def _add_latency(state, name, ratio, now_s):
    _set_scores(state, name, add_latency(state.upstreams[name].scores, ratio), now_s)


def _set_scores(state, name, scores, now_s):
    from_at_s = state.upstreams[name].suspect_from_at_s
    from_at_s = min(from_at_s, now_s) if max(scores) > 0 else math.inf
    state.replace(name, scores=scores, suspect_from_at_s=from_at_s)


def _note_end(state, name, now_s):
    seen_at_s = (*state.upstreams[name].seen_at_s, now_s)[-WITNESS_ANSWERS:]
    state.replace(name, seen_at_s=seen_at_s)


def _count_outcome(state, name, add, is_error, now_s):
    record = state.upstreams[name]
    if is_error or record.scores.occasional_errors or record.scores.frequent_errors:
        scores = add(record.scores, _usual_error_rate(state, name, now_s))
        _set_scores(state, name, scores, now_s)
    outcomes = (*record.outcomes, is_error)[-OUTCOMES:]
    state.replace(name, outcomes=outcomes)
    _note_end(state, name, now_s)


def _usual_error_rate(state, name, now_s):
    """Return the error rate of the others, without the worst of them."""
    others = recent_outcomes(state, name, now_s)
    return share_of_errors(sorted(others, key=sum)[:-1])


def recent_outcomes(state, name, now_s):
    """Return the last outcomes of each other upstream that is in use now."""
    return [
        state.upstreams[other].outcomes[-RECENT_OUTCOMES:]
        for other in state.peers_of(name)
        if _is_recent(state, other, now_s)
    ]


def share_of_errors(outcomes):
    """Return the share of errors in the outcomes of several upstreams."""
    total = sum(map(len, outcomes))
    return sum(map(sum, outcomes)) / total if total else 0.0
