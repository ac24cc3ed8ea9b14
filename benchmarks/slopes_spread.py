"""Slopes of the spreading of release notes: neighbours, rounds, adverts."""

import itertools
from collections.abc import Iterator

from chervilpitch import spread
from chervilpitch.model import EMPTY_CATALOGUE, Sender
from chervilpitch.spread.neighbours import find_neighbours

from .slopes_fleet import DIGEST, fleet
from .slopes_measure import Point, held_bytes, timed, value

__all__ = ["at_size"]

TOPIC = "spread"


def at_size(size: int) -> Iterator[Point]:
    """Yield the points of the spreading in a fleet of one size."""
    listed = fleet(size)
    own = next(iter(listed.values()))
    state = spread.SpreadState(own, 0.0)
    taken, _ = held_bytes(lambda: spread.update_instances(state, listed, 0.0))
    yield value(TOPIC, "neighbours", "bytes", "daemons", size, taken)
    near = state.neighbours
    yield value(
        TOPIC, "pushes of a change", "messages", "daemons", size, len(near.push)
    )
    yield timed(
        TOPIC, "find_neighbours", "daemons", size, lambda: find_neighbours(own, listed)
    )
    yield from _reach(listed, size)
    state.chain.apply_catalogue(EMPTY_CATALOGUE._replace(revision=1, digest=DIGEST), "")
    for name in near.start:
        spread.receive(state, _advert(), Sender(name, 2), 0.0)
    spread.handle_platform_event(state, spread.PlatformHead(1, DIGEST), 0.0)
    spread.tick(state, 0.0)
    yield from _work(state, size)


def _advert():
    return spread.RevisionAdvert(1, DIGEST, 1, DIGEST, 1.0, True, False)


def _work(state, size) -> Iterator[Point]:
    clock = itertools.count(1)
    yield timed(
        TOPIC,
        "round of adverts",
        "daemons",
        size,
        lambda: spread.tick(state, 3.0 * next(clock)),
    )
    now_s = 3.0 * next(clock)
    spread.tick(state, now_s)
    yield timed(TOPIC, "tick", "daemons", size, lambda: spread.tick(state, now_s))
    sender = Sender(state.neighbours.push[0], 2)
    yield timed(
        TOPIC,
        "advert taken",
        "daemons",
        size,
        lambda: spread.receive(state, _advert(), sender, now_s),
    )


def _reach(listed, size) -> Iterator[Point]:
    """Yield how far and by how many pushes news of one reader travel."""
    pushes = {n: find_neighbours(i, listed).push for n, i in listed.items()}
    first = next(iter(pushes))
    hops = {first: 0}
    edge = [first]
    while edge:
        found = [n for name in edge for n in pushes[name] if n not in hops]
        edge = list(dict.fromkeys(found))
        depth = max(hops.values()) + 1
        hops.update((name, depth) for name in edge)
    reached = len(hops) / len(listed)
    yield value(TOPIC, "share reached by pushes", "share", "daemons", size, reached)
    yield value(TOPIC, "hops of pushes", "hops", "daemons", size, max(hops.values()))
    most = max(map(len, pushes.values()))
    yield value(TOPIC, "pushes of a bridge", "messages", "daemons", size, most)
    total = sum(map(len, pushes.values()))
    yield value(TOPIC, "pushes of the fleet", "messages", "daemons", size, total)
