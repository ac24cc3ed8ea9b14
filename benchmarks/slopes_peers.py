"""Measure the memory of connections between instances, both ends on loopback."""

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

from .slopes_measure import Point, make_point

__all__ = ["measure", "measure_resident_memory"]

TOPIC = "peers"
SECRET = b"s" * 32
PEER_COUNTS = (25, 50, 100, 200)
SETTLE_S = 0.5


def measure_resident_memory() -> Iterator[Point]:
    """Yield the resident memory of a process after importing the program."""
    importlib.import_module("chervilpitch.cli.main")
    gc.collect()
    size = psutil.Process().memory_info().rss
    yield make_point("memory", "resident after imports", "bytes", "processes", 1, size)


def measure() -> Iterator[Point]:
    """Yield the memory held after one message to each of several peers."""
    for size in PEER_COUNTS:
        held_bytes = asyncio.run(_measure_connections(size, _accept_connection))
        name = "connection out and in"
        yield make_point(TOPIC, name, "bytes", "peers", size, held_bytes)
        held_bytes = asyncio.run(_measure_connections(size, _ClosingPeer))
        name = "connection out, closed by the peer"
        yield make_point(TOPIC, name, "bytes", "peers", size, held_bytes)


def _accept_connection():
    """Return the listener's protocol for a connection that stays open."""
    channel = PeersChannel(SECRET, "b", lambda envelope: None)
    return channel.incoming_protocol()


class _ClosingPeer(asyncio.Protocol):
    """Protocol of a peer that closes each connection after the first bytes."""

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        self._transport.close()


async def _measure_connections(count: int, protocol_factory) -> int:
    servers = [await _listen(protocol_factory) for _ in range(count)]
    addresses = [_address(server) for server in servers]
    channel = PeersChannel(SECRET, "a", lambda envelope: None)
    envelope = Envelope(Sender("a", 1), "b", 0, 0, RevisionQuestion(1))
    gc.collect()
    tracemalloc.start()
    for address in addresses:
        channel.send(address, envelope)
    await asyncio.sleep(SETTLE_S)
    gc.collect()
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    await channel.close()
    for server in servers:
        server.close()
    await asyncio.sleep(SETTLE_S)
    return held_bytes


async def _listen(protocol_factory):
    loop = asyncio.get_running_loop()
    return await loop.create_server(protocol_factory, "127.0.0.1", 0)


def _address(server):
    host, port = server.sockets[0].getsockname()
    return f"{host}:{port}"
