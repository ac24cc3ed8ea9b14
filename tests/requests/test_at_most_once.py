"""No request runs twice, whatever is lost, late, repeated or restarted."""

import pytest
from hypothesis import Phase, given, settings

from tests.requests.fleet import EVENTS, NaiveInstance, OurInstance, run

GRANT = ("grant", "a")
SEND = ("send", 0, "a", "own", 0)
DELIVER = ("deliver", 0)
ANSWERED = ("complete", 0, "answered")

SCHEDULES = {
    "repeat at another instance": [
        *(GRANT, SEND, DELIVER, ANSWERED),
        *(("send", 0, "b", "own", 0), DELIVER, ANSWERED),
    ],
    "repeat while the first runs": [
        *(GRANT, SEND, SEND, DELIVER, DELIVER, ANSWERED, ANSWERED),
    ],
    "repeat after a restart": [
        *(GRANT, SEND, DELIVER, ANSWERED, ("crash", "a")),
        *(SEND, DELIVER, ANSWERED),
    ],
    "retry by the proxy after a lost answer": [
        *(GRANT, SEND, DELIVER, ("complete", 0, "answer-lost")),
    ],
    "first sending late after a refusal of the second": [
        *(GRANT, SEND, SEND, DELIVER, ("complete", 0, "shed")),
        *(DELIVER, ANSWERED),
    ],
    "another request with the same ticket": [
        *(GRANT, SEND, DELIVER, ANSWERED),
        *(("send", 0, "a", "own", 1), DELIVER),
    ],
    "another account with a stolen ticket": [
        *(GRANT, ("send", 0, "a", "thief", 0), DELIVER),
    ],
    "record pushed out by other requests": [
        *(GRANT, SEND, DELIVER, ANSWERED, *[GRANT] * 8),
        *[e for i in range(1, 9) for e in (("send", i, *SEND[2:]), DELIVER, ANSWERED)],
        *(SEND, DELIVER, ANSWERED),
    ],
}


@given(EVENTS)
def test_random_schedules_never_run_twice_nor_refuse_untruthfully(events):
    run(OurInstance, events)


@pytest.mark.parametrize("events", SCHEDULES.values(), ids=SCHEDULES)
def test_schedule_is_safe(events):
    run(OurInstance, events)


@pytest.mark.parametrize("events", SCHEDULES.values(), ids=SCHEDULES)
def test_naive_version_breaks_on_the_schedule(events):
    with pytest.raises(AssertionError, match="ran twice|not-run was false|another"):
        run(NaiveInstance, events)


def test_random_schedules_do_run_and_replay():
    counts = {"ran": 0, "not-run": 0}

    @given(EVENTS)
    def count(events):
        fleet = run(OurInstance, events)
        counts["ran"] += len(fleet.ran)
        counts["not-run"] += len(fleet.said_not_run)

    count()
    assert counts["ran"] > 10
    assert counts["not-run"] > 10


@settings(phases=[Phase.generate])
@given(EVENTS)
def _naive_is_safe(events):
    run(NaiveInstance, events)


def test_random_schedules_catch_the_naive_version():
    with pytest.raises((AssertionError, ExceptionGroup)):
        _naive_is_safe()
