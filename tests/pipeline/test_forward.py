"""Attempts at upstreams and what a refusal says about them."""

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


class Held:
    """A reservation."""

    def __init__(self, number):
        self.upstream = f"desk-{number}"
        self.address = "127.0.0.1:1"
        self.connections = 1


class FakeDecisions:
    """Decisions that allow every retry and hold a few upstreams."""

    def __init__(self, upstreams):
        self._upstreams = upstreams
        self.held = set()

    def reserve(self, exchange, failed):
        if len(failed) == self._upstreams:
            return Err(NO_UPSTREAM)
        held = Held(len(failed))
        self.held.add(held)
        return Ok(held)

    def release(self, held, observation):
        self.held.remove(held)

    def record_sent(self, held, is_reused):
        pass

    def may_retry(self, exchange, stage, attempts):
        return True


class FakeUpstreams:
    """Upstreams that fail as told, one after the other."""

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
    assert not decisions.held
    return refusal


@pytest.mark.parametrize("last", [NOT_CONNECTED, SHED])
def test_an_attempt_that_may_have_run_is_never_called_not_run(exchange, last):
    assert refusal_after(exchange, SENT, last).run is RunState.UNKNOWN


def test_attempts_that_sent_nothing_are_not_run(exchange):
    refusal = refusal_after(exchange, NOT_CONNECTED, SHED)
    assert refusal.run is RunState.NOT_RUN


def test_an_unexpected_failure_gives_the_slot_back(exchange):
    decisions = FakeDecisions(1)
    forwarder = Forwarder(decisions, FakeUpstreams(KeyError("x")), lambda: 1.0)
    with pytest.raises(KeyError):
        forwarder(exchange)
    assert not decisions.held
