"""Timing and counting for the slopes: medians of repeats."""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import Any, NamedTuple

__all__ = ["Point", "held_bytes", "timed", "value"]

US_PER_S = 1e6
REPEATS = 5
ENOUGH_S = 0.02
REFERENCE_ITEMS = {str(n): n for n in range(10_000)}
REFERENCE_REPEATS = 3
LONG_S = 0.3
FURTHER_REPEATS = 2
VERY_LONG_S = 4.0


class Point(NamedTuple):
    """One measured value at one size.

    Parameters
    ----------
    topic, name, unit : str
        What was measured; ``"us"`` is processor time of one call.
    per : str
        What the size counts.
    size : int
        The size.
    median, least : float
        Over the repeats, in the unit.
    repeats : int
        How often it was measured.
    reference : float
        Microseconds that a loop which never changes took beside it; 0 for what is
        counted.
    """

    topic: str
    name: str
    unit: str
    per: str
    size: int
    median: float
    least: float
    repeats: int
    reference: float = 0.0


def value(
    topic: str, name: str, unit: str, per: str, size: int, amount: float
) -> Point:
    """Return a point of a quantity that is counted, not timed."""
    return Point(topic, name, unit, per, size, amount, amount, 1)


def timed(topic: str, name: str, per: str, size: int, call: Callable[[], Any]) -> Point:
    """Return the processor time of a call.

    Parameters
    ----------
    topic, name, per : str
        See `Point`.
    size : int
        The size.
    call : callable
        What is timed. Short calls are run many times in each repeat; one that
        takes seconds is run once.

    Returns
    -------
    Point
        In microseconds of processor time of the process for one call.
    """
    gc.collect()
    beside_s = _reference_s()
    first_s = _run_s(call, 1)
    runs = max(1, round(ENOUGH_S / max(first_s, 1e-7)))
    taken = [first_s] * (first_s > LONG_S)
    taken += [_run_s(call, runs) / runs for _ in range(_repeats(first_s))]
    median_us = statistics.median(taken) * US_PER_S
    least_us = min(taken) * US_PER_S
    beside_us = statistics.median(beside_s + _reference_s()) * US_PER_S
    return Point(
        topic, name, "us", per, size, median_us, least_us, len(taken), beside_us
    )


def _repeats(first_s: float) -> int:
    if first_s > VERY_LONG_S:
        return 0
    return FURTHER_REPEATS if first_s > LONG_S else REPEATS


def held_bytes(make: Callable[[], Any]) -> tuple[int, Any]:
    """Return the bytes that a call leaves allocated, and what it made.

    Parameters
    ----------
    make : callable
        Makes what is held.

    Returns
    -------
    tuple of int and object
        Bytes by `tracemalloc`, and the object.
    """
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    made = make()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before, made


def _reference_s() -> list[float]:
    """Return the times of work that never changes: the speed of the machine now."""
    return [_run_s(_look_up_all, 1) for _ in range(REFERENCE_REPEATS)]


def _look_up_all() -> int:
    return sum(REFERENCE_ITEMS[str(n)] for n in range(len(REFERENCE_ITEMS)))


def _run_s(call: Callable[[], Any], runs: int) -> float:
    started_s = time.process_time()
    for _ in range(runs):
        call()
    return time.process_time() - started_s
