"""Periodic steps of an instance, run from one timer."""

import asyncio
from collections.abc import Callable, Iterable
from typing import NamedTuple

from chervilpitch.observe import part_logger

__all__ = ["PeriodicStep", "Schedule", "run_periodically"]

log = part_logger("instance")

TICK_S = 0.05


class PeriodicStep(NamedTuple):
    """A step and how often it runs.

    Parameters
    ----------
    run : callable
        Takes no arguments.
    interval_s : float
        Interval in seconds; rounded to a multiple of ``TICK_S``.
    """

    run: Callable[[], None]
    interval_s: float


class Schedule:
    """Due times of periodic steps, as multiples of ``TICK_S``.

    Steps of different intervals then become due together, so that an idle instance
    wakes up seldom. A step that is overdue by several intervals runs once.

    Parameters
    ----------
    steps : iterable of PeriodicStep
        Steps, all of which are due at first.
    now_s : float
        Monotonic time in seconds.

    Examples
    --------
    >>> schedule = Schedule([PeriodicStep(print, 0.1), PeriodicStep(repr, 0.5)], 3.02)
    >>> len(schedule.take_due(3.02)), len(schedule.take_due(3.12))
    (2, 1)
    >>> round(schedule.next_due_at_s, 2)
    3.2
    """

    def __init__(self, steps: Iterable[PeriodicStep], now_s: float):
        self._due_at_s = {step: now_s for step in steps}

    @property
    def next_due_at_s(self) -> float:
        """Monotonic time in seconds at which the next step is due."""
        return min(self._due_at_s.values())

    def take_due(self, now_s: float) -> list[PeriodicStep]:
        """Return the steps that are due, and set when each of them is due next.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        """
        due = [step for step, at_s in self._due_at_s.items() if now_s >= at_s]
        tick = int(now_s / TICK_S)
        for step in due:
            ticks = max(1, round(step.interval_s / TICK_S))
            self._due_at_s[step] = (tick + ticks) * TICK_S
        return due


async def run_periodically(steps: Iterable[PeriodicStep], clock) -> None:
    """Run steps at their intervals; never return.

    An exception of a step is logged, and the step runs again when it is next due.

    Parameters
    ----------
    steps : iterable of PeriodicStep
        Steps to run.
    clock : callable
        Returns monotonic seconds.
    """
    schedule = Schedule(steps, clock())
    while True:
        for step in schedule.take_due(clock()):
            try:
                step.run()
            except Exception:
                log.exception(
                    "A periodic step raised an exception; it runs again on schedule.",
                    step=getattr(step.run, "__qualname__", repr(step.run)),
                )
        await asyncio.sleep(max(0.0, schedule.next_due_at_s - clock()))
