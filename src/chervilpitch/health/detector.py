"""Entry points of the detector: record observations and eject upstreams."""

import math

from chervilpitch.model import Catalogue, Effect, Event, Record

from . import ejection
from .evidence import update_scores
from .observations import DrainAnnounced, Observation, ProbeFailed, ProbeSucceeded
from .state import Exchange, HealthState, UpstreamHealth

__all__ = [
    "apply_catalogue",
    "exchange_finished",
    "exchange_started",
    "observe",
    "request_sent",
    "response_progressed",
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
    """Record that an exchange started.

    Parameters
    ----------
    state : HealthState
        Changed in place.
    upstream_name : str
        Name of the upstream; an unknown one is ignored.
    exchange_id : hashable
        Unique id of the exchange.
    now_s : float
        Monotonic time in seconds.
    route : str
        Name of the route.
    request_bytes : int
        Size of the request body in bytes.
    is_reused : bool
        Whether the connection had served an exchange before.
    """
    now_s = state.advance_clock(now_s)
    if upstream_name not in state.upstreams:
        return
    exchange = Exchange(upstream_name, route, request_bytes, is_reused, now_s, now_s)
    state.add_exchange(exchange_id, exchange)


def request_sent(
    state: HealthState, exchange_id, now_s: float, *, is_reused: bool = False
) -> None:
    """Record that the whole request was sent.

    From now on the time counts against the upstream.

    Parameters
    ----------
    state : HealthState
        Changed in place.
    exchange_id : hashable
        Id of the exchange; an unknown one is ignored.
    now_s : float
        Monotonic time in seconds.
    is_reused : bool
        Whether the connection had served an exchange before.
    """
    now_s = state.advance_clock(now_s)
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
    """Record that the upstream sent a part of its response.

    Parameters
    ----------
    state : HealthState
        Changed in place.
    exchange_id : hashable
        Id of the exchange; an unknown one is ignored.
    now_s : float
        Monotonic time in seconds.
    is_waiting : bool
        False while the instance waits for the caller to read the response.
    """
    now_s = state.advance_clock(now_s)
    exchange = state.exchanges.get(exchange_id)
    if exchange is None:
        return
    progressed = exchange._replace(
        silent_from_at_s=now_s, has_response_started=True, is_waiting=is_waiting
    )
    state.add_exchange(exchange_id, progressed)


def exchange_finished(
    state: HealthState, exchange_id, observation: Observation, now_s: float
) -> tuple[Effect, ...]:
    """Apply the observation that ended an exchange.

    Parameters
    ----------
    state : HealthState
        Changed in place.
    exchange_id : hashable
        Id of the exchange; an unknown one is ignored.
    observation : Observation
        The observation.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Events for the time line.
    """
    now_s = state.advance_clock(now_s)
    exchange = state.pop_exchange(exchange_id)
    if exchange is None:
        return ()
    return _apply_observation(state, exchange.upstream, observation, exchange, now_s)


def observe(
    state: HealthState, upstream_name: str, observation: Observation, now_s: float
) -> tuple[Effect, ...]:
    """Apply an observation that does not end an exchange.

    Parameters
    ----------
    state : HealthState
        Changed in place.
    upstream_name : str
        Name of the upstream; an unknown one is ignored.
    observation : Observation
        The observation.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Events for the time line.
    """
    now_s = state.advance_clock(now_s)
    return _apply_observation(state, upstream_name, observation, None, now_s)


def tick(state: HealthState, now_s: float) -> tuple[Effect, ...]:
    """Eject upstreams with overdue exchanges and do the other periodic work.

    Parameters
    ----------
    state : HealthState
        Changed in place.
    now_s : float
        Monotonic time in seconds. To be called every 100 ms; a gap of more than
        half a second counts as a pause of the process.

    Returns
    -------
    tuple of Effect
        Events for the time line.
    """
    now_s = state.advance_clock(now_s)
    state.record_tick(now_s)
    busy = {exchange.upstream for exchange in state.exchanges.values()}
    for name, record in list(state.upstreams.items()):
        if now_s >= record.ejections_halved_at_s:
            _halve_ejections(state, name, now_s)
        if record.suspect_from_at_s <= now_s:
            busy.add(name)
            ejection.reset_stale_scores(state, name, now_s)
    in_use = sorted(busy & state.upstreams.keys())
    effects = ejection.eject_failing(state, in_use, now_s)
    return effects


def apply_catalogue(
    state: HealthState, catalogue: Catalogue, now_s: float
) -> tuple[Effect, ...]:
    """Apply the upstreams of a new catalogue.

    Parameters
    ----------
    state : HealthState
        Changed in place.
    catalogue : Catalogue
        Its upstreams are those used by this instance.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Events for the time line. Ejected upstreams are readmitted if the floor
        requires them.
    """
    now_s = state.advance_clock(now_s)
    known = state.services
    records = {}
    for name, upstream in catalogue.upstreams.items():
        records[name] = _updated_record(
            state, upstream, now_s, upstream.service in known
        )
    state.set_upstreams(records)
    state.latencies.drop_classes(lambda key: key[2] and key[2] not in catalogue.routes)
    return tuple(
        effect
        for service in sorted(state.services)
        for effect in ejection.restore_floor(state, service, now_s)
    )


def _apply_observation(state, name, observation, exchange, now_s):
    record = state.upstreams.get(name)
    if record is None:
        return ()
    service = record.upstream.service
    if record.ejected_until_at_s is not None:
        return _apply_to_ejected(state, name, observation, now_s)
    if isinstance(observation, (ProbeSucceeded, ProbeFailed)):
        state.update(name, probe_at_s=math.inf)
    update_scores(observation, state, name, exchange, now_s)
    effects = ejection.eject_failing(state, (name,), now_s)
    if isinstance(observation, DrainAnnounced):
        event = Event("health", "draining-seen", name)
        effects += (Record(event),)
        effects += ejection.restore_floor(state, service, now_s)
    return effects


def _apply_to_ejected(state, name, observation, now_s):
    record = state.upstreams[name]
    if isinstance(observation, DrainAnnounced):
        update_scores(observation, state, name, None, now_s)
        effects = ejection.readmit(state, name, now_s, ramp_ends_at_s=now_s)
        service = record.upstream.service
        return effects + ejection.restore_floor(state, service, now_s)
    if now_s < record.ejected_until_at_s:
        return ()
    if isinstance(observation, ProbeFailed):
        ejection.extend_ejection(state, name, now_s)
    if isinstance(observation, ProbeSucceeded):
        return ejection.readmit(state, name, now_s, now_s + ejection.RAMP_S)
    return ()


def _updated_record(state, upstream, now_s, service_is_known):
    record = state.upstreams.get(upstream.name)
    if record and record.upstream.address == upstream.address:
        return record._replace(upstream=upstream)
    if record or not service_is_known:
        return UpstreamHealth(upstream)
    return UpstreamHealth(upstream, ramp_ends_at_s=now_s + ejection.RAMP_S)


def _halve_ejections(state, name, now_s):
    ejections = state.upstreams[name].ejections // 2
    ejections_halved_at_s = now_s + ejection.EJECTION_DECAY_S if ejections else math.inf
    state.update(name, ejections=ejections, ejections_halved_at_s=ejections_halved_at_s)
