"""The interface of the detector: observations in, ejections out."""

import math

from chervilpitch.model import Catalogue, Effect, Event, Record

from . import ejection
from .evidence import absorb
from .observations import DrainAnnounced, Observation, ProbeFailed, ProbeSucceeded
from .state import Exchange, HealthState, UpstreamHealth

__all__ = [
    "exchange_finished",
    "observe",
    "response_progressed",
    "apply_catalogue",
    "request_sent",
    "exchange_started",
    "tick",
]


def exchange_started(
    state: HealthState,
    upstream_name: str,
    exchange_id,
    now_s: float,
    *,
    route: str = "",
    request_bytes: int = 0,
    is_reused: bool = False,
) -> None:
    """Note that an exchange started.

    Parameters
    ----------
    state : HealthState
        Changed in place.
    upstream_name : str
        Name of the upstream.
    exchange_id : hashable
        Unique id of the exchange.
    now_s : float
        Monotonic time in seconds.
    route : str
        Name of the route.
    request_bytes : int
        Size of the request's body in bytes.
    is_reused : bool
        Whether the connection had served an exchange before.
    """
    now_s = state.advance(now_s)
    if upstream_name not in state.upstreams:
        return
    exchange = Exchange(upstream_name, route, request_bytes, is_reused, now_s, now_s)
    state.add_exchange(exchange_id, exchange)


def request_sent(
    state: HealthState, exchange_id, now_s: float, *, is_reused: bool = False
) -> None:
    """Note that the whole request was sent; the upstream's time begins.

    Parameters
    ----------
    state : HealthState
        Changed in place.
    exchange_id : hashable
        Id of the exchange; one that is unknown has no effect.
    now_s : float
        Monotonic time in seconds.
    is_reused : bool
        Whether the connection had served an exchange before.
    """
    now_s = state.advance(now_s)
    exchange = state.exchanges.get(exchange_id)
    if exchange is None:
        return
    waiting = exchange._replace(
        silent_from_at_s=now_s, is_reused=is_reused, is_waiting=True
    )
    state.add_exchange(exchange_id, waiting)


def response_progressed(
    state: HealthState, exchange_id, now_s: float, *, is_waiting: bool = True
) -> None:
    """Note that the upstream sent a part of its answer.

    Parameters
    ----------
    state : HealthState
        Changed in place.
    exchange_id : hashable
        Id of the exchange.
    now_s : float
        Monotonic time in seconds.
    is_waiting : bool
        False while the instance waits for the caller to take the answer.
    """
    now_s = state.advance(now_s)
    exchange = state.exchanges.get(exchange_id)
    if exchange is None:
        return
    moved = exchange._replace(
        silent_from_at_s=now_s, is_answering=True, is_waiting=is_waiting
    )
    state.add_exchange(exchange_id, moved)


def exchange_finished(
    state: HealthState, exchange_id, observation: Observation, now_s: float
) -> tuple[Effect, ...]:
    """Take in how an exchange ended.

    Parameters
    ----------
    state : HealthState
        Changed in place.
    exchange_id : hashable
        Id of the exchange; one that is unknown has no effect.
    observation : Observation
        What was seen.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Events for the time line.
    """
    now_s = state.advance(now_s)
    exchange = state.pop_exchange(exchange_id)
    if exchange is None:
        return ()
    return _take(state, exchange.upstream, observation, exchange, now_s)


def observe(
    state: HealthState, upstream_name: str, observation: Observation, now_s: float
) -> tuple[Effect, ...]:
    """Take in an observation that ends no exchange.

    Parameters
    ----------
    state : HealthState
        Changed in place.
    upstream_name : str
        Name of the upstream; one that is unknown has no effect.
    observation : Observation
        What was seen.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Events for the time line.
    """
    now_s = state.advance(now_s)
    return _take(state, upstream_name, observation, None, now_s)


def tick(state: HealthState, now_s: float) -> tuple[Effect, ...]:
    """Judge exchanges that are overdue and do what falls due.

    Parameters
    ----------
    state : HealthState
        Changed in place.
    now_s : float
        Monotonic time in seconds. Call it every 100 ms; a gap of more than half a
        second is taken for a pause of the process.

    Returns
    -------
    tuple of Effect
        Events for the time line.
    """
    now_s = state.advance(now_s)
    state.mark_tick(now_s)
    busy = {exchange.upstream for exchange in state.exchanges.values()}
    for name, record in list(state.upstreams.items()):
        if now_s >= record.forgiven_at_s:
            _forgive(state, name, now_s)
        if record.suspect_from_at_s <= now_s:
            busy.add(name)
            ejection.drop_stale(state, name, now_s)
    in_use = sorted(busy & state.upstreams.keys())
    effects = ejection.judge(state, in_use, now_s)
    return effects


def apply_catalogue(
    state: HealthState, catalogue: Catalogue, now_s: float
) -> tuple[Effect, ...]:
    """Follow the upstreams of a new catalogue.

    Parameters
    ----------
    state : HealthState
        Changed in place.
    catalogue : Catalogue
        Its upstreams are those that this instance uses.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Events for the time line; upstreams that were ejected come back when the
        floor needs them.
    """
    now_s = state.advance(now_s)
    known = state.services
    records = {}
    for name, upstream in catalogue.upstreams.items():
        records[name] = _follow(state, upstream, now_s, upstream.service in known)
    state.set_upstreams(records)
    state.latencies.restart(lambda key: key[2] and key[2] not in catalogue.routes)
    return tuple(
        effect
        for service in sorted(state.services)
        for effect in ejection.restore_floor(state, service, now_s)
    )


def _take(state, name, observation, exchange, now_s):
    record = state.upstreams.get(name)
    if record is None:
        return ()
    service = record.upstream.service
    if record.ejected_until_at_s is not None:
        return _take_ejected(state, name, observation, now_s)
    if isinstance(observation, (ProbeSucceeded, ProbeFailed)):
        state.replace(name, probe_at_s=math.inf)
    absorb(observation, state, name, exchange, now_s)
    effects = ejection.judge(state, (name,), now_s)
    if isinstance(observation, DrainAnnounced):
        event = Event("health", "draining-seen", name)
        effects += (Record(event),)
        effects += ejection.restore_floor(state, service, now_s)
    return effects


def _take_ejected(state, name, observation, now_s):
    record = state.upstreams[name]
    if isinstance(observation, DrainAnnounced):
        absorb(observation, state, name, None, now_s)
        effects = ejection.readmit(state, name, now_s, ramp_ends_at_s=now_s)
        service = record.upstream.service
        return effects + ejection.restore_floor(state, service, now_s)
    if now_s < record.ejected_until_at_s:
        return ()
    if isinstance(observation, ProbeFailed):
        ejection.extend(state, name, now_s)
    if isinstance(observation, ProbeSucceeded):
        return ejection.readmit(state, name, now_s, now_s + ejection.RAMP_S)
    return ()


def _follow(state, upstream, now_s, service_is_known):
    held = state.upstreams.get(upstream.name)
    if held and held.upstream.address == upstream.address:
        return held._replace(upstream=upstream)
    if held or not service_is_known:
        return UpstreamHealth(upstream)
    return UpstreamHealth(upstream, ramp_ends_at_s=now_s + ejection.RAMP_S)


def _forgive(state, name, now_s):
    ejections = state.upstreams[name].ejections // 2
    forgiven_at_s = now_s + ejection.FORGIVE_S if ejections else math.inf
    state.replace(name, ejections=ejections, forgiven_at_s=forgiven_at_s)
