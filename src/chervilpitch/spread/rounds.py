"""What falls due: rounds of adverts, reads, time limits and the start."""

from collections.abc import Mapping

from chervilpitch.model import Instance, Send

from .effects import SpreadEffect, record
from .exchange import progress, push
from .neighbours import find_neighbours, rotated
from .reading import read_due
from .state import SpreadState, advert, ready
from .transfer import drop_fetch

__all__ = ["update_instances", "tick"]

ROUND_S = 2.0
START_ROUND_S = 0.5


def tick(state: SpreadState, now_s: float) -> tuple[SpreadEffect, ...]:
    """Do what falls due.

    Parameters
    ----------
    state : SpreadState
        State of the instance; changed in place.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of SpreadEffect
        What the shell is to do. Call it about twice a second.
    """
    effects: list[SpreadEffect] = []
    if state._fetch is not None and now_s >= state._fetch.until_s:
        effects.extend(drop_fetch(state))
    if now_s >= state._served_until_s:
        state._served = None
    effects.extend(progress(state, now_s))
    if not state._is_ready and ready(state, now_s):
        state._is_ready = True
        effects.append(record("ready", state.chain.catalogue.revision))
    if now_s >= state._next_round_at_s:
        effects.extend(_round(state, now_s))
    effects.extend(read_due(state, now_s))
    return tuple(effects)


def _round(state: SpreadState, now_s: float) -> tuple[SpreadEffect, ...]:
    """Advertise to the neighbours and to the two peers whose turn it is."""
    if not state._is_ready:
        state._next_round_at_s = now_s + START_ROUND_S
        query = advert(state, now_s, is_query=True)
        missing = [n for n in state.neighbours.start if n not in state._answered]
        return tuple(Send(name, query) for name in missing or state.neighbours.start)
    state._next_round_at_s = now_s + ROUND_S
    state._round += 1
    neighbours = state.neighbours
    position = state._round + state._position
    turns = rotated(neighbours.ring, position) + rotated(neighbours.domain, position)
    query = advert(state, now_s, is_query=True)
    return (*push(state, now_s), *(Send(name, query) for name in dict.fromkeys(turns)))


def update_instances(
    state: SpreadState, instances: Mapping[str, Instance], now_s: float
) -> tuple[SpreadEffect, ...]:
    """Take the instances known.

    Parameters
    ----------
    state : SpreadState
        State of the instance; changed in place.
    instances : mapping of str to Instance
        The instances, by name, leaving ones included.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of SpreadEffect
        What the shell is to do.
    """
    if instances == state._instances:
        return ()
    state._instances = dict(instances)
    state._neighbours = find_neighbours(state._own, instances)
    state._position = sorted({*instances, state._own.name}).index(state._own.name)
    return ()
