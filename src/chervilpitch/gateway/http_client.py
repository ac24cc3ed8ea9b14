"""HTTP/1.1 connections to upstreams and to the platform's store."""

import asyncio
import socket
from enum import StrEnum
from typing import NamedTuple

import h11

from chervilpitch.errors import ChervilpitchError
from chervilpitch.policy import FramingAllowance, ParsingTurn

from .buffers import BufferLimit

__all__ = [
    "ClientResponse",
    "ClientConnection",
    "ExchangeError",
    "FailureKind",
    "HttpRequest",
    "connect",
]

TCP_USER_TIMEOUT_MS = 4_000
MAX_RESPONSE_BYTES = 33_554_432
MAX_UNPARSED_BYTES = 262_144
"""Bytes received and not parsed yet, above which reading is paused."""


class FailureKind(StrEnum):
    """Kind of failure of an exchange."""

    NOT_CONNECTED = "not-connected"
    RESET = "reset"
    TRUNCATED = "truncated"
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    TOO_MANY_PIECES = "too-many-pieces"


class ExchangeError(ChervilpitchError):
    """An exchange ended without a complete response.

    Parameters
    ----------
    kind : FailureKind
        Kind of failure.
    """

    def __init__(self, kind: FailureKind):
        super().__init__(kind.value)
        self._kind = kind

    @property
    def kind(self) -> FailureKind:
        """Kind of failure."""
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


