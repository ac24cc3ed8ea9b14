"""Stand-in for an upstream that follows the platform's protocol or violates it."""

import asyncio
import socket
import struct
from enum import StrEnum
from typing import NamedTuple

import h11

from .cut_response import CUT_HEADER, Framing, build_response, parse_cut

__all__ = ["Behaviour", "FakeTarget"]


DELAY_BEFORE_RESET_S = 0.01
"""Time in which the receiver reads what was sent, as a reset discards the rest."""


class Behaviour(StrEnum):
    """How the upstream treats requests that are addressed to it."""

    CORRECT = "fine"
    HANG = "hang"
    RESET = "reset"
    SHED = "shed"
    ERROR = "error"
    TRUNCATED = "truncated"
    UNSEALED = "unsealed"
    EXTRA = "extra"
    LATE_EXTRA = "late-extra"
    ENCODED = "encoded"
    UNFRAMED = "unframed"
    UNFRAMED_RESET = "unframed-reset"
    STALE_REFUSAL = "stale-refusal"
    HUGE_LOAD = "huge-load"
    CUT = "cut"
    """Ends the response where the request's header ``x-cut`` says, if it has one."""
    ENDLESS_HEAD = "endless-head"
    ENDLESS_BODY = "endless-body"
    ENDLESS_CHUNK_EXTENSION = "endless-chunk-extension"
    ENDLESS_TRAILER = "endless-trailer"
    ENDLESS_INFORMATIONAL = "endless-informational"
    ENDLESS_SMALL_CHUNKS = "endless-small-chunks"
    ENDLESS_SMALL_CHUNKS_WITH_EXTENSIONS = "endless-small-chunks-with-extensions"


class _EndlessBytes(NamedTuple):
    """Bytes of a response that never ends: the first ones, then a piece repeatedly."""

    first: bytes
    piece: bytes


_OK_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
_ENDLESS = {
    Behaviour.ENDLESS_HEAD: _EndlessBytes(b"HTTP/1.1 200 OK\r\nA: ", b"a" * 4_096),
    Behaviour.ENDLESS_BODY: _EndlessBytes(b"HTTP/1.1 200 OK\r\n\r\n", b"b" * 65_536),
    Behaviour.ENDLESS_CHUNK_EXTENSION: _EndlessBytes(
        _OK_CHUNKED + b"1;e=", b"e" * 4_096
    ),
    Behaviour.ENDLESS_TRAILER: _EndlessBytes(
        _OK_CHUNKED + b"1\r\nx\r\n0\r\nT: ", b"t" * 4_096
    ),
    Behaviour.ENDLESS_INFORMATIONAL: _EndlessBytes(
        b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 50
    ),
    Behaviour.ENDLESS_SMALL_CHUNKS: _EndlessBytes(_OK_CHUNKED, b"2\r\nab\r\n" * 10_000),
    Behaviour.ENDLESS_SMALL_CHUNKS_WITH_EXTENSIONS: _EndlessBytes(
        _OK_CHUNKED, (b"1;e=" + b"e" * 4_000 + b"\r\nx\r\n") * 20
    ),
}


