"""The channel between instances: authenticated frames over TCP."""

import asyncio
import collections
import socket
from collections.abc import Callable

from chervilpitch.errors import ChervilpitchError
from chervilpitch.observe import part_logger

from .codec import Envelope, decode, encode
from .frames import HEADER_BYTES, open_payload, payload_length, seal

__all__ = ["PeersChannel"]

log = part_logger("peers")

CONNECT_TIMEOUT_S = 1.0
RECONNECT_S = 0.5
USER_TIMEOUT_MS = 4_000
IDLE_TIMEOUT_S = 30.0
MAX_QUEUED_MESSAGES = 256


class PeersChannel:
    """Server and connections of one instance.

    Parameters
    ----------
    secret : bytes
        Secret shared by the fleet.
    own_name : str
        Name of this instance; envelopes for another one are dropped.
    deliver : callable
        Takes each authentic envelope.

    Notes
    -----
    Messages may be lost: a queue that is full drops its oldest, and a broken
    connection loses what it held. Data that a peer does not acknowledge ends the
    connection, so one that has gone silent is replaced.
    """

    def __init__(
        self, secret: bytes, own_name: str, deliver: Callable[[Envelope], None]
    ):
        self._secret = secret
        self._own_name = own_name
        self._deliver = deliver
        self._queues = {}
        self._tasks = {}
        self._server = None
        self._counts = collections.Counter()

    @property
    def counts(self) -> collections.Counter:
        """Frames and bytes by what became of them."""
        return self._counts

    async def listen(self, address: str) -> None:
        """Accept connections of peers.

        Parameters
        ----------
        address : str
            Host and port to listen on.
        """
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._receive_all, host.strip("[]"), int(port)
        )

    def send(self, address: str, envelope: Envelope) -> None:
        """Queue an envelope for a peer.

        Parameters
        ----------
        address : str
            Host and port of the peer.
        envelope : Envelope
            What to send.
        """
        frame = seal(self._secret, encode(envelope))
        if address not in self._queues:
            self._queues[address] = asyncio.Queue(MAX_QUEUED_MESSAGES)
            self._tasks[address] = asyncio.ensure_future(self._send_all(address))
        queue = self._queues[address]
        if queue.full():
            queue.get_nowait()
            self._counts["frames_dropped"] += 1
        queue.put_nowait(frame)

    def forget(self, addresses_in_use: frozenset[str]) -> None:
        """End the connections to every other address.

        Parameters
        ----------
        addresses_in_use : frozenset of str
            Addresses to keep.
        """
        for address in set(self._queues) - addresses_in_use:
            self._queues.pop(address)
            self._tasks.pop(address).cancel()

    async def close(self) -> None:
        """Stop listening and end every connection."""
        self.forget(frozenset())
        if self._server is not None:
            self._server.close()

    async def _send_all(self, address):
        while True:
            try:
                await self._send_connected(address)
            except (OSError, TimeoutError):
                self._counts["connections_failed"] += 1
            await asyncio.sleep(RECONNECT_S)

    async def _send_connected(self, address):
        host, _, port = address.rpartition(":")
        connecting = asyncio.open_connection(host.strip("[]"), int(port))
        reader, writer = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
        _limit_unacknowledged(writer)
        try:
            while not reader.at_eof():
                await self._send_queued(self._queues[address], writer)
        finally:
            writer.close()

    async def _send_queued(self, queue, writer):
        frame = await queue.get()
        writer.write(frame)
        await asyncio.wait_for(writer.drain(), USER_TIMEOUT_MS / 1_000)
        self._counts["frames_sent"] += 1
        self._counts["bytes_sent"] += len(frame)

    async def _receive_all(self, reader, writer):
        try:
            while await self._receive_one(reader):
                pass
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self._counts["connections_ended"] += 1
        finally:
            writer.close()

    async def _receive_one(self, reader):
        header = await asyncio.wait_for(
            reader.readexactly(HEADER_BYTES), IDLE_TIMEOUT_S
        )
        length = payload_length(header)
        if length.is_err():
            return self._refuse(length.unwrap_err())
        payload = await asyncio.wait_for(
            reader.readexactly(length.unwrap()), IDLE_TIMEOUT_S
        )
        self._counts["bytes_received"] += HEADER_BYTES + len(payload)
        opened = open_payload(self._secret, header, payload)
        if opened.is_err():
            return self._refuse(opened.unwrap_err())
        self._take(payload)
        return True

    def _take(self, payload):
        decoded = decode(payload)
        if decoded.is_err():
            self._refuse(decoded.unwrap_err())
            return
        envelope = decoded.unwrap()
        if envelope.receiver != self._own_name:
            self._counts["frames_for_others"] += 1
            return
        self._counts["frames_received"] += 1
        try:
            self._deliver(envelope)
        except ChervilpitchError as error:
            self._refuse(error)

    def _refuse(self, error):
        self._counts["frames_refused"] += 1
        log.warning("A frame was refused.", failure=str(error))
        return False


def _limit_unacknowledged(writer):
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
