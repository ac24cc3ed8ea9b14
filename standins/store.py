"""Stand-in for the platform's store: reads, lists and watches over HTTP."""

import asyncio
import base64
import json
from copy import copy
from http import HTTPStatus
from urllib.parse import parse_qs

from chervilpitch.gateway.buffers import BufferLimit
from chervilpitch.gateway.http_server import (
    HttpServer,
    ServerResponse,
)
from chervilpitch.gateway.server_connection import ServerConnection
from chervilpitch.model import CallerLimits
from chervilpitch.transport.clock import monotonic_s

__all__ = ["FakeStore"]

MAX_BODY_BYTES = 10_000_000
POLL_INTERVAL_S = 0.02


class FakeStore:
    """Key-value store with revisions, as the platform documents its store.

    Attributes
    ----------
    is_refusing : bool
        Whether every call fails with 503.
    is_silent : bool
        Whether calls get no response.
    calls : int
        Number of calls so far.
    era : int
        Era that all responses state; it rises with each restoration.
    """

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self.compacted_revision = 0
        self.era = 1
        self.is_refusing = False
        self.is_silent = False
        self.calls = 0
        self.address = ""
        self._server = None

    async def start(self, host="127.0.0.1", port=0):
        """Start to listen and return the address."""
        http_server = HttpServer(
            self.serve, CallerLimits, monotonic_s, BufferLimit(MAX_BODY_BYTES)
        )
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(http_server), host, port
        )
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        return self.address

    def stop(self):
        """Stop listening."""
        self._server.close()

    def put(self, key, value):
        """Write an item, given as bytes or as data to be encoded as JSON."""
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

    def compact_history(self):
        """Compact the history, so that watches of older revisions fail with 410."""
        self.history.clear()
        self.compacted_revision = self.revision

    def save(self):
        """Return a copy of the items, history and revision."""
        return {
            "items": copy(self.items),
            "history": copy(self.history),
            "revision": self.revision,
            "compacted_revision": self.compacted_revision,
        }

    def restore(self, saved):
        """Return to a copy and begin a new era, which reuses revisions."""
        self.items = copy(saved["items"])
        self.history = copy(saved["history"])
        self.revision = saved["revision"]
        self.compacted_revision = saved["compacted_revision"]
        self.era += 1

    async def serve(self, request):
        """Return the response to one call."""
        self.calls += 1
        if self.is_silent:
            await asyncio.sleep(60)
        if self.is_refusing:
            return ServerResponse(HTTPStatus.SERVICE_UNAVAILABLE, [self._era_header()])
        path, _, query = request.target.decode().partition("?")
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        if path == "/api/kv-key":
            return self._read_item(fields)
        if path == "/api/kv-range":
            return self._list_items(fields)
        return await self._watch(fields)

    def _read_item(self, fields):
        item = self.items.get(fields["key"])
        if item is None:
            return self._respond({}, HTTPStatus.NOT_FOUND)
        return self._respond(item)

    def _list_items(self, fields):
        keys = sorted(key for key in self.items if key.startswith(fields["prefix"]))
        after = fields.get("after", "")
        page = [key for key in keys if key > after][:2]
        has_more = bool(page) and page[-1] != keys[-1]
        items = [self.items[key] for key in page]
        return self._respond({"items": items, "has_more": has_more})

    async def _watch(self, fields):
        after = int(fields["after"])
        deadline_s = monotonic_s() + int(fields["wait_ms"]) / 1000
        while True:
            if not self.compacted_revision <= after <= self.revision:
                return self._respond({}, HTTPStatus.GONE)
            events = [
                item
                for item in self.history
                if item["revision"] > after and item["key"].startswith(fields["prefix"])
            ]
            if events or monotonic_s() >= deadline_s:
                return self._respond({"events": events})
            await asyncio.sleep(POLL_INTERVAL_S)

    def _respond(self, fields, status=HTTPStatus.OK):
        body = json.dumps(fields | {"current_rev": self.revision}).encode()
        headers = [(b"Content-Type", b"application/json"), self._era_header()]
        return ServerResponse(status, headers, body)

    def _era_header(self):
        return b"Store-Era", str(self.era).encode()
