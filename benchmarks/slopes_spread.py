"""Measure how the cost of gossiping release notes grows with the fleet.

This covers the choice of neighbours, gossip rounds and revision adverts.
"""

import itertools
from collections.abc import Iterator

from chervilpitch import spread
from chervilpitch.model import EMPTY_CATALOGUE, Sender
from chervilpitch.spread.neighbours import find_neighbours

from .slopes_fleet import DIGEST, make_fleet
from .slopes_measure import Point, make_point, measure_allocated, time_call

__all__ = ["measure_at_size"]

TOPIC = "spread"


def measure_at_size(size: int) -> Iterator[Point]:
    """Yield the points of gossip in a fleet of the given size."""
    listed = make_fleet(size)
    own = next(iter(listed.values()))
    state = spread.SpreadState(own, 0.0)
    state_bytes, _ = measure_allocated(
        lambda: spread.update_instances(state, listed, 0.0)
    )
    yield make_point(TOPIC, "neighbours", "bytes", "daemons", size, state_bytes)
    neighbours = state.neighbours
    yield make_point(
        TOPIC, "pushes of a change", "messages", "daemons", size, len(neighbours.push)
    )
    yield time_call(
        TOPIC, "find_neighbours", "daemons", size, lambda: find_neighbours(own, listed)
    )
    yield from _measure_reach(listed, size)
    state.chain.apply_catalogue(EMPTY_CATALOGUE._replace(revision=1, digest=DIGEST), "")
    for name in neighbours.start:
        spread.receive(state, _make_advert(), Sender(name, 2), 0.0)
    spread.handle_platform_event(state, spread.PlatformHead(1, DIGEST), 0.0)
    spread.tick(state, 0.0)
    yield from _measure_ticks(state, size)


def _make_advert():
    return spread.RevisionAdvert(1, DIGEST, 1, DIGEST, 1.0, True, False)


def _measure_ticks(state, size) -> Iterator[Point]:
    clock = itertools.count(1)
    yield time_call(
        TOPIC,
        "round of adverts",
        "daemons",
        size,
        lambda: spread.tick(state, 3.0 * next(clock)),
    )
    now_s = 3.0 * next(clock)
    spread.tick(state, now_s)
    yield time_call(TOPIC, "tick", "daemons", size, lambda: spread.tick(state, now_s))
    sender = Sender(state.neighbours.push[0], 2)
    yield time_call(
        TOPIC,
        "advert taken",
        "daemons",
        size,
        lambda: spread.receive(state, _make_advert(), sender, now_s),
    )


def _measure_reach(listed, size) -> Iterator[Point]:
    """Yield how far pushes of a change from one instance reach, in how many messages.

    A breadth-first search over the push neighbours gives the hops.
    """
    pushes = {n: find_neighbours(i, listed).push for n, i in listed.items()}
    first = next(iter(pushes))
    hops = {first: 0}
    frontier = [first]
    while frontier:
        reached = [n for name in frontier for n in pushes[name] if n not in hops]
        frontier = list(dict.fromkeys(reached))
        depth = max(hops.values()) + 1
        hops.update((name, depth) for name in frontier)
    reached_share = len(hops) / len(listed)
    yield make_point(
        TOPIC, "share reached by pushes", "share", "daemons", size, reached_share
    )
    yield make_point(
        TOPIC, "hops of pushes", "hops", "daemons", size, max(hops.values())
    )
    max_pushes = max(map(len, pushes.values()))
    yield make_point(
        TOPIC, "pushes of a bridge", "messages", "daemons", size, max_pushes
    )
    total_pushes = sum(map(len, pushes.values()))
    yield make_point(
        TOPIC, "pushes of the fleet", "messages", "daemons", size, total_pushes
    )
