"""A request on its way through the filters."""

from collections.abc import Iterator
from typing import Any, NamedTuple, Protocol

from chervilpitch.model import ClientAccount, Route

__all__ = ["AnswerStream", "CallerRequest", "Exchange", "Headers", "RequestBody"]

Headers = tuple[tuple[str, str], ...]


class RequestBody(Protocol):
    """Body of a caller's request, read at most once past its buffered start."""

    @property
    def whole(self) -> bytes | None:
        """The whole body where it fits the buffer, otherwise ``None``."""

    @property
    def buffered(self) -> bytes:
        """The start of the body, received before any upstream slot was taken."""

    @property
    def length(self) -> int | None:
        """Bytes declared, ``None`` for a body in chunks."""

    def chunks(self) -> Iterator[bytes]:
        """Yield the body; raises ``CallerStalledError`` when it stops moving."""


class AnswerStream(Protocol):
    """An upstream's answer whose body is still being received."""

    status: int
    headers: Headers

    def read_some(self) -> bytes:
        """Return the next bytes, empty at the end of a whole body."""

    def close(self) -> None:
        """Release the connection; drops it unless the body ended whole."""


class CallerRequest(NamedTuple):
    """A request as the caller sent it.

    Parameters
    ----------
    request_id : str
        Identifier drawn by this instance.
    method, path, query : str
        Request line; the path is decoded, the query is not.
    target : str
        Path and query as they go to the upstream.
    headers : tuple of pairs of str
        Headers for the upstream: end to end ones without the key.
    presented_key : object
        The caller's key behind a redacting wrapper.
    ticket : str or None
        The one-shot ticket shown, if any.
    body : RequestBody or None
        Body of the request, once received.
    received_at_s : float
        Monotonic time in seconds.
    """

    request_id: str
    method: str
    path: str
    query: str
    target: str
    headers: Headers
    presented_key: Any
    ticket: str | None
    body: RequestBody | None
    received_at_s: float


class Exchange(NamedTuple):
    """State of one request between two filters.

    Parameters
    ----------
    request : CallerRequest
        The request.
    account : ClientAccount or None
        Whose key came with it, once identified.
    route : Route or None
        The route matched.
    deadline_at_s : float
        Monotonic time in seconds by which it must be answered.
    record_id : str or None
        Record of an at-most-once run that this exchange must finish.
    recorded : object or None
        Outcome of an earlier run of the same ticket.
    reservation : object or None
        Upstream slot held.
    answer : AnswerStream or None
        Answer to deliver.
    start : bytes
        Beginning of the answer's body already received.
    started_whole : bool
        Whether ``start`` is the whole body.
    latency_s : float
        Seconds from sending the request to the head of the answer.
    """

    request: CallerRequest
    account: ClientAccount | None = None
    route: Route | None = None
    deadline_at_s: float = float("inf")
    record_id: Any = None
    recorded: Any = None
    reservation: Any = None
    answer: AnswerStream | None = None
    start: bytes = b""
    started_whole: bool = False
    latency_s: float = 0.0
