"""Slopes of a whole control thread: all cores ticked as the program does."""

import itertools
from collections.abc import Iterator

from chervilpitch.limits import TOKEN_REQUEST_INTERVAL_S
from chervilpitch.runtime.control import Control
from chervilpitch.runtime.cores import Cores

from .slopes_fleet import fleet
from .slopes_measure import Point, timed

__all__ = ["at_size"]

TICKS = 100


def at_size(size: int) -> Iterator[Point]:
    """Yield the processor time of ticks without messages and catalogue."""
    listed = fleet(size)
    own = next(iter(listed.values()))
    steps = itertools.count(1)
    now = [0.0]
    cores = Cores(own, 1, b"s" * 32, lambda: now[0], 0, lambda effects: None)
    control = Control(cores)
    control.apply_list(listed)

    def tick():
        now[0] = next(steps) * TOKEN_REQUEST_INTERVAL_S
        control.tick()

    for _ in range(TICKS):
        tick()
    ticks = timed("control", "tick of all cores", "daemons", size, _many(tick))
    yield ticks._replace(median=ticks.median / TICKS, least=ticks.least / TICKS)
    yield timed(
        "control",
        "addresses in use collected in a tick",
        "daemons",
        size,
        lambda: frozenset(one.peers_address for one in control.instances.values()),
    )


def _many(call):
    def run():
        for _ in range(TICKS):
            call()

    return run
