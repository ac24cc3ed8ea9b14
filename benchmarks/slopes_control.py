"""Measure how the cost of the control thread grows with the fleet.

All decision cores are ticked together, as in a running instance.
"""

import itertools
from collections.abc import Iterator

from chervilpitch.limits import TOKEN_REQUEST_INTERVAL_S
from chervilpitch.runtime.control import Control
from chervilpitch.runtime.cores import Cores

from .slopes_fleet import make_fleet
from .slopes_measure import Point, time_call

__all__ = ["measure_at_size"]

TICKS_PER_CALL = 100


def measure_at_size(size: int) -> Iterator[Point]:
    """Yield the processor time of ticks without messages or a catalogue."""
    listed = make_fleet(size)
    own = next(iter(listed.values()))
    steps = itertools.count(1)
    clock_s = [0.0]
    cores = Cores(own, 1, b"s" * 32, lambda: clock_s[0], 0, lambda effects: None)
    control = Control(cores)
    control.apply_list(listed)

    def tick():
        clock_s[0] = next(steps) * TOKEN_REQUEST_INTERVAL_S
        control.tick()

    for _ in range(TICKS_PER_CALL):
        tick()
    point = time_call("control", "tick of all cores", "daemons", size, _repeat(tick))
    yield point._replace(
        median=point.median / TICKS_PER_CALL, least=point.least / TICKS_PER_CALL
    )
    yield time_call(
        "control",
        "addresses in use collected in a tick",
        "daemons",
        size,
        lambda: frozenset(one.peers_address for one in control.instances.values()),
    )


def _repeat(call):
    def run():
        for _ in range(TICKS_PER_CALL):
            call()

    return run
