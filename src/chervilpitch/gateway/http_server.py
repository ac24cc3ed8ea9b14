"""HTTP/1.1 server for callers: requests, responses and what connections share."""

import itertools
import random
import sys
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

from chervilpitch import platform
from chervilpitch.model import CallerLimits
from chervilpitch.observe import part_logger

from .buffers import BufferLimit
from .connection_sums import ConnectionSums
from .limit_events import LimitEvents, LimitKind

if TYPE_CHECKING:
    from .server_connection import ServerConnection

__all__ = ["HttpServer", "ServerRequest", "ServerResponse"]


log = part_logger("callers")

READ_BYTES = 65_536
"""Bytes that a connection is read at a time."""
SMALL_READ_BYTES = 4_096
"""The same while too much is unparsed. The header of an ordinary request fits in."""
MAX_CHECKED_CONNECTIONS = 64
"""Connections that are checked for one that may be closed, which bounds the cost of a
new connection."""
MAX_REJECTED_LINES_PER_S = 50
"""A tenth of the lines that the log takes in a second, so that callers who send what is
rejected don't displace the lines of others."""
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 2.0
"""Callers that read nothing lose their connections within a second and a half."""


class ServerRequest(NamedTuple):
    """A complete request of a caller.

    Parameters
    ----------
    method, target : bytes
        Request line.
    headers : list of pairs of bytes
        Lower-case names and values.
    body : bytes
        The whole body.
    arrived_at_s : float
        Monotonic time in seconds at which its header was received.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    arrived_at_s: float


class ServerResponse(NamedTuple):
    """A complete response to a caller.

    Parameters
    ----------
    status : int
        Status code.
    headers : list of pairs of bytes
        Headers without those that frame the body.
    body : bytes
        The whole body.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes = b""