class FakeTarget:
    """An upstream whose behaviour can be switched between requests.

    Attributes
    ----------
    response_body : bytes
        Body of each response; by default its name.
    runs : list of tuple
        Method, target, headers and body of each request that was run.
    cancelled : int
        Number of requests whose connection was closed while they ran.
    extra_headers : dict of str to str
        Headers that every response has besides its own.
    """

    def __init__(self, name, behaviour=Behaviour.CORRECT, service_time_s=0.0):
        self.name = name
        self.response_body = name.encode() if name else b""
        self.behaviour = behaviour
        self.service_time_s = service_time_s
        self.runs = []
        self.cancelled = 0
        self.extra_headers = {}
        self.connections = 0
        self.address = ""
        self._server = None

    async def start(self, host="127.0.0.1", port=0):
        """Start to listen and return the address."""
        self._server = await asyncio.start_server(self._serve, host, port)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        return self.address

    def stop(self):
        """Stop listening."""
        self._server.close()

    def entry(self, service, zone, **fields):
        """Return the entry with which the upstream registers itself in the store."""
        return {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "capacity": 4,
            "state": "ready",
            "cold_remaining": "0ms",
            "sequence": 1,
            "born": 1_700_000_000_000,
        } | fields

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while await self._exchange(reader, writer):
                pass
        except (ConnectionError, h11.RemoteProtocolError):
            pass
        finally:
            writer.close()

    async def _exchange(self, reader, writer) -> bool:
        request = await self._receive(reader)
        if request is None:
            return False
        method, target, headers, body = request
        target_instance = headers.get("x-chervilpitch-target-instance")
        if target_instance != self.name:
            fields = {"X-Chervilpitch-Instance-Id": self.name}
            writer.write(self._encode_response(headers, 421, b"", fields))
            return True
        if self.behaviour is Behaviour.SHED:
            fields = {"X-Chervilpitch-Not-Executed": "1"}
            writer.write(self._encode_response(headers, 503, b"", fields))
            return True
        self.runs.append((method, target, headers, body))
        return await self._run(reader, writer, method.decode(), headers)

    async def _run(self, reader, writer, method, headers) -> bool:
        work = asyncio.create_task(self._work())
        disconnect = asyncio.create_task(reader.read(1))
        await asyncio.wait((work, disconnect), return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            self.cancelled += 1
            work.cancel()
            return False
        disconnect.cancel()
        await asyncio.wait((disconnect,))
        if self.behaviour is Behaviour.CUT and CUT_HEADER in headers:
            return await _respond_cut(writer, method, headers)
        return await self._respond(writer, headers)

    async def _work(self):
        is_hanging = self.behaviour is Behaviour.HANG
        await asyncio.sleep(60 if is_hanging else self.service_time_s)

    async def _respond(self, writer, headers) -> bool:
        body = self.response_body
        seal = {"X-Chervilpitch-Response-Seal": "s." + self.name}
        behaviour = self.behaviour
        if behaviour in _ENDLESS:
            await _write_endlessly(writer, _ENDLESS[behaviour])
            return False
        if behaviour is Behaviour.STALE_REFUSAL:
            fields = {"X-Chervilpitch-Not-Executed": "1"}
            refusal = self._encode_response({}, 503, b"", fields)
            writer.write(refusal.replace(b"X-Chervilpitch-Request-Id: \r\n", b""))
        if behaviour is Behaviour.RESET:
            _reset(writer)
            return False
        if behaviour is Behaviour.ERROR:
            writer.write(self._encode_response(headers, 500, b"failed", seal))
            return True
        if behaviour is Behaviour.TRUNCATED:
            writer.write(self._encode_response(headers, 200, body, seal)[:-1])
            return False
        if behaviour is Behaviour.UNSEALED:
            writer.write(self._encode_response(headers, 200, body, {}))
            return True
        if behaviour is Behaviour.HUGE_LOAD:
            seal |= {"X-Chervilpitch-Server-Load": "9" * 400 + ",0,8"}
        if behaviour is Behaviour.ENCODED:
            encoded = seal | {"Content-Encoding": "gzip"}
            writer.write(self._encode_response(headers, 200, body, encoded))
            return True
        if behaviour in (Behaviour.UNFRAMED, Behaviour.UNFRAMED_RESET):
            response = self._encode_response(headers, 200, body, seal)
            length_line = b"Content-Length: %d\r\n" % len(body)
            writer.write(response.replace(length_line, b""))
            if behaviour is Behaviour.UNFRAMED_RESET:
                await asyncio.sleep(0.05)
                _reset(writer)
            return False
        writer.write(self._encode_response(headers, 200, body, seal))
        if behaviour is Behaviour.EXTRA:
            writer.write(self._encode_response(headers, 200, body, seal))
        if behaviour is Behaviour.LATE_EXTRA:
            late = self._encode_response(headers, 200, b"late", seal)
            asyncio.get_running_loop().call_later(0.05, writer.write, late)
        return True

    def _encode_response(self, headers, status, body, fields) -> bytes:
        lines = [f"HTTP/1.1 {status} Any"]
        request_id = headers.get("x-chervilpitch-request-id", "")
        lines.append(f"X-Chervilpitch-Request-Id: {request_id}")
        fields = self.extra_headers | fields
        lines.extend(f"{name}: {value}" for name, value in fields.items())
        lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def _receive(self, reader):
        http = h11.Connection(h11.SERVER)
        request, chunks = None, []
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                data = await reader.read(65_536)
                if not data:
                    return None
                http.receive_data(data)
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                fields = {k.decode(): v.decode() for k, v in request.headers}
                return request.method, request.target.decode(), fields, b"".join(chunks)


async def _write_endlessly(writer, content: _EndlessBytes):
    writer.write(content.first)
    while not writer.is_closing():
        writer.write(content.piece)
        await writer.drain()
        await asyncio.sleep(0)


async def _respond_cut(writer, method, headers) -> bool:
    """Send the start of a response; return whether the connection stays open."""
    cut = parse_cut(headers[CUT_HEADER])
    request_id = headers.get("x-chervilpitch-request-id", "")
    response = build_response(cut.framing, request_id, method)
    writer.write(response[: cut.sent_bytes])
    await writer.drain()
    is_whole = cut.sent_bytes >= len(response)
    if is_whole and cut.framing is not Framing.UNTIL_CLOSE and not cut.is_reset:
        return True
    if cut.is_reset:
        await asyncio.sleep(DELAY_BEFORE_RESET_S)
        _reset(writer)
    return False


def _reset(writer):
    """Close a connection with a reset instead of an orderly shutdown."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
