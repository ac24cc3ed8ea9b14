"""Attempts at upstreams and the run state that a refusal reports."""

import pytest
from result import Err, Ok

from chervilpitch.model import ClientAccount, Refusal, RefusalKind, Route, RunState
from chervilpitch.pipeline.exchange import CallerRequest, Exchange
from chervilpitch.pipeline.forward import Forwarder
from chervilpitch.requests import FailureStage
from chervilpitch.transport.bodies import StreamedBody
from chervilpitch.transport.upstreams import UpstreamFailure

SENT = UpstreamFailure(FailureStage.SENT, False)
NOT_CONNECTED = UpstreamFailure(FailureStage.NOT_CONNECTED, False)
SHED = UpstreamFailure(FailureStage.SHED, False)
NO_UPSTREAM = Refusal(RefusalKind.NO_UPSTREAM, RunState.NOT_RUN)


class Reservation:
    """A reserved upstream slot."""

    def __init__(self, number):
        self.upstream = f"desk-{number}"
        self.address = "127.0.0.1:1"
        self.connections = 1


class FakeDecisions:
    """Decisions that allow every retry and know a few upstreams."""

    def __init__(self, upstreams):
        self._upstreams = upstreams
        self.reservations = set()

    def reserve(self, exchange, failed):
        if len(failed) == self._upstreams:
            return Err(NO_UPSTREAM)
        reservation = Reservation(len(failed))
        self.reservations.add(reservation)
        return Ok(reservation)

    def release(self, reservation, observation):
        self.reservations.remove(reservation)

    def record_sent(self, reservation, is_reused):
        pass

    def may_retry(self, exchange, stage, attempts):
        return True


class FakeUpstreams:
    """Upstream client that gives the listed failures in order."""

    def __init__(self, *failures):
        self._failures = iter(failures)

    def send(self, request):
        failure = next(self._failures)
        if isinstance(failure, Exception):
            raise failure
        return Err(failure)


@pytest.fixture
def exchange():
    body = StreamedBody(b"", None, 0, 10)
    request = CallerRequest("r", "GET", "/a", "", "/a", (), None, None, body, 0.0)
    route = Route("a", "/a", "desk", 5.0, idempotent=True)
    return Exchange(request, ClientAccount("fitters", 1.0, 1.0), route, 5.0)


def refusal_after(exchange, *failures):
    decisions = FakeDecisions(len(failures))
    forwarder = Forwarder(decisions, FakeUpstreams(*failures), lambda: 1.0)
    refusal = forwarder(exchange).unwrap_err()
    assert not decisions.reservations
    return refusal


@pytest.mark.parametrize("last", [NOT_CONNECTED, SHED])
def test_a_refusal_after_an_attempt_that_may_have_run_is_not_marked_not_run(
    exchange, last
):
    assert refusal_after(exchange, SENT, last).run is RunState.UNKNOWN


def test_a_refusal_after_attempts_that_did_not_run_is_marked_not_run(exchange):
    refusal = refusal_after(exchange, NOT_CONNECTED, SHED)
    assert refusal.run is RunState.NOT_RUN


def test_an_unexpected_exception_releases_the_slot(exchange):
    decisions = FakeDecisions(1)
    forwarder = Forwarder(decisions, FakeUpstreams(KeyError("x")), lambda: 1.0)
    with pytest.raises(KeyError):
        forwarder(exchange)
    assert not decisions.reservations
