import json

import pytest

from chervilpitch.model import Refusal, RefusalKind, RunState
from chervilpitch.requests import (
    STATUS_BY_KIND,
    Answered,
    NotRun,
    Unknown,
    refusal_before_lookup,
    refusal_response,
    replay,
)


@pytest.mark.parametrize("kind", RefusalKind)
@pytest.mark.parametrize("run", RunState)
def test_every_refusal_has_a_status_and_a_machine_readable_body(kind, run):
    response = refusal_response(
        Refusal(kind, run, ("b:1", "c:1"), 12.5), 10.0, "ticket"
    )
    headers = dict(response.headers)
    assert 400 <= response.status <= 599
    assert json.loads(response.body) == {
        "type": kind.value,
        "run": run.value,
        "go_to": ["b:1", "c:1"],
        "retry_after": 3,
    }
    assert headers["Chervilpitch-Run"] == run.value
    assert headers["Chervilpitch-Refusal"] == kind.value
    assert headers["Chervilpitch-Go-To"] == "b:1, c:1"
    assert headers["Chervilpitch-Ticket"] == "ticket"
    assert headers["Retry-After"] == "3"


def test_every_refusal_kind_has_a_status():
    assert set(STATUS_BY_KIND) == set(RefusalKind)


def test_retry_after_is_zero_for_a_past_time_and_absent_without_a_time():
    refusal = Refusal(RefusalKind.NO_SLOT, RunState.NOT_RUN, (), 1.0)
    assert json.loads(refusal_response(refusal, 9.0).body)["retry_after"] == 0
    bare = refusal_response(refusal._replace(retry_at_s=None), 9.0)
    assert "Retry-After" not in dict(bare.headers)


def test_recorded_response_is_replayed_and_marked():
    response = replay(Answered(201, (("etag", "7"),), b"booked"), 0.0)
    assert response == (201, (("etag", "7"), ("Chervilpitch-Replayed", "1")), b"booked")


@pytest.mark.parametrize(
    "outcome, kind, run",
    [
        (Answered(201, (), None), "outcome-not-held", "run"),
        (NotRun(RefusalKind.NO_SLOT), "no-slot", "not-run"),
        (Unknown(RefusalKind.UPSTREAM_FAILED), "upstream-failed", "unknown"),
    ],
)
def test_other_outcomes_are_refusals_with_their_run_state(outcome, kind, run):
    response = replay(outcome, 0.0, "ticket")
    body = json.loads(response.body)
    assert (body["type"], body["run"]) == (kind, run)
    assert ("Chervilpitch-Ticket" in dict(response.headers)) == (run == "not-run")


def test_refusal_before_the_ticket_is_looked_up_is_unknown():
    refusal = Refusal(RefusalKind.KEY_UNKNOWN, RunState.NOT_RUN)
    assert refusal_before_lookup(refusal, has_ticket=True).run is RunState.UNKNOWN
    assert refusal_before_lookup(refusal, has_ticket=False) == refusal
