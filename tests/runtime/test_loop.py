"""The control thread."""

import pytest

from chervilpitch.model import Instance, Sender
from chervilpitch.runtime.control import Control
from chervilpitch.runtime.cores import Cores
from chervilpitch.runtime.journal import Journal
from chervilpitch.runtime.loop import ControlLoop
from standins.fleet import free_address, wait_until


@pytest.fixture
def own():
    return Instance("a", 0, "punjab/a", free_address(), free_address())


def test_a_failed_step_is_recorded_and_later_steps_still_run(own):
    calls = []

    def fail():
        calls.append("probe")
        raise KeyError("desk-0")

    cores = Cores(own, 1, b"a secret of the fleet", lambda: 1.0, 5, lambda e: None)
    journal = Journal(Sender("a", 1))
    loop = ControlLoop(
        cores,
        Control(cores),
        b"a secret of the fleet",
        journal,
        read=lambda effect: None,
        probe=fail,
        upkeep=lambda: calls.append("upkeep"),
    )
    loop.start()
    wait_until(lambda: calls.count("upkeep") >= 2, "two rounds")
    loop.stop()
    assert "step-failed" in journal.lines()