class ClientResponse(NamedTuple):
    """A complete response.

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
    """A client connection that carries one exchange at a time.

    Parameters
    ----------
    buffers : BufferLimit, optional
        Limit of the response bodies that may be buffered at once; by default that of
        a single response.

    Notes
    -----
    Bytes that arrive while no exchange is in progress belong to no request; the
    connection is then closed and not reused.
    """

    def __init__(self, buffers: BufferLimit | None = None):
        self._buffers = buffers or BufferLimit(MAX_RESPONSE_BYTES)
        self._buffered_bytes = 0
        self._transport = None
        self._http = None
        self._data_event = asyncio.Event()
        self._unparsed_bytes = 0
        self._allowance = FramingAllowance()
        self._turn = ParsingTurn()
        self._is_eof = False
        self._is_reset = False
        self._is_reusable = False

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can carry another exchange."""
        return self._is_reusable and not self._is_eof and not self._is_reset

    def connection_made(self, transport) -> None:
        """Keep the transport and set the socket's TCP options."""
        self._transport = transport
        self._is_reusable = True
        _set_options(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the exchange in progress."""
        if self._http is None:
            self.close()
            return
        self._unparsed_bytes += len(data)
        if self._unparsed_bytes > MAX_UNPARSED_BYTES:
            self._transport.pause_reading()
        self._feed(data)

    def eof_received(self) -> bool:
        """Record that the server sends no more bytes."""
        self._is_eof = True
        self._feed(b"")
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Record how the connection ended and wake the exchange in progress."""
        self._is_reset = error is not None or not self._is_eof
        self._is_eof = True
        self._data_event.set()

    def close(self) -> None:
        """Close at once and discard unsent bytes."""
        self._is_reusable = False
        if self._transport is not None:
            self._transport.abort()

    async def exchange(
        self, request: HttpRequest, is_mismatched=None
    ) -> ClientResponse:
        """Send a request and receive its complete response.

        Parameters
        ----------
        request : HttpRequest
            The request.
        is_mismatched : callable, optional
            Takes a response and returns whether it belongs to another request;
            such a response is discarded and the next one is awaited.

        Raises
        ------
        ExchangeError
            No complete response was received. The request may have run.
        """
        try:
            self._begin_exchange(request)
            self._transport.write(self._serialize(request))
            response = await self._receive(request.method)
            while is_mismatched is not None and is_mismatched(response):
                response = await self._receive_next(request)
        except BaseException:
            self.close()
            raise
        finally:
            self._buffers.release(self._buffered_bytes)
            self._buffered_bytes = 0
        self._finish_exchange()
        return response

    def _begin_exchange(self, request):
        self._http = h11.Connection(h11.CLIENT)
        self._allowance = FramingAllowance()
        self._data_event.clear()
        if self._is_eof:
            raise ExchangeError(FailureKind.RESET)

    def _serialize(self, request) -> bytes:
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

    async def _receive_next(self, request) -> ClientResponse:
        """Receive the response that follows one which belongs to another request.

        Such a response counts as an interim one, as there may be any number of them.
        """
        self._allowance.add_interim_response()
        rest, _ = self._http.trailing_data
        self._http = h11.Connection(h11.CLIENT)
        self._serialize(request)
        self._is_reusable = False
        if rest:
            self._feed(rest)
        return await self._receive(request.method)

    async def _receive(self, method) -> ClientResponse:
        head = None
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                self._reserve(len(event.data), len(body))
            elif isinstance(event, h11.EndOfMessage):
                break
        headers = [(name, value) for name, value in head.headers]
        return ClientResponse(head.status_code, headers, bytes(body))

    def _reserve(self, new_bytes, size):
        if size > MAX_RESPONSE_BYTES or not self._buffers.reserve(new_bytes):
            raise ExchangeError(FailureKind.TOO_LARGE)
        self._buffered_bytes += new_bytes

    async def _next_event(self):
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise ExchangeError(self._failure_kind()) from error
            if event is h11.NEED_DATA:
                await self._wait_for_data()
                continue
            if event is h11.PAUSED:
                raise ExchangeError(FailureKind.MALFORMED)
            if isinstance(event, h11.ConnectionClosed):
                raise ExchangeError(FailureKind.RESET)
            self._count(event)
            if self._turn.take():
                await asyncio.sleep(0)
            if not isinstance(event, h11.InformationalResponse):
                return event

    async def _wait_for_data(self):
        if self._is_reset or self._is_eof:
            raise ExchangeError(self._failure_kind())
        self._resume_reading()
        self._data_event.clear()
        await self._data_event.wait()
        self._turn.reset()

    def _resume_reading(self):
        """Count what was parsed, and read on if reading was paused."""
        self._allowance.add_received(self._unparsed_bytes)
        if self._unparsed_bytes > MAX_UNPARSED_BYTES:
            self._transport.resume_reading()
        self._unparsed_bytes = 0

    def _count(self, event):
        """Count an event; give up a response in too many pieces."""
        if isinstance(event, h11.Data):
            self._allowance.add_piece(len(event.data))
        elif isinstance(event, h11.InformationalResponse):
            self._allowance.add_interim_response()
        if self._allowance.is_exceeded:
            raise ExchangeError(FailureKind.TOO_MANY_PIECES)

    def _failure_kind(self) -> FailureKind:
        if self._is_reset:
            return FailureKind.RESET
        return FailureKind.TRUNCATED if self._is_eof else FailureKind.MALFORMED

    def _finish_exchange(self):
        rest, _ = self._http.trailing_data
        is_idle = self._http.our_state is h11.DONE
        is_idle = is_idle and self._http.their_state is h11.DONE
        has_unsent = self._transport.get_write_buffer_size() > 0
        self._http = None
        self._resume_reading()
        if rest or has_unsent or not is_idle:
            self.close()

    def _feed(self, data):
        if self._http is not None:
            try:
                self._http.receive_data(data)
            except RuntimeError:
                self._is_reset = True
        self._data_event.set()


async def connect(
    address: str, timeout_s: float, buffers: BufferLimit | None = None
) -> ClientConnection:
    """Open a connection.

    Parameters
    ----------
    address : str
        Host and port.
    timeout_s : float
        Timeout of the attempt in seconds.
    buffers : BufferLimit, optional
        Limit of the response bodies that may be buffered at once.

    Raises
    ------
    ExchangeError
        No connection was established; nothing was sent.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: ClientConnection(buffers), host, int(port)
            )
    except (OSError, TimeoutError) as error:
        raise ExchangeError(FailureKind.NOT_CONNECTED) from error
    return connection


def _set_options(sock) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
