"""HTTP/1.1 connections to upstreams and to the platform's store."""

import asyncio
import socket
from enum import StrEnum
from typing import NamedTuple

import h11

from chervilpitch.errors import ChervilpitchError

__all__ = [
    "Answer",
    "ClientConnection",
    "ExchangeError",
    "FailureKind",
    "HttpRequest",
    "connect",
]

USER_TIMEOUT_MS = 4_000
MOST_ANSWER_BYTES = 33_554_432


class FailureKind(StrEnum):
    """How an exchange failed."""

    NOT_CONNECTED = "not-connected"
    RESET = "reset"
    TRUNCATED = "truncated"
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"


class ExchangeError(ChervilpitchError):
    """An exchange that gave no whole answer.

    Parameters
    ----------
    kind : FailureKind
        How it failed.
    """

    def __init__(self, kind: FailureKind):
        super().__init__(kind.value)
        self._kind = kind

    @property
    def kind(self) -> FailureKind:
        """How it failed."""
        return self._kind


class HttpRequest(NamedTuple):
    """A request to send.

    Parameters
    ----------
    method, target : bytes
        Request line.
    headers : list of pairs of bytes
        Headers without those that frame the body.
    body : bytes
        The whole body.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes = b""


class Answer(NamedTuple):
    """A whole answer.

    Parameters
    ----------
    status : int
        Status code.
    headers : list of pairs of bytes
        Lower-case names and values.
    body : bytes
        The whole body.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class ClientConnection(asyncio.Protocol):
    """One connection; it serves one exchange at a time.

    Notes
    -----
    Bytes that come while no exchange is under way belong to no request: the
    connection is then closed and not used again.
    """

    def __init__(self) -> None:
        self._transport = None
        self._http = None
        self._arrived = asyncio.Event()
        self._rest = b""
        self._is_ended = False
        self._is_broken = False
        self._is_reusable = False

    @property
    def is_reusable(self) -> bool:
        """Whether another exchange may begin."""
        return self._is_reusable and not self._is_ended and not self._is_broken

    def connection_made(self, transport) -> None:
        """Keep the transport."""
        self._transport = transport
        self._is_reusable = True
        _set_options(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the exchange under way."""
        if self._http is None:
            self.close()
            return
        self._feed(data)

    def eof_received(self) -> bool:
        """Note the end of the other side's bytes."""
        self._is_ended = True
        self._feed(b"")
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Wake the exchange under way."""
        self._is_broken = error is not None or not self._is_ended
        self._is_ended = True
        self._arrived.set()

    def close(self) -> None:
        """Close at once; what is still to be sent is dropped."""
        self._is_reusable = False
        if self._transport is not None:
            self._transport.abort()

    async def exchange(self, request: HttpRequest, keep_foreign=None) -> Answer:
        """Send a request and receive its whole answer.

        Parameters
        ----------
        request : HttpRequest
            The request.
        keep_foreign : callable, optional
            Takes an answer and returns whether it belongs to another request;
            such an answer is dropped and the next one is waited for.

        Raises
        ------
        ExchangeError
            No whole answer came. The request may have run.
        """
        try:
            self._begin(request)
            self._transport.write(self._encoded(request))
            answer = await self._receive(request.method)
            while keep_foreign is not None and keep_foreign(answer):
                answer = await self._receive_next(request)
        except BaseException:
            self.close()
            raise
        self._finish()
        return answer

    def _begin(self, request):
        self._http = h11.Connection(h11.CLIENT)
        self._arrived.clear()
        if self._is_ended:
            raise ExchangeError(FailureKind.RESET)

    def _encoded(self, request) -> bytes:
        headers = [*request.headers]
        if request.body or request.method not in (b"GET", b"HEAD"):
            headers.append((b"Content-Length", b"%d" % len(request.body)))
        event = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        parts = [self._http.send(event)]
        if request.body:
            parts.append(self._http.send(h11.Data(data=request.body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        return b"".join(parts)

    async def _receive_next(self, request) -> Answer:
        """Receive the answer that follows one which belongs to another request."""
        rest, _ = self._http.trailing_data
        self._http = h11.Connection(h11.CLIENT)
        self._encoded(request)
        self._is_reusable = False
        if rest:
            self._feed(rest)
        return await self._receive(request.method)

    async def _receive(self, method) -> Answer:
        head = None
        parts = []
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > MOST_ANSWER_BYTES:
                    raise ExchangeError(FailureKind.TOO_LARGE)
            elif isinstance(event, h11.EndOfMessage):
                break
        headers = [(name, value) for name, value in head.headers]
        return Answer(head.status_code, headers, b"".join(parts))

    async def _next_event(self):
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise ExchangeError(self._failure()) from error
            if event is h11.NEED_DATA:
                if self._is_broken or self._is_ended:
                    raise ExchangeError(self._failure())
                self._arrived.clear()
                await self._arrived.wait()
            elif isinstance(event, h11.ConnectionClosed):
                raise ExchangeError(FailureKind.RESET)
            elif not isinstance(event, h11.InformationalResponse):
                return event

    def _failure(self) -> FailureKind:
        if self._is_broken:
            return FailureKind.RESET
        return FailureKind.TRUNCATED if self._is_ended else FailureKind.MALFORMED

    def _finish(self):
        rest, _ = self._http.trailing_data
        is_idle = self._http.our_state is h11.DONE
        is_idle = is_idle and self._http.their_state is h11.DONE
        has_unsent = self._transport.get_write_buffer_size() > 0
        self._http = None
        if rest or has_unsent or not is_idle:
            self.close()

    def _feed(self, data):
        if self._http is not None:
            try:
                self._http.receive_data(data)
            except RuntimeError:
                self._is_broken = True
        self._arrived.set()


async def connect(address: str, timeout_s: float) -> ClientConnection:
    """Open a connection.

    Parameters
    ----------
    address : str
        Host and port.
    timeout_s : float
        Seconds after which to give up.

    Raises
    ------
    ExchangeError
        No connection was made; nothing was sent.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                ClientConnection, host, int(port)
            )
    except (OSError, TimeoutError) as error:
        raise ExchangeError(FailureKind.NOT_CONNECTED) from error
    return connection


def _set_options(sock) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
