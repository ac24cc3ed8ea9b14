"""Slope of the connections between instances, both ends of each on loopback."""

import asyncio
import gc
import importlib
import tracemalloc
from collections.abc import Iterator

import psutil

from chervilpitch.accounts import RevisionQuestion
from chervilpitch.model import Sender
from chervilpitch.transport.codec import Envelope
from chervilpitch.transport.peers import PeersChannel

from .slopes_measure import Point, value

__all__ = ["measure", "resident"]

TOPIC = "peers"
SECRET = b"s" * 32
PEERS = (25, 50, 100, 200)
SETTLE_S = 0.5


def resident() -> Iterator[Point]:
    """Yield the resident memory of a process that has imported the program."""
    importlib.import_module("chervilpitch.cli.main")
    gc.collect()
    size = psutil.Process().memory_info().rss
    yield value("memory", "resident after imports", "bytes", "processes", 1, size)


def measure() -> Iterator[Point]:
    """Yield the bytes held for each peer to which a message was sent once."""
    for size in PEERS:
        held = asyncio.run(_held(size, _keep_open))
        name = "connection out and in"
        yield value(TOPIC, name, "bytes", "peers", size, held)
        held = asyncio.run(_held(size, _CloseEarly))
        name = "connection out, closed by the peer"
        yield value(TOPIC, name, "bytes", "peers", size, held)


def _keep_open():
    """Return the listener's side of a connection that stays."""
    channel = PeersChannel(SECRET, "b", lambda envelope: None)
    return channel.incoming_protocol()


class _CloseEarly(asyncio.Protocol):
    """A peer that closes each connection after its first bytes."""

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        self._transport.close()


async def _held(count: int, receive) -> int:
    servers = [await _listen(receive) for _ in range(count)]
    addresses = [_address(server) for server in servers]
    channel = PeersChannel(SECRET, "a", lambda envelope: None)
    envelope = Envelope(Sender("a", 1), "b", 0, 0, RevisionQuestion(1))
    gc.collect()
    tracemalloc.start()
    for address in addresses:
        channel.send(address, envelope)
    await asyncio.sleep(SETTLE_S)
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    await channel.close()
    for server in servers:
        server.close()
    await asyncio.sleep(SETTLE_S)
    return held


async def _listen(receive):
    loop = asyncio.get_running_loop()
    return await loop.create_server(receive, "127.0.0.1", 0)


def _address(server):
    host, port = server.sockets[0].getsockname()
    return f"{host}:{port}"
