"""Time calls and count memory; a time is the median of several repeats."""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import Any, NamedTuple

__all__ = ["Point", "measure_allocated", "time_call", "make_point"]

US_PER_S = 1e6
REPEATS = 5
MIN_REPEAT_S = 0.02
REFERENCE_ITEMS = {str(n): n for n in range(10_000)}
REFERENCE_REPEATS = 3
LONG_CALL_S = 0.3
LONG_CALL_REPEATS = 2
VERY_LONG_CALL_S = 4.0


class Point(NamedTuple):
    """One measured value at one size.

    Parameters
    ----------
    topic, name, unit : str
        What was measured, and the unit; ``"us"`` is the processor time of one call.
    per : str
        What `size` counts.
    size : int
        Size of the measured input.
    median, least : float
        Median and minimum over the repeats, in the unit.
    repeats : int
        Number of repeats.
    reference : float
        Processor time of a fixed reference loop just before and after, in
        microseconds; 0 for a quantity that is counted.
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


def make_point(
    topic: str, name: str, unit: str, per: str, size: int, amount: float
) -> Point:
    """Return the point of a quantity that is counted, not timed."""
    return Point(topic, name, unit, per, size, amount, amount, 1)


def time_call(
    topic: str, name: str, per: str, size: int, call: Callable[[], Any]
) -> Point:
    """Measure the processor time of a call.

    Parameters
    ----------
    topic, name, per : str
        See `Point`.
    size : int
        Size of the measured input.
    call : callable
        Function to time. Short calls are run many times in each repeat; a call
        longer than `VERY_LONG_CALL_S` is run once.

    Returns
    -------
    Point
        Microseconds of processor time of the process for one call.
    """
    gc.collect()
    reference_s = _measure_reference_s()
    first_s = _measure_runs_s(call, 1)
    runs = max(1, round(MIN_REPEAT_S / max(first_s, 1e-7)))
    times_s = [first_s] * (first_s > LONG_CALL_S)
    times_s += [
        _measure_runs_s(call, runs) / runs for _ in range(_repeat_count(first_s))
    ]
    median_us = statistics.median(times_s) * US_PER_S
    least_us = min(times_s) * US_PER_S
    reference_us = statistics.median(reference_s + _measure_reference_s()) * US_PER_S
    return Point(
        topic, name, "us", per, size, median_us, least_us, len(times_s), reference_us
    )


def _repeat_count(first_s: float) -> int:
    if first_s > VERY_LONG_CALL_S:
        return 0
    return LONG_CALL_REPEATS if first_s > LONG_CALL_S else REPEATS


def measure_allocated(create: Callable[[], Any]) -> tuple[int, Any]:
    """Measure the memory that a call leaves allocated.

    Parameters
    ----------
    create : callable
        Creates the object that stays in memory.

    Returns
    -------
    tuple of int and object
        Allocated bytes by `tracemalloc`, and the object.
    """
    gc.collect()
    tracemalloc.start()
    before_bytes, _ = tracemalloc.get_traced_memory()
    created = create()
    gc.collect()
    after_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after_bytes - before_bytes, created


def _measure_reference_s() -> list[float]:
    """Return the times of a fixed workload, which show the current machine speed."""
    return [_measure_runs_s(_run_reference_work, 1) for _ in range(REFERENCE_REPEATS)]


def _run_reference_work() -> int:
    return sum(REFERENCE_ITEMS[str(n)] for n in range(len(REFERENCE_ITEMS)))


def _measure_runs_s(call: Callable[[], Any], runs: int) -> float:
    started_s = time.process_time()
    for _ in range(runs):
        call()
    return time.process_time() - started_s
