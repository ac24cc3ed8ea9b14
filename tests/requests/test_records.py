import pytest
from hypothesis import given
from hypothesis import strategies as st

from chervilpitch.model import Refusal, RefusalKind, RunState
from chervilpitch.requests import (
    Answered,
    FirstRun,
    NotRun,
    Recorded,
    TicketRecords,
    Unknown,
    begin_request,
    issue_ticket,
    record_outcome,
    refuse_request,
    tick,
    verify_ticket,
)
from chervilpitch.requests.shared_capacity import SharedCapacity
from chervilpitch.requests.tickets import RECORD_RETENTION_S, TICKET_LIFETIME_S

SECRET = b"secret"
SHED = NotRun(RefusalKind.UPSTREAM_SHED)
LIMITED = Refusal(RefusalKind.RATE_EXCEEDED, RunState.NOT_RUN, ("b:1",), 9.0)


def records(**bounds):
    return TicketRecords("a", 1, SECRET, **bounds)


def issue(state, name="t", account="fitters"):
    return verify_ticket(
        SECRET, issue_ticket(state, account, "booking", name, 0.0).unwrap()
    ).unwrap()


def send(state, item, now_s=0.0, digest="d"):
    return begin_request(state, item, item.account, item.route, digest, now_s)


def complete(state, item, outcome, now_s=0.0):
    record_outcome(state, send(state, item).unwrap().record_id, outcome, now_s)
    return item


def test_no_ticket_is_refused_as_not_run():
    refusal = begin_request(
        records(), None, "fitters", "booking", "d", 0.0
    ).unwrap_err()
    assert refusal == Refusal(RefusalKind.TICKET_REQUIRED, RunState.NOT_RUN)


def test_a_ticket_is_valid_for_one_account_and_one_route():
    state = records()
    item = issue(state)
    for account, route in (("counters", "booking"), ("fitters", "other")):
        refusal = begin_request(state, item, account, route, "d", 0.0).unwrap_err()
        assert refusal.kind is RefusalKind.TICKET_INVALID
    assert isinstance(send(state, item).unwrap(), FirstRun)


def test_repeat_of_a_running_request_is_refused_as_in_progress():
    state = records()
    item = issue(state)
    send(state, item)
    refusal = send(state, item, 1.0).unwrap_err()
    assert refusal.kind is RefusalKind.REPEAT_IN_PROGRESS
    assert refusal.run is RunState.UNKNOWN


@pytest.mark.parametrize(
    "outcome",
    [Answered(201, (), b"x"), SHED, Unknown(RefusalKind.DEADLINE_EXCEEDED)],
)
def test_repeat_gets_the_first_outcome_only(outcome):
    state = records()
    item = complete(state, issue(state), outcome)
    record_outcome(state, item.ticket_id, Answered(200, (), b"late"), 1.0)
    assert send(state, item, 2.0).unwrap() == Recorded(outcome)


def test_a_ticket_refused_as_expired_stays_final_for_a_delayed_thread():
    state = records()
    item = issue(state)
    assert send(state, item, TICKET_LIFETIME_S).unwrap_err().run is RunState.NOT_RUN
    closed = Recorded(NotRun(RefusalKind.TICKET_EXPIRED))
    assert send(state, item, TICKET_LIFETIME_S - 1).unwrap() == closed


def test_ticket_whose_record_was_removed_is_unknown():
    state = records()
    item = complete(state, issue(state), SHED)
    tick(state, TICKET_LIFETIME_S + RECORD_RETENTION_S)
    assert len(state) == 0
    assert (
        send(state, item, TICKET_LIFETIME_S + RECORD_RETENTION_S).unwrap_err().run
        is RunState.UNKNOWN
    )


def test_a_running_record_is_kept_until_its_end_and_then_for_the_full_retention():
    state = records()
    item = issue(state)
    send(state, item)
    tick(state, 10_000.0)
    record_outcome(state, item.ticket_id, SHED, 10_000.0)
    tick(state, 10_000.0 + RECORD_RETENTION_S - 1)
    assert send(state, item, 10_001.0).unwrap() == Recorded(SHED)
    tick(state, 10_000.0 + 2 * RECORD_RETENTION_S)
    assert len(state) == 0


def test_refusal_makes_an_unused_ticket_final():
    state = records()
    item = issue(state)
    args = (item, "fitters", "booking", "d")
    assert refuse_request(state, *args, LIMITED, 0.0) == LIMITED
    assert send(state, item).unwrap() == Recorded(NotRun(RefusalKind.RATE_EXCEEDED))


def test_refusal_of_a_repeat_returns_the_outcome():
    state = records()
    item = complete(state, issue(state), Answered(201, (), b"x"))
    response = refuse_request(state, item, "fitters", "booking", "d", LIMITED, 0.0)
    assert response == Recorded(Answered(201, (), b"x"))


def test_full_records_refuse_new_tickets_and_remove_none():
    state = records(max_records=4)
    items = [issue(state, f"t{i}") for i in range(2)]
    refusal = issue_ticket(state, "fitters", "booking", "t9", 0.0).unwrap_err()
    assert refusal.kind is RefusalKind.RECORDS_FULL
    assert issue(state, "other", "counters").account == "counters"
    assert all(isinstance(send(state, item).unwrap(), FirstRun) for item in items)


def test_stopping_instance_issues_no_ticket():
    state = records()
    state.stop_issuing()
    kind = issue_ticket(state, "fitters", "booking", "t", 0.0).unwrap_err().kind
    assert kind is RefusalKind.NOT_READY


def test_body_beyond_the_capacity_is_dropped_but_the_outcome_is_kept():
    state = records(max_stored_bytes=10)
    first = complete(state, issue(state, "a"), Answered(201, (), b"12345"))
    second = complete(state, issue(state, "b"), Answered(201, (), b"12345"))
    assert send(state, first).unwrap().outcome.body == b"12345"
    assert send(state, second).unwrap().outcome == Answered(201, (), None)
    tick(state, TICKET_LIFETIME_S + RECORD_RETENTION_S)
    assert state.stored_bytes == 0


_HEADERS = st.sampled_from(((), (("etag", "7"),)))
_BODIES = st.none() | st.binary(max_size=9)
_OUTCOMES = st.builds(Answered, st.just(201), _HEADERS, _BODIES) | st.just(SHED)


@given(st.lists(_OUTCOMES, max_size=20))
def test_removal_releases_exactly_the_acquired_capacity(outcomes):
    state = records(max_stored_bytes=60)
    for number, outcome in enumerate(outcomes):
        item = complete(state, issue(state, f"t{number}"), outcome)
        stored = send(state, item).unwrap().outcome
        if outcome == Answered(201, (), b""):
            assert stored == outcome
        assert 0 <= state.stored_bytes <= 60
    tick(state, TICKET_LIFETIME_S + RECORD_RETENTION_S)
    assert (len(state), state.stored_bytes) == (0, 0)


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 9), st.booleans())))
def test_shared_capacity_is_never_exceeded_and_serves_an_idle_account(steps):
    capacity, acquired = SharedCapacity(30), []
    for account, units, releases in steps:
        if releases and acquired:
            capacity.release(*acquired.pop())
        elif capacity.acquire(str(account), units):
            acquired.append((str(account), units))
        assert capacity.used == sum(units for _, units in acquired) <= 30
    assert capacity.acquire("idle", 1)
