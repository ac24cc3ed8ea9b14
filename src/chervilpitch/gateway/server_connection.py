"""Connections from callers."""

import asyncio
import sys
from http import HTTPStatus

import h11

from chervilpitch.observe import part_logger
from chervilpitch.policy import ParsingTurn

from .connection_use import ConnectionUse
from .http_server import SMALL_READ_BYTES, HttpServer, ServerRequest, ServerResponse
from .limit_events import LimitKind
from .read_gate import ReadGate
from .request_body import RequestBody
from .request_checks import rejection_of
from .response_encoding import encode_response
from .response_writer import ResponseWriter

__all__ = ["ServerConnection"]

log = part_logger("callers")

CONTINUE_RESPONSE = h11.InformationalResponse(status_code=100, headers=[])
LINGER_S = 1.0
"""Time for the caller to close first after the last response: closing a connection with
unread bytes resets it, and the caller may lose the response."""
FIRST_REQUEST_S = 0.5
SMALL_PIECES_DELAY_S = 0.01
"""Delay after each turn of parsing a body that is in too many small pieces."""


class ServerConnection(asyncio.BufferedProtocol):
    """A connection from a caller.

    Parameters
    ----------
    server : HttpServer
        State shared by the connections.

    Notes
    -----
    The limits are those in force when they are applied, as a connection may be open
    for longer than a configuration is in force. A body is also accepted up to the limit
    that was in force at its header.

    While a response waits for the caller to accept it, nothing more is read, parsed or
    served. Each request is served by a task of its own, so that requests received
    together neither nest calls nor hold the event loop.
    """

    def __init__(self, server: HttpServer):
        self._server = server
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)
        self._transport: asyncio.Transport
        self._writer: ResponseWriter
        self._gate: ReadGate
        self._head = None
        self._body = RequestBody(server.buffers)
        self._is_parsing_deferred = False
        self._head_received_at_s = 0.0
        self._active_at_s = server.clock()
        self._has_received_head = False
        self._linger_until_s = float("inf")
        self._task: asyncio.Task | None = None
        self._is_ending = False
        self._is_found_idle = False
        self._first_request_until_s = server.clock() + FIRST_REQUEST_S

    def connection_made(self, transport) -> None:
        """Keep the transport and register the connection."""
        self._transport = transport
        self._gate = ReadGate(transport, self._server.unparsed)
        self._writer = ResponseWriter(
            transport,
            self._server.unsent,
            self._server.clock,
            self._continue_after_response,
        )
        self._server.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request in progress; its response can't be delivered."""
        self._server.discard(self)
        self._body.release()
        self._writer.discard()
        self._gate.set_unparsed(0)
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Stop writing, reading and serving until the caller accepts more bytes."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Write on what waits, and then read and serve again."""
        self._writer.resume()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections are read into, one at a time."""
        return self._server.read_buffer

    def buffer_updated(self, size: int) -> None:
        """Parse received bytes; reject a request that is not valid HTTP/1.1."""
        self._is_found_idle = False
        if self._is_ending:
            return
        try:
            self._http.receive_data(bytes(self._server.read_buffer[:size]))
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint)
            return
        self._gate.add(size)
        self._parse()

    def eof_received(self) -> bool:
        """Close the connection, because a half-closed one counts as disconnected."""
        return False

    def close_if_idle(self, now_s: float) -> None:
        """Close if no request is in progress at this call and the one before.

        Bytes that arrived while the process was stalled are read between two calls.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        """
        if self._is_ending or self._is_active(now_s):
            return
        if self._is_found_idle:
            self.close()
        self._is_found_idle = True

    def refuse_if_incomplete(self) -> None:
        """Respond with a 503 if the body of a request is incomplete, and close."""
        if self._head is not None and self._task is None:
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE)

    def use(self, now_s: float) -> ConnectionUse:
        """Return what the connection is used for.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        """
        return ConnectionUse(
            self._writer.unsent_bytes,
            self._writer.stalled_s(now_s),
            self._body.is_slow(now_s),
            self._is_active(now_s),
        )

    def give_up(self, kind: LimitKind) -> None:
        """Refuse a request that is being received, or else close, because of a limit.

        Parameters
        ----------
        kind : LimitKind
            The limit.
        """
        self._server.record_limit(kind)
        if self._head is not None and self._task is None:
            self._reject(HTTPStatus.REQUEST_TIMEOUT)
        if kind is not LimitKind.SLOW_BODY_REFUSED:
            self._transport.abort()
            self._writer.discard()

    def refuse(self) -> None:
        """Refuse a new connection, from which nothing has been read."""
        self._write_response(self._server.refusal(), True)
        self._transport.close()

    def close(self) -> None:
        """Close after the buffered bytes are written."""
        self._transport.close()

    def _is_active(self, now_s: float) -> bool:
        """Return whether a request is being received or served, or is on its way.

        A caller that has just connected has mostly sent its first request already.
        """
        if self._task is not None or self._head is not None or self._writer.is_blocked:
            return True
        return not self._is_ending and now_s < self._first_request_until_s

    def _end(self):
        """End the connection after the last response, once the caller has closed it.

        What the caller has sent behind its last request is read and ignored.
        """
        self._is_ending = True
        self._gate.set_unparsed(0)
        if not self._writer.is_blocked:
            self._shut_down()

    def _shut_down(self):
        """State that no response follows, as the last one has been accepted."""
        self._linger_until_s = self._server.clock() + LINGER_S
        self._update_reading()
        try:
            self._transport.write_eof()
        except OSError:  # The caller has reset the connection.
            self._transport.abort()

    def check_timeout(self, now_s: float) -> None:
        """Close the connection if its timeout has passed.

        If the body of a request is incomplete, the response is a 408.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        """
        if self._writer.stalled_s(now_s) >= self._server.limits.idle_timeout_s:
            self.give_up(LimitKind.STALLED_CLOSED)
        elif self._is_ending:
            if now_s >= self._linger_until_s:
                self.close()
        elif self._task is None and not self._writer.is_blocked:
            if now_s >= self._active_at_s + self._timeout_s:
                self._time_out()

    def _time_out(self):
        if self._head is not None or self._http.their_state is h11.SEND_BODY:
            self._reject(HTTPStatus.REQUEST_TIMEOUT)
        else:
            self.close()

    @property
    def _timeout_s(self) -> float:
        """Time in seconds that the caller may take for its next bytes."""
        limits = self._server.limits
        if self._has_received_head:
            return limits.idle_timeout_s
        return limits.header_timeout_s

    def _update_reading(self):
        is_open = not self._writer.is_blocked and not self._is_parsing_deferred
        self._gate.update(is_open, self._task is not None)

    def _continue_after_response(self):
        """Resume parsing, or shut down, once the last response has been accepted."""
        if self._is_ending:
            self._shut_down()
            return
        self._active_at_s = self._server.clock()
        self._parse()

    def _parse(self):
        """Process what was received; reject a request that is not valid HTTP/1.1."""
        if self._may_parse():
            try:
                self._process_events()
            except h11.RemoteProtocolError as error:
                self._reject(error.error_status_hint)
            if not self._is_ending:
                self._gate.set_unparsed(len(self._http.trailing_data[0]))
        self._update_reading()

    def _may_parse(self) -> bool:
        is_free = self._task is None and not self._writer.is_blocked
        return is_free and not self._is_ending and not self._is_parsing_deferred

    def _process_events(self):
        turn = ParsingTurn()
        while self._may_parse():
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._limit_incomplete()
                self._send_continue_if_expected()
                return
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            if isinstance(event, h11.Request):
                self._begin_request(event)
            elif isinstance(event, h11.Data):
                self._append_body(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._start_serving()
            if turn.take():
                self._defer_parsing()
                return

    def _defer_parsing(self):
        """Let other tasks run before the rest is parsed; longer after many pieces."""
        self._is_parsing_deferred = True
        delay_s = SMALL_PIECES_DELAY_S if self._body.has_too_many_pieces else 0.0
        asyncio.get_running_loop().call_later(delay_s, self._resume_parsing)

    def _resume_parsing(self):
        self._is_parsing_deferred = False
        if not self._transport.is_closing():
            self._parse()

    def _limit_incomplete(self):
        """Reject a header, or framing of a body, that is too large before its end."""
        incomplete, _ = self._http.trailing_data
        if len(incomplete) > self._server.limits.max_header_bytes:
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        elif self._server.unparsed.is_exceeded and len(incomplete) > SMALL_READ_BYTES:
            self._server.record_limit(LimitKind.UNPARSED_REFUSED)
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE)

    def _begin_request(self, head):
        limits = self._server.limits
        self._head = head
        self._first_request_until_s = float("-inf")
        self._head_received_at_s = self._active_at_s = self._server.clock()
        self._has_received_head = True
        self._body.begin(limits, self._active_at_s)
        status = rejection_of(head, limits)
        if status is not None:
            self._reject(status)

    def _append_body(self, data):
        self._active_at_s = self._server.clock()
        if self._body.is_too_large_with(data, self._server.limits.max_body_bytes):
            self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif not self._append_within_memory(data):
            self._server.record_limit(LimitKind.BODY_REFUSED)
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE)

    def _append_within_memory(self, data) -> bool:
        """Append a piece of the body, if need be after bodies that come in slowly."""
        if self._body.append(data, self._active_at_s):
            return True
        self._server.refuse_slow_bodies(len(data))
        return not self._is_ending and self._body.append(data, self._active_at_s)

    def _send_continue_if_expected(self):
        if self._http.they_are_waiting_for_100_continue:
            self._writer.write(self._http.send(CONTINUE_RESPONSE))

    def _start_serving(self):
        self._server.mark_active(self)
        request = ServerRequest(
            self._head.method,
            self._head.target,
            list(self._head.headers),
            self._body.take(),
            self._head_received_at_s,
        )
        self._task = asyncio.get_running_loop().create_task(self._respond(request))

    async def _respond(self, request):
        response = await self._server.serve(request)
        self._task = None
        self._body.release()
        if not self._transport.is_closing():
            self._send(response)

    def _send(self, response: ServerResponse):
        self._head = None
        is_last = self._is_last_response()
        try:
            self._write_response(response, is_last)
        except h11.LocalProtocolError:
            log.exception("A response could not be written; closing the connection.")
            self.close()
            return
        if is_last or self._http.our_state is not h11.DONE:
            self._end()
            return
        self._http.start_next_cycle()
        self._active_at_s = self._server.clock()
        self._parse()

    def _is_last_response(self) -> bool:
        """Return whether the connection ends after the response that is due.

        In a stop it does, but not before what was read behind the request is served.
        """
        if self._http.their_state is not h11.DONE:
            return True
        return self._server.is_closing and not self._gate.unparsed_bytes

    def _write_response(self, response, is_last):
        for part in encode_response(self._http, response, is_last):
            self._writer.write(part)

    def _reject(self, status):
        """Respond to a request that can't be read, and close."""
        self._head = None
        self._body.release()
        if self._transport.is_closing():
            return
        self._server.record_rejected(status)
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._write_response(self._server.rejection(status), True)
        self._end()
