"""No request runs twice under message loss, delay, repetition and restarts."""

import pytest
from hypothesis import Phase, given, settings

from tests.requests.fleet import EVENTS, NaiveInstance, TicketInstance, run

GRANT = ("grant", "a")
SEND = ("send", 0, "a", "own", 0)
DELIVER = ("deliver", 0)
ANSWERED = ("complete", 0, "answered")

SCHEDULES = {
    "repeat at another instance": [
        *(GRANT, SEND, DELIVER, ANSWERED),
        *(("send", 0, "b", "own", 0), DELIVER, ANSWERED),
    ],
    "repeat while the first request runs": [
        *(GRANT, SEND, SEND, DELIVER, DELIVER, ANSWERED, ANSWERED),
    ],
    "repeat after a restart": [
        *(GRANT, SEND, DELIVER, ANSWERED, ("crash", "a")),
        *(SEND, DELIVER, ANSWERED),
    ],
    "retry by the proxy after a lost response": [
        *(GRANT, SEND, DELIVER, ("complete", 0, "answer-lost")),
    ],
    "first copy delivered after the second was refused": [
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
    "record evicted by other requests": [
        *(GRANT, SEND, DELIVER, ANSWERED, *[GRANT] * 8),
        *[e for i in range(1, 9) for e in (("send", i, *SEND[2:]), DELIVER, ANSWERED)],
        *(SEND, DELIVER, ANSWERED),
    ],
}


@given(EVENTS)
def test_random_schedules_never_run_twice_or_report_a_false_not_run(events):
    run(TicketInstance, events)


@pytest.mark.parametrize("events", SCHEDULES.values(), ids=SCHEDULES)
def test_known_schedule_never_runs_twice_or_reports_a_false_not_run(events):
    run(TicketInstance, events)


@pytest.mark.parametrize("events", SCHEDULES.values(), ids=SCHEDULES)
def test_naive_records_fail_on_the_schedule(events):
    with pytest.raises(AssertionError, match="ran twice|not-run was false|another"):
        run(NaiveInstance, events)


def test_random_schedules_reach_runs_and_not_run_refusals():
    counts = {"ran": 0, "not-run": 0}

    @given(EVENTS)
    def count(events):
        fleet = run(TicketInstance, events)
        counts["ran"] += len(fleet.ran)
        counts["not-run"] += len(fleet.reported_not_run)

    count()
    assert counts["ran"] > 10
    assert counts["not-run"] > 10


@settings(phases=[Phase.generate])
@given(EVENTS)
def _check_naive_records(events):
    run(NaiveInstance, events)


def test_random_schedules_find_the_faults_of_the_naive_records():
    with pytest.raises((AssertionError, ExceptionGroup)):
        _check_naive_records()
