"""HTTP/1.1 connections from callers."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import NamedTuple

import h11

from chervilpitch.model import CallerLimits
from chervilpitch.observe import part_logger

__all__ = ["HttpServer", "ServerConnection", "ServerRequest", "ServerResponse"]

log = part_logger("callers")

CLOSE = (b"Connection", b"close")
CONTINUE = h11.InformationalResponse(status_code=100, headers=[])
LINGER_S = 1.0


class ServerRequest(NamedTuple):
    """A whole request of a caller.

    Parameters
    ----------
    method, target : bytes
        Request line.
    headers : list of pairs of bytes
        Lower-case names and values.
    body : bytes
        The whole body.
    arrived_at_s : float
        Monotonic time in seconds at which its header was complete.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    arrived_at_s: float


class ServerResponse(NamedTuple):
    """A whole answer to a caller.

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
    """What all connections of a listener share.

    Parameters
    ----------
    serve : callable
        Takes a request and returns its reply; cancelled when the caller leaves.
    limits : callable
        Returns the limits in force.
    clock : callable
        Returns monotonic seconds.
    most_buffered_bytes : int
        Bytes of bodies that may be held at once.
    """

    def __init__(
        self,
        serve: Callable[[ServerRequest], Awaitable[ServerResponse]],
        limits: Callable[[], CallerLimits],
        clock: Callable[[], float],
        most_buffered_bytes: int,
    ):
        self._serve = serve
        self._limits = limits
        self._clock = clock
        self._most_buffered_bytes = most_buffered_bytes
        self._buffered_bytes = 0
        self._open: set[ServerConnection] = set()
        self._is_closing = False

    @property
    def serve(self) -> Callable[[ServerRequest], Awaitable[ServerResponse]]:
        """Takes a request and returns its reply."""
        return self._serve

    @property
    def limits(self) -> CallerLimits:
        """The limits in force."""
        return self._limits()

    @property
    def clock(self) -> Callable[[], float]:
        """Returns monotonic seconds."""
        return self._clock

    @property
    def is_closing(self) -> bool:
        """Whether connections end after their next answer."""
        return self._is_closing

    @property
    def busy(self) -> int:
        """Connections with a request under way."""
        return sum(connection.is_busy for connection in self._open)

    def close_after_answers(self) -> None:
        """End each connection after its next answer."""
        self._is_closing = True

    def close_idle(self) -> None:
        """Close the connections without a request under way."""
        for connection in tuple(self._open):
            if not connection.is_busy:
                connection.close()

    def sweep(self) -> None:
        """Close connections whose time limit has passed."""
        now_s = self._clock()
        for connection in tuple(self._open):
            connection.check_time(now_s)

    def add(self, connection: "ServerConnection") -> None:
        """Count an open connection."""
        self._open.add(connection)

    def discard(self, connection: "ServerConnection") -> None:
        """Forget a closed connection."""
        self._open.discard(connection)

    def buffer(self, size: int) -> bool:
        """Reserve room for bytes of a body and return whether there is any."""
        if self._buffered_bytes + size > self._most_buffered_bytes:
            return False
        self._buffered_bytes += size
        return True

    def release(self, size: int) -> None:
        """Give room back."""
        self._buffered_bytes -= size


class ServerConnection(asyncio.Protocol):
    """One connection of a caller.

    Parameters
    ----------
    shared : Connections
        What all connections of the listener share.
    """

    def __init__(self, shared: HttpServer):
        self._shared = shared
        self._limits = shared.limits
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.max_header_bytes
        )
        self._transport = None
        self._head = None
        self._parts: list[bytes] = []
        self._size = 0
        self._head_at_s = 0.0
        self._idle_until_s = shared.clock() + self._limits.header_timeout_s
        self._task: asyncio.Task | None = None

    @property
    def is_busy(self) -> bool:
        """Whether a request is being received or served."""
        return self._task is not None or self._head is not None

    def connection_made(self, transport) -> None:
        """Keep the transport."""
        self._transport = transport
        self._shared.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request under way: nobody waits for its answer."""
        self._shared.discard(self)
        self._release_body()
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Take in bytes of requests."""
        try:
            self._http.receive_data(data)
            self._advance()
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint)

    def eof_received(self) -> bool:
        """Treat a caller that sends no more as one that has left."""
        return False

    def close(self) -> None:
        """Close after what is still to be written."""
        if self._transport is not None:
            self._transport.close()

    def check_time(self, now_s: float) -> None:
        """Close a connection that is idle or whose request stalls.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        """
        if self._task is not None or now_s < self._idle_until_s:
            return
        if self._head is not None or self._http.their_state is h11.SEND_BODY:
            self._reject(HTTPStatus.REQUEST_TIMEOUT)
        else:
            self.close()

    def _advance(self):
        while self._task is None:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._continue_if_wanted()
                return
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            if isinstance(event, h11.Request):
                self._begin(event)
            elif isinstance(event, h11.Data):
                self._add_body(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._serve()

    def _begin(self, head):
        self._head = head
        self._head_at_s = self._shared.clock()
        self._idle_until_s = self._head_at_s + self._limits.idle_timeout_s
        if _header_size(head) > self._limits.max_header_bytes:
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        length = dict(head.headers).get(b"content-length", b"0")
        if int(length) > self._limits.max_body_bytes:
            self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def _add_body(self, data):
        self._idle_until_s = self._shared.clock() + self._limits.idle_timeout_s
        if self._size + len(data) > self._limits.max_body_bytes:
            self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif not self._shared.buffer(len(data)):
            log.warning("No room for a body.", bytes=self._size + len(data))
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE)
        else:
            self._parts.append(data)
            self._size += len(data)

    def _continue_if_wanted(self):
        if self._http.they_are_waiting_for_100_continue:
            self._transport.write(self._http.send(CONTINUE))

    def _serve(self):
        request = ServerRequest(
            self._head.method,
            self._head.target,
            list(self._head.headers),
            b"".join(self._parts),
            self._head_at_s,
        )
        self._parts = []
        self._task = asyncio.get_running_loop().create_task(self._answer(request))

    async def _answer(self, request):
        try:
            reply = await self._shared.serve(request)
        except asyncio.CancelledError:
            raise
        except Exception:
            log.exception("A request failed.")
            reply = ServerResponse(HTTPStatus.BAD_GATEWAY, [])
        self._task = None
        self._release_body()
        if not self._transport.is_closing():
            self._send(reply)

    def _send(self, reply):
        self._head = None
        is_last = self._shared.is_closing or self._http.their_state is not h11.DONE
        self._write(reply, is_last)
        if is_last or self._http.our_state is not h11.DONE:
            self.close()
            return
        self._http.start_next_cycle()
        self._idle_until_s = self._shared.clock() + self._limits.idle_timeout_s
        try:
            self._advance()
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint)

    def _write(self, reply, is_last):
        headers = [*reply.headers, (b"Content-Length", b"%d" % len(reply.body))]
        if is_last:
            headers.append(CLOSE)
        head = h11.Response(
            status_code=int(reply.status), headers=headers, reason=_reason(reply.status)
        )
        parts = [self._http.send(head)]
        if reply.body:
            parts.append(self._http.send(h11.Data(data=reply.body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        self._transport.write(b"".join(parts))

    def _reject(self, status):
        """Answer a request that can't be read, and close."""
        self._head = None
        self._release_body()
        self._idle_until_s = self._shared.clock() + LINGER_S
        if self._transport.is_closing():
            return
        log.info("A request was not read.", status=int(status))
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._write(ServerResponse(int(status), []), True)
        self.close()

    def _release_body(self):
        self._shared.release(self._size)
        self._size = 0
        self._parts = []


def _header_size(head: h11.Request) -> int:
    fields = sum(len(name) + len(value) for name, value in head.headers)
    return len(head.method) + len(head.target) + fields


def _reason(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""
