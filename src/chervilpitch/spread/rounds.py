"""Periodic work: rounds of adverts, reads, timeouts and readiness."""

from collections.abc import Mapping

from chervilpitch.model import Instance, Send

from .effects import SpreadEffect, record_event
from .exchange import advance_and_advertise, advertise
from .neighbours import find_neighbours, round_robin
from .reading import due_reads
from .state import SpreadState, advert, ready
from .transfer import cancel_fetch

__all__ = ["tick", "update_instances"]

ROUND_INTERVAL_S = 2.0
START_ROUND_INTERVAL_S = 0.5


def tick(state: SpreadState, now_s: float) -> tuple[SpreadEffect, ...]:
    """Handle timeouts, apply notes, check readiness, send adverts and start reads.

    Parameters
    ----------
    state : SpreadState
        State of the instance; changed in place.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of SpreadEffect
        Adverts, reads, events to record and changes of the catalogue.

    Notes
    -----
    Call it about twice a second.
    """
    effects: list[SpreadEffect] = []
    if state._fetch is not None and now_s >= state._fetch.until_s:
        effects.extend(cancel_fetch(state))
    if now_s >= state._served_until_s:
        state._served_snapshot = None
    effects.extend(advance_and_advertise(state, now_s))
    if not state._is_ready and ready(state, now_s):
        state._is_ready = True
        effects.append(record_event("ready", state.chain.catalogue.revision))
    if now_s >= state._next_round_at_s:
        effects.extend(_start_round(state, now_s))
    effects.extend(due_reads(state, now_s))
    return tuple(effects)


def _start_round(state: SpreadState, now_s: float) -> tuple[SpreadEffect, ...]:
    """Advertise to the neighbours and query two peers in rotation.

    One peer is from all instances, one from the failure domain. During the start,
    query only the start peers that have not advertised that they are ready, or
    all start peers if every one has.
    """
    if not state._is_ready:
        state._next_round_at_s = now_s + START_ROUND_INTERVAL_S
        query = advert(state, now_s, is_query=True)
        missing = [n for n in state.neighbours.start if n not in state._ready_peers]
        return tuple(Send(name, query) for name in missing or state.neighbours.start)
    state._next_round_at_s = now_s + ROUND_INTERVAL_S
    state._round += 1
    neighbours = state.neighbours
    position = state._round + state._position
    turns = round_robin(neighbours.ring, position) + round_robin(
        neighbours.domain, position
    )
    query = advert(state, now_s, is_query=True)
    return (
        *advertise(state, now_s),
        *(Send(name, query) for name in dict.fromkeys(turns)),
    )


def update_instances(
    state: SpreadState, instances: Mapping[str, Instance], now_s: float
) -> tuple[SpreadEffect, ...]:
    """Update the instances known and the neighbours among them.

    Parameters
    ----------
    state : SpreadState
        State of the instance; changed in place.
    instances : mapping of str to Instance
        Instances by name, including those that are leaving.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of SpreadEffect
        Always empty.
    """
    if instances == state._instances:
        return ()
    state._instances = dict(instances)
    state._neighbours = find_neighbours(state._own, instances)
    state._position = sorted({*instances, state._own.name}).index(state._own.name)
    return ()
