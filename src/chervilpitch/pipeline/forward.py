"""Filter that forwards a request to an upstream."""

from collections.abc import Iterator

from result import Err, Ok, Result

from chervilpitch.health import observations
from chervilpitch.model import Refusal, RefusalKind, RunState
from chervilpitch.requests import FailureStage
from chervilpitch.transport.bodies import CallerStalledError
from chervilpitch.transport.upstreams import (
    TruncatedAnswerError,
    UpstreamFailure,
    UpstreamRequest,
)

from .exchange import Exchange
from .filters import close_record

__all__ = ["BODY_START_BYTES", "Forwarder"]

# The start of the body is received before the response is passed on, so that a
# failure within it can still be retried at another upstream.
BODY_START_BYTES = 65_536
SHED_HEADER = "x-shed"
DRAINING_HEADER = "x-draining"
REQUEST_ID_HEADER = "X-Request-Id"
TIMEOUT_HEADER = "X-Timeout-Ms"
MS_PER_S = 1_000
CALLER_FAILURE = UpstreamFailure(FailureStage.SENT, True)


class Forwarder:
    """Filter that forwards a request and receives the start of the response.

    Parameters
    ----------
    decisions : Decisions
        The decision cores.
    upstreams : UpstreamClient
        Client that sends the requests.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, decisions, upstreams, clock):
        self._decisions = decisions
        self._upstreams = upstreams
        self._clock = clock

    def __call__(self, exchange: Exchange) -> Result[Exchange, Refusal]:
        """Return the exchange with the response to deliver, or a refusal."""
        if exchange.recorded_outcome is not None:
            return Ok(exchange)
        try:
            outcome = self._run_attempts(exchange)
        except BaseException:
            failed = Refusal(RefusalKind.UPSTREAM_FAILED, RunState.UNKNOWN)
            close_record(self._decisions, exchange, failed)
            raise
        if outcome.is_err():
            close_record(self._decisions, exchange, outcome.unwrap_err())
        return outcome

    def _run_attempts(self, exchange):
        failed_upstreams = frozenset()
        refusal = None
        while True:
            reserved = self._decisions.reserve(exchange, failed_upstreams)
            if reserved.is_err():
                return Err(refusal or reserved.unwrap_err())
            reservation = reserved.unwrap()
            attempt = self._attempt_or_release(
                exchange._replace(reservation=reservation)
            )
            if attempt.is_ok():
                return attempt
            failure = attempt.unwrap_err()
            refusal = _merge_refusals(refusal, _refusal_of(failure))
            failed_upstreams |= {reservation.upstream}
            if failure is CALLER_FAILURE or not self._decisions.may_retry(
                exchange, failure.stage, len(failed_upstreams)
            ):
                return Err(refusal)

    def _attempt_or_release(self, exchange) -> Result[Exchange, UpstreamFailure]:
        """Make an attempt and release the slot if it raises an exception."""
        try:
            return self._send_once(exchange)
        except BaseException:
            self._decisions.release(exchange.reservation, observations.Abandoned())
            raise

    def _send_once(self, exchange) -> Result[Exchange, UpstreamFailure]:
        timeout_s = exchange.deadline_at_s - self._clock()
        if timeout_s <= 0:
            failure = UpstreamFailure(FailureStage.CONNECTED_NOTHING_SENT, True)
            return self._release_failed(exchange, failure)
        sent_at_s = self._clock()
        request = self._upstream_request(exchange, timeout_s)
        self._decisions.record_sent(
            exchange.reservation, is_reused=not request.new_connection
        )
        try:
            sent = self._upstreams.send(request)
        except CallerStalledError:
            return self._release_failed(exchange, CALLER_FAILURE)
        if sent.is_err():
            return self._release_failed(exchange, sent.unwrap_err(), sent_at_s)
        response = sent.unwrap()
        headers = {name.lower(): value for name, value in response.headers}
        if DRAINING_HEADER in headers:
            self._decisions.observe(exchange.reservation, observations.DrainAnnounced())
        if response.status == 503 and headers.get(SHED_HEADER) == "not-run":
            response.close()
            return self._release_failed(
                exchange, UpstreamFailure(FailureStage.SHED, False)
            )
        return self._receive_start(exchange._replace(response=response), sent_at_s)

    def _receive_start(self, exchange, sent_at_s):
        latency_s = self._clock() - sent_at_s
        body_start = b""
        try:
            while len(body_start) < BODY_START_BYTES:
                chunk = exchange.response.read_chunk()
                body_start += chunk
                if not chunk:
                    break
                self._check_deadline(exchange)
        except TruncatedAnswerError:
            exchange.response.close()
            failure = UpstreamFailure(FailureStage.RESPONSE_TRUNCATED, False)
            return self._release_failed(exchange, failure)
        is_complete = len(body_start) < BODY_START_BYTES
        return Ok(
            exchange._replace(
                body_start=body_start,
                is_body_complete=is_complete,
                latency_s=latency_s,
            )
        )

    def _check_deadline(self, exchange):
        if self._clock() > exchange.deadline_at_s:
            raise TruncatedAnswerError(
                "the deadline passed while the body's start was received"
            )

    def _upstream_request(self, exchange, timeout_s):
        request = exchange.request
        headers = request.headers + (
            (REQUEST_ID_HEADER, exchange.record_id or request.request_id),
            (TIMEOUT_HEADER, str(max(1, int(timeout_s * MS_PER_S)))),
        )
        return UpstreamRequest(
            address=exchange.reservation.address,
            method=request.method,
            target=request.target,
            headers=headers,
            body=_body_to_send(request.body),
            timeout_s=timeout_s,
            connections=exchange.reservation.connections,
            new_connection=exchange.record_id is not None,
        )

    def _release_failed(self, exchange, failure, sent_at_s=None):
        waited_s = 0.0 if sent_at_s is None else self._clock() - sent_at_s
        observation = _observation_of(failure, waited_s)
        self._decisions.release(exchange.reservation, observation)
        return Err(failure)


def _body_to_send(body) -> bytes | Iterator[bytes] | None:
    if body.whole is None:
        return body.chunks()
    return body.whole or None


def _merge_refusals(earlier: Refusal | None, latest: Refusal) -> Refusal:
    """Return the latest refusal, marked not run only if no attempt may have run."""
    if earlier is not None and earlier.run is not RunState.NOT_RUN:
        return latest._replace(run=earlier.run)
    return latest


def _refusal_of(failure: UpstreamFailure) -> Refusal:
    if failure is CALLER_FAILURE:
        return Refusal(RefusalKind.CALLER_STALLED, RunState.UNKNOWN)
    match failure.stage:
        case FailureStage.NOT_CONNECTED:
            return Refusal(RefusalKind.UPSTREAM_UNREACHABLE, RunState.NOT_RUN)
        case FailureStage.CONNECTED_NOTHING_SENT:
            return Refusal(RefusalKind.DEADLINE_EXCEEDED, RunState.NOT_RUN)
        case FailureStage.SHED:
            return Refusal(RefusalKind.UPSTREAM_SHED, RunState.NOT_RUN)
    if failure.timed_out:
        return Refusal(RefusalKind.DEADLINE_EXCEEDED, RunState.UNKNOWN)
    return Refusal(RefusalKind.UPSTREAM_FAILED, RunState.UNKNOWN)


def _observation_of(failure: UpstreamFailure, waited_s: float):
    if failure is CALLER_FAILURE:
        return observations.Abandoned()
    match failure.stage:
        case FailureStage.NOT_CONNECTED:
            return observations.ConnectFailed()
        case FailureStage.SHED:
            return observations.Shed()
        case FailureStage.RESPONSE_TRUNCATED:
            return observations.Truncated()
        case FailureStage.CONNECTED_NOTHING_SENT:
            return observations.Abandoned()
    if failure.timed_out:
        return observations.Stalled(waited_s)
    return observations.ErrorResponse()