class HttpServer:
    """State shared by the connections of one or more listeners.

    Parameters
    ----------
    serve : callable
        Takes a request and returns its response; cancelled if the caller disconnects.
    limits : callable
        Returns the limits in force.
    clock : callable
        Returns monotonic seconds.
    buffers : BufferLimit
        Limit of the request bodies that may be buffered at once.
    sums : ConnectionSums, optional
        Limits over all connections; by default there are none.
    """

    def __init__(
        self,
        serve: Callable[[ServerRequest], Awaitable[ServerResponse]],
        limits: Callable[[], CallerLimits],
        clock: Callable[[], float],
        buffers: BufferLimit,
        sums: ConnectionSums | None = None,
    ):
        self._serve = serve
        self._limits = limits
        self._clock = clock
        self._buffers = buffers
        self._read_buffer = memoryview(bytearray(READ_BYTES))
        unlimited = BufferLimit(sys.maxsize), BufferLimit(sys.maxsize), sys.maxsize
        self._sums = sums or ConnectionSums(*unlimited)
        self._limit_events = LimitEvents()
        self._open: OrderedDict[ServerConnection, None] = OrderedDict()
        self._is_closing = False
        self._rejected = 0
        self._rejected_lines = 0
        self._rejected_lines_second = 0

    @property
    def rejected_count(self) -> int:
        """Number of requests so far that were rejected before they were served."""
        return self._rejected

    @property
    def limit_events(self) -> LimitEvents:
        """Limits that took effect so far."""
        return self._limit_events

    async def serve(self, request: ServerRequest) -> ServerResponse:
        """Return the response to a request; a 503 if too many responses are unsent.

        Parameters
        ----------
        request : ServerRequest
            A complete request.
        """
        if self._sums.unsent.is_exceeded:
            self.record_limit(LimitKind.UNSENT_REFUSED)
            return self.refusal(request)
        try:
            return await self._serve(request)
        except Exception:
            log.exception("Serving a request raised an exception; responding 502.")
            return ServerResponse(HTTPStatus.BAD_GATEWAY, [])

    def refusal(self, request: ServerRequest | None = None) -> ServerResponse:
        """Return the response to what exceeds a limit and has not run.

        Parameters
        ----------
        request : ServerRequest, optional
            The request, if it was received.
        """
        headers = request.headers if request is not None else ()
        metadata = platform.parse_request_metadata(headers)
        retry_after_s = random.uniform(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S)
        return ServerResponse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            platform.refusal_headers(metadata.request_id, retry_after_s),
        )

    @property
    def limits(self) -> CallerLimits:
        """The limits in force."""
        return self._limits()

    @property
    def clock(self) -> Callable[[], float]:
        """Returns monotonic seconds."""
        return self._clock

    @property
    def buffers(self) -> BufferLimit:
        """Limit of the request bodies that may be buffered at once."""
        return self._buffers

    @property
    def read_buffer(self) -> memoryview:
        """Buffer that connections are read into, one at a time."""
        if self._sums.unparsed.is_exceeded:
            return self._read_buffer[:SMALL_READ_BYTES]
        return self._read_buffer

    @property
    def unsent(self) -> BufferLimit:
        """Bytes of responses that callers have not accepted yet."""
        return self._sums.unsent

    @property
    def unparsed(self) -> BufferLimit:
        """Bytes that were read from callers and are not parsed yet."""
        return self._sums.unparsed

    @property
    def is_closing(self) -> bool:
        """Whether connections close after their next response."""
        return self._is_closing

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self._open)

    def close_after_responses(self) -> None:
        """Close each connection once the requests read from it are answered."""
        self._is_closing = True

    def close_idle(self) -> None:
        """Close connections without a request at this call and the one before."""
        now_s = self._clock()
        for connection in tuple(self._open):
            connection.close_if_idle(now_s)

    def refuse_incomplete(self) -> None:
        """Refuse each request whose body is not complete; it has not run."""
        for connection in tuple(self._open):
            connection.refuse_if_incomplete()

    def close_timed_out(self) -> None:
        """Close connections whose timeout has passed."""
        now_s = self._clock()
        for connection in tuple(self._open):
            connection.check_timeout(now_s)
        if self._sums.unsent.is_exceeded:
            self._close_stalled(now_s)

    def refuse_slow_bodies(self, size_bytes: int) -> None:
        """Refuse bodies that come in slowly until there is memory for more bytes.

        Parameters
        ----------
        size_bytes : int
            Bytes to be reserved.
        """
        now_s = self._clock()
        for connection in tuple(self._open):
            if self._buffers.has_room(size_bytes):
                return
            if connection.use(now_s).is_body_slow:
                connection.give_up(LimitKind.SLOW_BODY_REFUSED)

    def mark_active(self, connection: "ServerConnection") -> None:
        """Record that a connection brings a request, so that it is closed last."""
        if connection in self._open:
            self._open.move_to_end(connection)

    def record_limit(self, kind: LimitKind) -> None:
        """Count and log that a limit took effect."""
        self._limit_events.record(kind, self._clock())

    def rejection(self, status: int) -> ServerResponse:
        """Return the response to a request that is rejected before it is served.

        Parameters
        ----------
        status : int
            Its status; a 503 states when to retry, except in a stop.
        """
        if status == HTTPStatus.SERVICE_UNAVAILABLE and not self._is_closing:
            return self.refusal()
        return ServerResponse(int(status), [])

    def record_rejected(self, status: int) -> None:
        """Count and log a request that is rejected before it is served."""
        self._rejected += 1
        second = int(self._clock())
        if second != self._rejected_lines_second:
            self._rejected_lines_second, self._rejected_lines = second, 0
        self._rejected_lines += 1
        if self._rejected_lines <= MAX_REJECTED_LINES_PER_S:
            log.info(
                "Request rejected: invalid, too large, incomplete or body buffer full.",
                status=int(status),
            )

    def add(self, connection: "ServerConnection") -> None:
        """Register an open connection, or refuse it if there are too many."""
        if len(self._open) >= self._sums.max_connections and not self._close_oldest():
            self.record_limit(LimitKind.CONNECTION_REFUSED)
            connection.refuse()
            return
        self._open[connection] = None

    def discard(self, connection: "ServerConnection") -> None:
        """Remove a closed connection."""
        self._open.pop(connection, None)

    def _close_oldest(self) -> bool:
        """Close the connection that has brought no request for longest, if one may be.

        Connections that may not be closed now are checked last the next time.
        """
        now_s = self._clock()
        checked = tuple(itertools.islice(self._open, MAX_CHECKED_CONNECTIONS))
        for connection in checked:
            if connection.use(now_s).may_be_closed:
                connection.give_up(LimitKind.IDLE_CLOSED)
                self.discard(connection)
                return True
            self._open.move_to_end(connection)
        return False

    def _close_stalled(self, now_s):
        """Close connections of callers that accept nothing, the longest first."""
        uses = {item: item.use(now_s) for item in self._open}
        stalled = [item for item, use in uses.items() if use.is_stalled]
        stalled.sort(key=lambda item: uses[item].stalled_s, reverse=True)
        for connection in stalled:
            if not self._sums.unsent.is_exceeded:
                return
            connection.give_up(LimitKind.UNSENT_CLOSED)
