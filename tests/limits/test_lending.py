"""Loans between instances."""

from chervilpitch.limits import lending, limiter
from chervilpitch.limits.messages import Grant, Loan, TokenRequest, Want
from chervilpitch.model import ClientAccount, Send, Sender
from tests.limits.fleet import Fleet, catalogue_of, seat_table

SEATS = seat_table(3, 2, 2)
ACCOUNT = ClientAccount("fitters", 30.0, 30.0)


def start_fleet():
    fleet = Fleet(catalogue_of((ACCOUNT,), SEATS))
    fleet.start_all()
    fleet.run(20)
    homes = fleet.nodes["n0"].state.homes("fitters")
    other = next(n for n in fleet.nodes.values() if n.seat not in homes)
    return fleet, fleet.nodes[f"n{homes[0]}"], other


def level(fleet, node):
    return node.state.bucket(ACCOUNT, node.clock(fleet.now_s)).level(fleet.now_s)


def test_callers_on_one_instance_get_nearly_the_whole_rate():
    fleet, _, other = start_fleet()
    fleet.run(10, lambda fleet: fleet.request(other, "fitters"))
    assert len(fleet.admitted) > 0.97 * 10 * 20


def test_a_repeated_request_is_granted_once():
    fleet, home, other = start_fleet()
    request = TokenRequest(1, (Want("fitters", 4.0),))
    for _ in range(2):
        limiter.receive(home.state, request, other.sender, fleet.now_s)
    assert level(fleet, home) == 6.0


def test_a_repeated_or_unrequested_grant_adds_nothing():
    fleet, home, other = start_fleet()
    fleet.request(other, "fitters")
    send, *_ = limiter.request_tokens(other.state, "fitters", fleet.now_s)
    grant = Grant(send.message.number, True, (Loan("fitters", 1.0),))
    sender = fleet.nodes[send.to].sender
    for _ in range(3):
        limiter.receive(other.state, grant, sender, fleet.now_s)
    limiter.receive(other.state, grant._replace(number=99), sender, fleet.now_s)
    assert other.state.borrowings["fitters"].tokens(fleet.now_s) == 1.0


def test_a_grant_of_another_instance_adds_nothing():
    fleet, home, other = start_fleet()
    fleet.request(other, "fitters")
    send, *_ = limiter.request_tokens(other.state, "fitters", fleet.now_s)
    grant = Grant(send.message.number, True, (Loan("fitters", 1.0),))
    limiter.receive(other.state, grant, Sender("stranger", 1), fleet.now_s)
    assert other.state.borrowings["fitters"].tokens(fleet.now_s) == 0.0


def test_a_loan_may_not_be_spent_after_its_deadline():
    fleet, home, other = start_fleet()
    fleet.run(1, lambda fleet: fleet.request(other, "fitters"))
    assert other.state.borrowings["fitters"].tokens(fleet.now_s) > 0
    assert other.state.borrowings["fitters"].tokens(fleet.now_s + 2) == 0.0


def test_a_stopped_home_is_avoided_for_a_while():
    fleet, home, other = start_fleet()
    home.is_stopped = True
    fleet.run(5, lambda fleet: [fleet.request(other, "fitters") for _ in range(3)])
    assert other.state.is_avoided(home.sender.name, fleet.now_s)


def test_an_idle_instance_sends_claims_only():
    fleet, _, other = start_fleet()
    sends = []
    for step in range(40):
        sends += limiter.tick(other.state, fleet.now_s + step * 0.05)
    assert {type(s.message).__name__ for s in sends if isinstance(s, Send)} == {"Claim"}
    assert not other.state.borrowings and len(sends) <= 9


def test_a_stopping_instance_returns_its_loans():
    fleet, home, other = start_fleet()
    fleet.run(1, lambda fleet: fleet.request(other, "fitters"))
    sends = limiter.release_seat_and_loans(other.state, fleet.now_s)
    requests = [s.message for s in sends if isinstance(s.message, TokenRequest)]
    assert any(r.closings for r in requests)


def test_an_expired_request_is_removed():
    fleet, home, other = start_fleet()
    fleet.request(other, "fitters")
    limiter.request_tokens(other.state, "fitters", fleet.now_s)
    lending.expire_requests(other.state, fleet.now_s + 3)
    assert not other.state.pending
