"""A stand-in for the platform's store: reads, lists and watches over HTTP."""

import asyncio
import base64
import json
from http import HTTPStatus
from urllib.parse import parse_qs

from chervilpitch.gateway.http_server import (
    HttpServer,
    ServerConnection,
    ServerResponse,
)
from chervilpitch.model import CallerLimits
from chervilpitch.transport.clock import monotonic_s

__all__ = ["FakeStore"]

MOST_BYTES = 10_000_000
POLL_S = 0.02


class FakeStore:
    """Items with revisions, as the platform's page describes them.

    Attributes
    ----------
    is_refusing : bool
        Whether every call gets 503.
    is_silent : bool
        Whether no call gets an answer.
    calls : int
        Calls so far.
    """

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self.oldest = 0
        self.is_refusing = False
        self.is_silent = False
        self.calls = 0
        self.address = ""
        self._server = None

    async def start(self, host="127.0.0.1", port=0):
        """Listen and return the address."""
        shared = HttpServer(self.serve, CallerLimits, monotonic_s, MOST_BYTES)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(shared), host, port
        )
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        return self.address

    def stop(self):
        """Stop listening."""
        self._server.close()

    def put(self, key, value):
        """Write an item, given as plain data or as bytes."""
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(content).decode(),
            "revision": self.revision,
            "created": self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self.history.append(item)

    def remove(self, key):
        """Remove an item."""
        self.revision += 1
        del self.items[key]
        removed = {"key": key, "revision": self.revision, "is_removed": True}
        self.history.append(removed)

    def forget_history(self):
        """Drop the history, so that watches must begin anew."""
        self.history.clear()
        self.oldest = self.revision

    async def serve(self, request):
        """Answer one call."""
        self.calls += 1
        if self.is_silent:
            await asyncio.sleep(60)
        if self.is_refusing:
            return ServerResponse(HTTPStatus.SERVICE_UNAVAILABLE, [])
        path, _, query = request.target.decode().partition("?")
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        if path == "/api/kv-key":
            return self._key(fields)
        if path == "/api/kv-range":
            return self._range(fields)
        return await self._watch(fields)

    def _key(self, fields):
        item = self.items.get(fields["key"])
        if item is None:
            return self._reply({}, HTTPStatus.NOT_FOUND)
        return self._reply(item)

    def _range(self, fields):
        keys = sorted(key for key in self.items if key.startswith(fields["prefix"]))
        after = fields.get("after", "")
        page = [key for key in keys if key > after][:2]
        has_more = bool(page) and page[-1] != keys[-1]
        items = [self.items[key] for key in page]
        return self._reply({"items": items, "has_more": has_more})

    async def _watch(self, fields):
        after = int(fields["after"])
        until_s = monotonic_s() + int(fields["wait_ms"]) / 1000
        while True:
            if after < self.oldest:
                return self._reply({}, HTTPStatus.GONE)
            events = [
                item
                for item in self.history
                if item["revision"] > after and item["key"].startswith(fields["prefix"])
            ]
            if events or monotonic_s() >= until_s:
                return self._reply({"events": events})
            await asyncio.sleep(POLL_S)

    def _reply(self, fields, status=HTTPStatus.OK):
        body = json.dumps(fields | {"current_rev": self.revision}).encode()
        return ServerResponse(status, [(b"Content-Type", b"application/json")], body)
