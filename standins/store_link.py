"""Stand-in for an instance's access to the store, which may turn the instance away."""

import asyncio
from enum import StrEnum
from http import HTTPStatus

from chervilpitch.gateway.buffers import BufferLimit
from chervilpitch.gateway.http_server import HttpServer, ServerResponse
from chervilpitch.gateway.server_connection import ServerConnection
from chervilpitch.model import CallerLimits
from chervilpitch.transport.clock import monotonic_s

from .store import MAX_BODY_BYTES, FakeStore

__all__ = ["StoreLink", "TurnedAway"]

SILENCE_S = 60.0


class TurnedAway(StrEnum):
    """How the store turns an instance away while it serves others."""

    RESET = "reset"
    UNAVAILABLE = "unavailable"
    TOO_MANY_REQUESTS = "too-many-requests"
    SILENT = "silent"


STATUSES = {
    TurnedAway.UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    TurnedAway.TOO_MANY_REQUESTS: HTTPStatus.TOO_MANY_REQUESTS,
}


class StoreLink:
    """Address of the store for one instance.

    Attributes
    ----------
    calls : int
        Number of calls so far, those that were turned away included.
    """

    def __init__(self, store: FakeStore):
        self.calls = 0
        self._store = store
        self._turned_away: TurnedAway | None = None
        self._connections: set[asyncio.BaseTransport] = set()
        self._server = None

    async def start(self) -> str:
        """Start to listen and return the address."""
        http_server = HttpServer(
            self._serve, CallerLimits, monotonic_s, BufferLimit(MAX_BODY_BYTES)
        )
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _LinkConnection(http_server, self), "127.0.0.1", 0
        )
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    def stop(self):
        """Stop listening."""
        self._server.close()

    def turn_away(self, how: TurnedAway):
        """Turn the instance away from now on, in its open connections too."""
        self._turned_away = how
        if how is TurnedAway.RESET:
            for transport in tuple(self._connections):
                transport.abort()

    def heal(self):
        """Serve the instance again, on new connections."""
        self._turned_away = None
        for transport in tuple(self._connections):
            transport.abort()

    def open(self, transport):
        """Register a connection, or reset it."""
        if self._turned_away is TurnedAway.RESET:
            transport.abort()
        else:
            self._connections.add(transport)

    def discard(self, transport):
        """Remove a connection that was closed."""
        self._connections.discard(transport)

    async def _serve(self, request):
        self.calls += 1
        response = None
        if self._turned_away is None:
            response = await self._store.serve(request)
        if self._turned_away is TurnedAway.SILENT:
            await asyncio.sleep(SILENCE_S)
        if self._turned_away in STATUSES:
            return ServerResponse(STATUSES[self._turned_away], [])
        return response


class _LinkConnection(ServerConnection):
    """A connection that its link knows."""

    def __init__(self, http_server, link):
        super().__init__(http_server)
        self._link = link

    def connection_made(self, transport):
        super().connection_made(transport)
        self._link.open(transport)

    def connection_lost(self, error):
        super().connection_lost(error)
        self._link.discard(self._transport)
