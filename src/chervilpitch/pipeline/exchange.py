"""A caller's request and its state between the filters."""

from collections.abc import Iterator
from typing import Any, NamedTuple, Protocol

from chervilpitch.model import ClientAccount, Route

__all__ = ["ResponseStream", "CallerRequest", "Exchange", "Headers", "RequestBody"]

Headers = tuple[tuple[str, str], ...]


class RequestBody(Protocol):
    """Body of a caller's request; past the buffered start it can be read only once."""

    @property
    def whole(self) -> bytes | None:
        """The whole body if it fits into the buffer, otherwise ``None``."""

    @property
    def buffered(self) -> bytes:
        """The start of the body, received before an upstream slot is reserved."""

    @property
    def length(self) -> int | None:
        """Declared length in bytes, ``None`` for a chunked body."""

    def chunks(self) -> Iterator[bytes]:
        """Yield the body; raise ``CallerStalledError`` if the caller stalls."""


class ResponseStream(Protocol):
    """Response of an upstream whose body is still being received."""

    status: int
    headers: Headers

    def read_chunk(self) -> bytes:
        """Return the next bytes of the body, empty after the last one."""

    def close(self) -> None:
        """Release the connection; close it unless the body was read to its end."""


class CallerRequest(NamedTuple):
    """A request as the caller sent it.

    Parameters
    ----------
    request_id : str
        Random identifier assigned by this instance.
    method, path, query : str
        Request line; the path is decoded, the query is not.
    target : str
        Path and query as sent to the upstream.
    headers : tuple of pairs of str
        End-to-end headers for the upstream, without the key.
    presented_key : object
        The caller's key in a wrapper whose ``repr`` hides it.
    ticket : str or None
        The one-shot ticket sent with the request, if any.
    body : RequestBody or None
        Body of the request, ``None`` until it is received.
    received_at_s : float
        Monotonic time of arrival, in seconds.
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
        Client account of the presented key, once identified.
    route : Route or None
        The matched route.
    deadline_at_s : float
        Deadline for the response, monotonic time in seconds.
    record_id : str or None
        At-most-once record to which this exchange must write its outcome.
    recorded_outcome : object or None
        Recorded outcome of an earlier request with the same ticket.
    reservation : object or None
        Reserved upstream slot.
    response : ResponseStream or None
        Response to deliver.
    body_start : bytes
        Start of the response body, already received.
    is_body_complete : bool
        Whether ``body_start`` is the whole body.
    latency_s : float
        Seconds from sending the request to the head of the response.
    """

    request: CallerRequest
    account: ClientAccount | None = None
    route: Route | None = None
    deadline_at_s: float = float("inf")
    record_id: Any = None
    recorded_outcome: Any = None
    reservation: Any = None
    response: ResponseStream | None = None
    body_start: bytes = b""
    is_body_complete: bool = False
    latency_s: float = 0.0
