"""Tracking of a request from its arrival to the end of its response."""

from collections.abc import Iterable, Iterator

from result import Result

from chervilpitch.model import Refusal, Route

from .exchange import Exchange

__all__ = ["RequestTracker", "TrackedBody"]


class RequestTracker:
    """Tracker of one request, from its arrival to the end of its response body.

    It counts the request against the concurrency limit of its client account and
    keeps the presented key out of the logs until the request ends.

    Parameters
    ----------
    decisions : Decisions
        The decision cores.
    hidden : SecretRegister
        Register of secrets that are redacted in the logs.
    key : str
        The presented key, empty if there is none.
    """

    def __init__(self, decisions, hidden, key: str):
        self._decisions = decisions
        self._hidden = hidden
        self._key = key
        hidden.add(key)
        self._account = None
        self._route = None
        self._is_counted = False

    @property
    def account(self) -> str | None:
        """Name of the client account, ``None`` before :meth:`start`."""
        return self._account

    @property
    def route(self) -> Route | None:
        """Route of the request, ``None`` before :meth:`start`."""
        return self._route

    def start(self, exchange: Exchange) -> Result[Exchange, Refusal]:
        """Count the request as in flight, or refuse it; used as a filter."""
        counted = self._decisions.enter(exchange.account.name)
        self._account = exchange.account.name
        self._route = exchange.route
        self._is_counted = counted.is_ok()
        return counted.map(lambda _: exchange)

    def finish(self) -> None:
        """Stop counting the request; idempotent."""
        self._hidden.discard(self._key)
        self._key = ""
        if self._is_counted:
            self._decisions.leave(self._account)
            self._is_counted = False


class TrackedBody:
    """Response body that finishes the tracker of its request when it is closed.

    Parameters
    ----------
    body : iterable of bytes
        The body; its ``close`` method is called if it has one.
    tracker : RequestTracker
        Tracker of the request.
    """

    def __init__(self, body: Iterable[bytes], tracker: RequestTracker):
        self._body = body
        self._tracker = tracker

    def __iter__(self) -> Iterator[bytes]:
        """Return an iterator over the body."""
        return iter(self._body)

    def close(self) -> None:
        """Close the body and finish the tracker."""
        try:
            if hasattr(self._body, "close"):
                self._body.close()
        finally:
            self._tracker.finish()
