"""Due times of periodic steps."""

import asyncio

import pytest

from chervilpitch.gateway.schedule import PeriodicStep, Schedule, run_periodically
from chervilpitch.transport.clock import monotonic_s

INTERVALS_S = (0.1, 0.2, 0.3, 0.4, 0.5, 2.0)
PLAYED_S = 20.0
MAX_WAKE_UPS_PER_S = 11


def play(intervals_s, played_s):
    """Return how often each interval's step ran, and the number of wake-ups."""
    steps = {
        interval_s: PeriodicStep(object(), interval_s) for interval_s in intervals_s
    }
    runs = dict.fromkeys(intervals_s, 0)
    now_s = 100.013
    schedule = Schedule(steps.values(), now_s)
    end_s = now_s + played_s
    wake_ups = 0
    while now_s < end_s:
        wake_ups += 1
        for step in schedule.take_due(now_s):
            runs[step.interval_s] += 1
        now_s = max(now_s, schedule.next_due_at_s) + 0.001
    return runs, wake_ups


def test_steps_run_at_their_intervals_and_share_wake_ups():
    runs, wake_ups = play(INTERVALS_S, PLAYED_S)
    for interval_s, count in runs.items():
        assert count == pytest.approx(PLAYED_S / interval_s, abs=2)
    assert wake_ups <= MAX_WAKE_UPS_PER_S * PLAYED_S


def test_a_step_that_is_overdue_by_several_intervals_runs_once():
    schedule = Schedule([PeriodicStep(object(), 0.1)], 10.0)
    assert len(schedule.take_due(10.0)) == 1
    assert len(schedule.take_due(15.0)) == 1
    assert schedule.take_due(15.01) == []


def test_a_step_that_raises_does_not_end_the_others():
    runs = []

    def fail():
        runs.append("fails")
        raise RuntimeError("unexpected")

    async def scenario():
        steps = [
            PeriodicStep(fail, 0.05),
            PeriodicStep(lambda: runs.append("ok"), 0.05),
        ]
        task = asyncio.create_task(run_periodically(steps, monotonic_s))
        await asyncio.sleep(0.3)
        task.cancel()

    asyncio.run(scenario())
    assert runs.count("ok") > 2
    assert runs.count("fails") > 2
