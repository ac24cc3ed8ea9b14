"""A request path in one event loop, before stand-ins for upstreams."""

import asyncio
import hashlib
import json
import random

from chervilpitch.gateway.forward import Forwarder
from chervilpitch.gateway.http_server import HttpServer, ServerConnection
from chervilpitch.gateway.metrics import GatewayMetrics
from chervilpitch.gateway.pool import ConnectionPool
from chervilpitch.gateway.request_path import RequestPath
from chervilpitch.gateway.state import GatewayState
from chervilpitch.model import StoreItem
from chervilpitch.platform import CONFIGURATION_KEY, ENTRY_PREFIX, Bounds
from chervilpitch.policy import Location, Member, MemberState, MemberTable
from chervilpitch.transport.clock import monotonic_s
from standins.target import TargetStandin

HOST = "desk.example"
KEY = "key-of-fitters"
ACCOUNT = "fitters"
SERVICE = "desk"


def route(name, kind, **fields):
    """Return a route as operators write it."""
    return {
        "name": name,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout": "1500ms",
        "aim": "300ms",
        "priority": 1,
        "service": SERVICE,
        "max_attempts": 2,
        "no_auth": False,
    } | fields


def configuration(version=1, **fields):
    """Return a configuration as operators write it."""
    return {
        "version": version,
        "tenants": [
            {"name": ACCOUNT, "api_keys": [KEY], "rate_per_s": 0, "burst": 0},
        ],
        "virtual_hosts": [
            {
                "host": HOST,
                "path_routes": [
                    route("read", "safe"),
                    route("book", "unsafe"),
                    route("open", "safe", no_auth=True),
                ],
            }
        ],
    } | fields


def state_of(name, clock, bounds=None, incarnation=1):
    """Return what an instance in the region ``north`` knows at its start."""
    serving = int(MemberState.SERVING)
    own = Member(name, incarnation, 0, "north", "n1", "", name, serving)
    location = Location("north", "n1", {"n1": "north"})
    return GatewayState(location, bounds or Bounds(), MemberTable(own), clock)


class Scene:
    """The request path and what it needs, on the loopback."""

    def __init__(self, bounds=None):
        self.state = state_of("a", monotonic_s, bounds)
        self.pool = ConnectionPool(monotonic_s)
        forwarder = Forwarder(self.state, self.pool, monotonic_s)
        self.metrics = GatewayMetrics()
        self.path = RequestPath(self.state, forwarder, self.metrics, monotonic_s)
        self.connections = HttpServer(
            self.path.serve,
            lambda: self.state.configuration.limits,
            monotonic_s,
            10_000_000,
        )
        self.targets = []
        self.port = 0
        self.revision = 10

    async def start(self, *targets: TargetStandin, **fields):
        """Start listening before the given upstreams."""
        for target in targets:
            await target.start()
        self.targets = list(targets)
        self.configure(**fields)
        self.list_targets()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: ServerConnection(self.connections), "127.0.0.1", 0
        )
        self.port = server.sockets[0].getsockname()[1]

    def configure(self, age_s=0.0, **fields):
        """Put a configuration in force whose proof has an age."""
        self.revision += 1
        content = encoded(configuration(**fields))
        item = StoreItem(CONFIGURATION_KEY, content, self.revision)
        proved_at_s = monotonic_s() - age_s
        self.state.take_configuration_items((item,), proved_at_s)

    def list_targets(self, **fields):
        """List every upstream."""
        self.revision += 1
        items = tuple(
            StoreItem(
                ENTRY_PREFIX + target.name,
                encoded(target.entry(SERVICE, "n1", **fields)),
                self.revision,
            )
            for target in self.targets
        )
        self.state.take_entry_items(items, self.revision, True)

    async def ask(self, path, method="GET", body=b"", **options):
        """Send a request on a connection of its own; return status and answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write(request_text(path, method, body, **options))
            return await read_answer(reader)
        finally:
            writer.close()


def encoded(value) -> bytes:
    """Return plain data as the store holds it."""
    return json.dumps(value).encode()


def request_text(path, method="GET", body=b"", key=KEY, wait_ms=3000, request_id=""):
    """Return the bytes of a request."""
    request_id = request_id or hashlib.md5(random.randbytes(8)).hexdigest()
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Chervilpitch-Request-Id: {request_id}",
        f"X-Chervilpitch-Timeout-Remaining: {wait_ms}",
        "X-Chervilpitch-Tenant: forged",
    ]
    if key:
        lines.append(f"X-Chervilpitch-Key: {key}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_answer(reader):
    """Return status, headers and body of an answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.strip().split("\r\n")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    body = await reader.readexactly(int(headers["content-length"]))
    return int(first.split()[1]), headers, body
