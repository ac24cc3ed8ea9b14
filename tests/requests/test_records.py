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
from chervilpitch.requests.quota import Quota
from chervilpitch.requests.tickets import KEEP_S, LIFE_S

SECRET = b"secret"
SHED = NotRun(RefusalKind.UPSTREAM_SHED)
LIMITED = Refusal(RefusalKind.RATE_EXCEEDED, RunState.NOT_RUN, ("b:1",), 9.0)


def records(**bounds):
    return TicketRecords("a", 1, SECRET, **bounds)


def ticket(state, name="t", account="fitters"):
    return verify_ticket(
        SECRET, issue_ticket(state, account, "booking", name, 0.0).unwrap()
    ).unwrap()


def send(state, item, now_s=0.0, digest="d"):
    return begin_request(state, item, item.account, item.route, digest, now_s)


def ended(state, item, outcome, now_s=0.0):
    record_outcome(state, send(state, item).unwrap().record_id, outcome, now_s)
    return item


def test_no_ticket_is_refused_as_not_run():
    refusal = begin_request(
        records(), None, "fitters", "booking", "d", 0.0
    ).unwrap_err()
    assert refusal == Refusal(RefusalKind.TICKET_REQUIRED, RunState.NOT_RUN)


def test_a_ticket_is_of_one_account_and_one_route():
    state = records()
    item = ticket(state)
    for account, route in (("counters", "booking"), ("fitters", "other")):
        refusal = begin_request(state, item, account, route, "d", 0.0).unwrap_err()
        assert refusal.kind is RefusalKind.TICKET_INVALID
    assert isinstance(send(state, item).unwrap(), FirstRun)


def test_repeat_of_a_running_request_is_told_to_wait():
    state = records()
    item = ticket(state)
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
    item = ended(state, ticket(state), outcome)
    record_outcome(state, item.ticket_id, Answered(200, (), b"late"), 1.0)
    assert send(state, item, 2.0).unwrap() == Recorded(outcome)


def test_a_ticket_once_refused_as_expired_stays_closed_for_a_late_thread():
    state = records()
    item = ticket(state)
    assert send(state, item, LIFE_S).unwrap_err().run is RunState.NOT_RUN
    closed = Recorded(NotRun(RefusalKind.TICKET_EXPIRED))
    assert send(state, item, LIFE_S - 1).unwrap() == closed


def test_forgotten_ticket_is_unknown():
    state = records()
    item = ended(state, ticket(state), SHED)
    tick(state, LIFE_S + KEEP_S)
    assert len(state) == 0
    assert send(state, item, LIFE_S + KEEP_S).unwrap_err().run is RunState.UNKNOWN


def test_a_running_record_is_kept_however_long_and_then_for_the_full_time():
    state = records()
    item = ticket(state)
    send(state, item)
    tick(state, 10_000.0)
    record_outcome(state, item.ticket_id, SHED, 10_000.0)
    tick(state, 10_000.0 + KEEP_S - 1)
    assert send(state, item, 10_001.0).unwrap() == Recorded(SHED)
    tick(state, 10_000.0 + 2 * KEEP_S)
    assert len(state) == 0


def test_refusal_closes_an_unused_ticket():
    state = records()
    item = ticket(state)
    args = (item, "fitters", "booking", "d")
    assert refuse_request(state, *args, LIMITED, 0.0) == LIMITED
    assert send(state, item).unwrap() == Recorded(NotRun(RefusalKind.RATE_EXCEEDED))


def test_refusal_of_a_repeat_gives_the_outcome():
    state = records()
    item = ended(state, ticket(state), Answered(201, (), b"x"))
    reply = refuse_request(state, item, "fitters", "booking", "d", LIMITED, 0.0)
    assert reply == Recorded(Answered(201, (), b"x"))


def test_full_records_refuse_new_tickets_and_forget_none():
    state = records(max_records=4)
    items = [ticket(state, f"t{i}") for i in range(2)]
    refusal = issue_ticket(state, "fitters", "booking", "t9", 0.0).unwrap_err()
    assert refusal.kind is RefusalKind.RECORDS_FULL
    assert ticket(state, "other", "counters").account == "counters"
    assert all(isinstance(send(state, item).unwrap(), FirstRun) for item in items)


def test_stopping_instance_grants_nothing():
    state = records()
    state.stop_granting()
    kind = issue_ticket(state, "fitters", "booking", "t", 0.0).unwrap_err().kind
    assert kind is RefusalKind.NOT_READY


def test_body_beyond_the_bound_is_dropped_but_the_outcome_kept():
    state = records(max_held_bytes=10)
    first = ended(state, ticket(state, "a"), Answered(201, (), b"12345"))
    second = ended(state, ticket(state, "b"), Answered(201, (), b"12345"))
    assert send(state, first).unwrap().outcome.body == b"12345"
    assert send(state, second).unwrap().outcome == Answered(201, (), None)
    tick(state, LIFE_S + KEEP_S)
    assert state.held_bytes == 0


_HEADERS = st.sampled_from(((), (("etag", "7"),)))
_BODIES = st.none() | st.binary(max_size=9)
_OUTCOMES = st.builds(Answered, st.just(201), _HEADERS, _BODIES) | st.just(SHED)


@given(st.lists(_OUTCOMES, max_size=20))
def test_forgetting_gives_back_just_what_was_taken(outcomes):
    state = records(max_held_bytes=60)
    for number, outcome in enumerate(outcomes):
        item = ended(state, ticket(state, f"t{number}"), outcome)
        held = send(state, item).unwrap().outcome
        if outcome == Answered(201, (), b""):
            assert held == outcome
        assert 0 <= state.held_bytes <= 60
    tick(state, LIFE_S + KEEP_S)
    assert (len(state), state.held_bytes) == (0, 0)


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 9), st.booleans())))
def test_quota_never_exceeds_capacity_and_serves_an_idle_account(steps):
    quota, taken = Quota(30), []
    for account, units, gives_back in steps:
        if gives_back and taken:
            quota.give_back(*taken.pop())
        elif quota.take(str(account), units):
            taken.append((str(account), units))
        assert quota.used == sum(units for _, units in taken) <= 30
    assert quota.take("idle", 1)
