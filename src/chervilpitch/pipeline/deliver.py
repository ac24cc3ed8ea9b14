"""The end of the pipe: an answer's body on its way to the caller."""

from collections.abc import Iterator

from chervilpitch.health import observations
from chervilpitch.model import RefusalKind
from chervilpitch.requests import Answered, Unknown, select_headers
from chervilpitch.transport.upstreams import TruncatedAnswerError

from .exchange import Exchange

__all__ = ["Delivery"]

MAX_RECORDED_BYTES = 65_536


class Delivery:
    """Iterable over an answer's body; ends the exchange exactly once.

    Parameters
    ----------
    decisions : Decisions
        The decision cores.
    exchange : Exchange
        A forwarded exchange.
    clock : callable
        Returns monotonic seconds.

    Notes
    -----
    A body that is truncated raises out of the iteration, so that the server
    breaks the caller's connection and no truncated body looks whole. A caller
    that goes away closes the upstream's connection, which cancels the request.
    """

    def __init__(self, decisions, exchange: Exchange, clock):
        self._decisions = decisions
        self._exchange = exchange
        self._clock = clock
        self._received = len(exchange.start)
        self._waited_s = exchange.latency_s
        self._open = True
        if exchange.started_whole:
            self._end(self._answered(), self._outcome(exchange.start))

    def __iter__(self) -> Iterator[bytes]:
        """Yield the body."""
        yield self._exchange.start
        while self._open:
            chunk = self._next_chunk()
            if not chunk:
                self._end(self._answered(), self._outcome(None))
                return
            yield chunk

    def close(self) -> None:
        """End an exchange that the caller abandoned."""
        if self._open:
            self._end(observations.Abandoned(), self._outcome(None))

    def _next_chunk(self):
        asked_at_s = self._clock()
        self._decisions.record_progress(self._exchange.reservation, is_waiting=True)
        try:
            chunk = self._exchange.answer.read_some()
        except TruncatedAnswerError:
            self._end(observations.Truncated(), Unknown(RefusalKind.UPSTREAM_FAILED))
            raise
        self._decisions.record_progress(self._exchange.reservation, is_waiting=False)
        self._waited_s += self._clock() - asked_at_s
        self._received += len(chunk)
        return chunk

    def _answered(self):
        status = self._exchange.answer.status
        if status >= 500:
            return observations.ErrorResponse(status)
        return observations.Answered(
            latency_s=self._exchange.latency_s,
            body_bytes=self._received,
            duration_s=self._waited_s,
            status_class=status // 100,
            request_bytes=self._exchange.request.body.length or 0,
        )

    def _outcome(self, body):
        answer = self._exchange.answer
        return Answered(answer.status, select_headers(answer.headers), body)

    def _end(self, observation, outcome):
        self._open = False
        self._exchange.answer.close()
        self._decisions.release(self._exchange.reservation, observation)
        if self._exchange.record_id is not None:
            self._decisions.finish(self._exchange.record_id, outcome)
