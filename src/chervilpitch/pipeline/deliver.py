"""Delivery of an upstream's response body to the caller."""

from collections.abc import Iterator

from chervilpitch.health import observations
from chervilpitch.model import RefusalKind
from chervilpitch.requests import Answered, Unknown, select_headers
from chervilpitch.transport.upstreams import TruncatedAnswerError

from .exchange import Exchange

__all__ = ["Delivery"]

MAX_RECORDED_BYTES = 65_536


class Delivery:
    """Iterable over a response body that ends the exchange exactly once.

    Parameters
    ----------
    decisions : Decisions
        The decision cores.
    exchange : Exchange
        The exchange after it was forwarded.
    clock : callable
        Returns monotonic seconds.

    Notes
    -----
    A truncated body raises an error from the iterator, so the server resets the
    caller's connection and the caller cannot mistake the body for a complete one.
    When the caller disconnects, the connection to the upstream is closed, which
    cancels the request.
    """

    def __init__(self, decisions, exchange: Exchange, clock):
        self._decisions = decisions
        self._exchange = exchange
        self._clock = clock
        self._received_bytes = len(exchange.body_start)
        self._upstream_wait_s = exchange.latency_s
        self._is_open = True
        if exchange.is_body_complete:
            self._finish(self._observation(), self._outcome(exchange.body_start))

    def __iter__(self) -> Iterator[bytes]:
        """Yield the response body."""
        yield self._exchange.body_start
        while self._is_open:
            chunk = self._next_chunk()
            if not chunk:
                self._finish(self._observation(), self._outcome(None))
                return
            yield chunk

    def close(self) -> None:
        """End the exchange as abandoned if the body was not sent completely."""
        if self._is_open:
            self._finish(observations.Abandoned(), self._outcome(None))

    def _next_chunk(self):
        started_at_s = self._clock()
        self._decisions.record_progress(self._exchange.reservation, is_waiting=True)
        try:
            chunk = self._exchange.response.read_chunk()
        except TruncatedAnswerError:
            self._finish(observations.Truncated(), Unknown(RefusalKind.UPSTREAM_FAILED))
            raise
        self._decisions.record_progress(self._exchange.reservation, is_waiting=False)
        self._upstream_wait_s += self._clock() - started_at_s
        self._received_bytes += len(chunk)
        return chunk

    def _observation(self):
        status = self._exchange.response.status
        if status >= 500:
            return observations.ErrorResponse(status)
        return observations.Answered(
            latency_s=self._exchange.latency_s,
            body_bytes=self._received_bytes,
            duration_s=self._upstream_wait_s,
            status_class=status // 100,
            request_bytes=self._exchange.request.body.length or 0,
        )

    def _outcome(self, body):
        response = self._exchange.response
        return Answered(response.status, select_headers(response.headers), body)

    def _finish(self, observation, outcome):
        self._is_open = False
        self._exchange.response.close()
        self._decisions.release(self._exchange.reservation, observation)
        if self._exchange.record_id is not None:
            self._decisions.finish(self._exchange.record_id, outcome)
