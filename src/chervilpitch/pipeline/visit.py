"""The time that a request spends in the instance."""

from collections.abc import Iterable, Iterator

from result import Result

from chervilpitch.model import Refusal, Route

from .exchange import Exchange

__all__ = ["Answer", "Visit"]


class Visit:
    """Counts one request among those of its client account in progress.

    Parameters
    ----------
    decisions : Decisions
        The decision cores.
    hidden : SecretRegister
        Keeps presented keys out of the logs.
    key : str
        The key presented, empty for none.
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
        """Name of the client account, once it was identified."""
        return self._account

    @property
    def route(self) -> Route | None:
        """Route of the request, once it was matched."""
        return self._route

    def enter(self, exchange: Exchange) -> Result[Exchange, Refusal]:
        """Count the request; a filter of the pipe."""
        entered = self._decisions.enter(exchange.account.name)
        self._account = exchange.account.name
        self._route = exchange.route
        self._is_counted = entered.is_ok()
        return entered.map(lambda _: exchange)

    def leave(self) -> None:
        """Count the request no more; a second call has no effect."""
        self._hidden.discard(self._key)
        self._key = ""
        if self._is_counted:
            self._decisions.leave(self._account)
            self._is_counted = False


class Answer:
    """Body of an answer whose end ends the visit.

    Parameters
    ----------
    body : iterable of bytes
        The body; closed with the answer where it can be.
    visit : Visit
        The visit.
    """

    def __init__(self, body: Iterable[bytes], visit: Visit):
        self._body = body
        self._visit = visit

    def __iter__(self) -> Iterator[bytes]:
        """Yield the body."""
        return iter(self._body)

    def close(self) -> None:
        """End the body and the visit."""
        try:
            if hasattr(self._body, "close"):
                self._body.close()
        finally:
            self._visit.leave()
