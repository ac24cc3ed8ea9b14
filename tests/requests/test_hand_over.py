from hypothesis import given
from hypothesis import strategies as st

from chervilpitch.model import Instance, RefusalKind, RunState, Sender
from chervilpitch.requests import (
    Answered,
    FinalOutcomes,
    NotRun,
    Recorded,
    TicketRecords,
    Unknown,
    begin_request,
    close_unused_tickets,
    hand_over,
    has_open_tickets,
    issue_ticket,
    receive,
    record_outcome,
    tick,
    update_instances,
    verify_ticket,
)
from chervilpitch.requests.hand_over import decode_outcome, encode_outcome

SECRET = b"secret"
OLD, NEW = Sender("a", 1), Sender("a", 2)
A = Instance("a", 0, "r/d", "a:1", "a:2")
KINDS = st.sampled_from(RefusalKind)
OUTCOMES = st.one_of(
    st.builds(NotRun, KINDS), st.builds(Unknown, KINDS), st.builds(Answered)
)


def make_pair():
    origin, peer = TicketRecords("a", 1, SECRET), TicketRecords("b", 7, SECRET)
    update_instances(peer, {"a": A}, 0.0)
    return origin, peer


def issue(state, name):
    text = issue_ticket(state, "fitters", "booking", name, 0.0).unwrap()
    return verify_ticket(SECRET, text).unwrap()


def send(state, item, digest="d"):
    return begin_request(state, item, "fitters", "booking", digest, 1.0)


def transfer(origin, peer, now_s=1.0):
    for effect in hand_over(origin, ("b",), now_s):
        receive(effect.message, peer, OLD, now_s)


@given(OUTCOMES)
def test_encoded_outcome_decodes_to_itself(outcome):
    assert decode_outcome(encode_outcome(outcome)).unwrap() == outcome


def test_other_instance_refers_the_caller_to_the_issuer():
    origin, peer = make_pair()
    refusal = send(peer, issue(origin, "t")).unwrap_err()
    assert refusal.kind is RefusalKind.TICKET_OF_OTHER_INSTANCE
    assert (refusal.run, refusal.go_to) == (RunState.UNKNOWN, ("a:1",))


def test_ticket_of_a_gone_incarnation_is_unknown():
    origin, peer = make_pair()
    item = issue(origin, "t")
    peer.peer_tickets.record_incarnation(NEW)
    assert send(peer, item).unwrap_err().kind is RefusalKind.TICKET_INSTANCE_GONE
    restarted = TicketRecords("a", 2, SECRET)
    assert send(restarted, item).unwrap_err().run is RunState.UNKNOWN


def test_closed_and_completed_tickets_are_answered_by_the_receiver():
    origin, peer = make_pair()
    used, unused = issue(origin, "used"), issue(origin, "unused")
    record_outcome(
        origin, send(origin, used).unwrap().record_id, Answered(201, (), b"x"), 1.0
    )
    assert has_open_tickets(origin, 1.0)
    assert close_unused_tickets(origin, 1.0) == 1
    assert not has_open_tickets(origin, 1.0)
    transfer(origin, peer)
    assert send(peer, used).unwrap() == Recorded(Answered(201, (), b"x"))
    assert send(peer, used, "other").unwrap_err().run is RunState.UNKNOWN
    assert send(peer, unused).unwrap() == Recorded(NotRun(RefusalKind.NOT_READY))


def test_running_and_unused_tickets_are_not_handed_over():
    origin, peer = make_pair()
    running, unused = issue(origin, "running"), issue(origin, "unused")
    send(origin, running)
    transfer(origin, peer)
    for item in (running, unused):
        assert send(peer, item).unwrap_err().run is RunState.UNKNOWN


def test_outcome_from_another_incarnation_is_ignored():
    origin, peer = make_pair()
    item = issue(origin, "t")
    close_unused_tickets(origin, 1.0)
    for effect in hand_over(origin, ("b",), 1.0):
        receive(effect.message, peer, NEW, 1.0)
    assert send(peer, item).unwrap_err().run is RunState.UNKNOWN


def test_malformed_outcome_is_reported_and_the_others_are_stored():
    origin, peer = make_pair()
    items = [issue(origin, name) for name in ("bad", "good")]
    close_unused_tickets(origin, 1.0)
    (effect,) = hand_over(origin, ("b",), 1.0)
    bad, good = effect.message.records
    message = FinalOutcomes((bad._replace(outcome=b"{"), good))
    (record,) = receive(message, peer, OLD, 1.0)
    assert (record.event.name, record.event.subject) == ("outcome-malformed", "bad")
    assert send(peer, items[1]).is_ok()


def test_handed_over_outcomes_are_removed_after_their_retention():
    origin, peer = make_pair()
    item = issue(origin, "t")
    close_unused_tickets(origin, 1.0)
    transfer(origin, peer)
    tick(peer, 10_000.0)
    assert send(peer, item).is_err()
