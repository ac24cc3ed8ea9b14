"""The channel between instances: authenticated frames over TCP."""

import asyncio
import collections
import socket
from collections.abc import Callable

from result import Err, Ok, Result

from chervilpitch.errors import ChervilpitchError, FrameError
from chervilpitch.observe import part_logger

from .codec import Envelope, decode, encode
from .frames import HEADER_BYTES, encode_frame, payload_length, verify_payload

__all__ = ["FrameReader", "PeersChannel"]

log = part_logger("peers")

CONNECT_TIMEOUT_S = 1.0
RECONNECT_S = 0.5
USER_TIMEOUT_MS = 4_000
MAX_UNSENT_BYTES = 4_194_304
MAX_UNSENT_MESSAGES = 256


class FrameReader:
    """Cuts a stream of bytes into payloads.

    Parameters
    ----------
    secret : bytes
        Secret shared by the fleet.

    Examples
    --------
    >>> reader = FrameReader(b"secret")
    >>> frame = encode_frame(b"secret", b"payload")
    >>> reader.feed(frame[:10]), reader.feed(frame[10:])
    (Ok(()), Ok((b'payload',)))
    """

    def __init__(self, secret: bytes):
        self._secret = secret
        self._received = bytearray()

    def feed(self, data: bytes) -> Result[tuple[bytes, ...], FrameError]:
        """Take bytes and return the payloads that they complete.

        Parameters
        ----------
        data : bytes
            What was received.

        Returns
        -------
        Result
            Authentic payloads in order, or the error of the first frame refused.
        """
        self._received += data
        payloads = []
        while len(self._received) >= HEADER_BYTES:
            header = bytes(self._received[:HEADER_BYTES])
            length = payload_length(header)
            if length.is_err():
                return length
            end = HEADER_BYTES + length.unwrap()
            if len(self._received) < end:
                break
            payload = bytes(self._received[HEADER_BYTES:end])
            del self._received[:end]
            opened = verify_payload(self._secret, header, payload)
            if opened.is_err():
                return Err(opened.unwrap_err())
            payloads.append(payload)
        return Ok(tuple(payloads))


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
    Messages may be lost: those for a peer that takes none are dropped, and a
    broken connection loses what it held. Data that a peer does not acknowledge
    ends the connection, so one that has gone silent is replaced.
    """

    def __init__(
        self, secret: bytes, own_name: str, deliver: Callable[[Envelope], None]
    ):
        self._secret = secret
        self._own_name = own_name
        self._deliver = deliver
        self._links: dict[str, _Link] = {}
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
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self.incoming_protocol, host.strip("[]"), int(port)
        )

    def incoming_protocol(self) -> asyncio.Protocol:
        """Return the protocol of a connection that a peer makes."""
        return _Incoming(FrameReader(self._secret), self._take)

    def send(self, address: str, envelope: Envelope) -> None:
        """Send an envelope to a peer, or drop it.

        Parameters
        ----------
        address : str
            Host and port of the peer.
        envelope : Envelope
            What to send.
        """
        frame = encode_frame(self._secret, encode(envelope))
        if address not in self._links:
            self._links[address] = _Link(address, self._counts)
        self._links[address].send(frame)

    def close_unused(self, addresses_in_use: frozenset[str]) -> None:
        """End the connections to every other address.

        Parameters
        ----------
        addresses_in_use : frozenset of str
            Addresses to keep.
        """
        for address in self._links.keys() - addresses_in_use:
            self._links.pop(address).close()

    async def close(self) -> None:
        """Stop listening and end every connection."""
        self.close_unused(frozenset())
        if self._server is not None:
            self._server.close()

    def _take(self, received: Result[tuple[bytes, ...], FrameError]) -> bool:
        """Take payloads and return whether the connection may go on."""
        if received.is_err():
            self._refuse(received.unwrap_err())
            return False
        for payload in received.unwrap():
            self._counts["bytes_received"] += HEADER_BYTES + len(payload)
            self._take_payload(payload)
        return True

    def _take_payload(self, payload):
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


class _Incoming(asyncio.Protocol):
    """A connection that a peer has made."""

    def __init__(self, reader, take):
        self._reader = reader
        self._take = take
        self._transport = None

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        if not self._take(self._reader.feed(data)):
            self._transport.close()


class _Link(asyncio.Protocol):
    """A connection to one peer, made again whenever it breaks."""

    def __init__(self, address, counts):
        host, _, port = address.rpartition(":")
        self._host = host.strip("[]")
        self._port = int(port)
        self._counts = counts
        self._transport = None
        self._unsent = collections.deque(maxlen=MAX_UNSENT_MESSAGES)
        self._is_closed = False
        self._connecting = asyncio.ensure_future(self._connect())

    def send(self, frame):
        if self._transport is None:
            self._counts["frames_dropped"] += len(self._unsent) == MAX_UNSENT_MESSAGES
            self._unsent.append(frame)
        elif self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._counts["frames_dropped"] += 1
        else:
            self._write(frame)

    def close(self):
        self._is_closed = True
        self._connecting.cancel()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport):
        self._transport = transport
        _limit_unacknowledged(transport.get_extra_info("socket"))
        while self._unsent:
            self._write(self._unsent.popleft())

    def connection_lost(self, failure):
        self._transport = None
        self._counts["connections_ended"] += 1
        if not self._is_closed:
            self._connecting = asyncio.ensure_future(self._connect_again())

    async def _connect_again(self):
        await asyncio.sleep(RECONNECT_S)
        await self._connect()

    async def _connect(self):
        loop = asyncio.get_running_loop()
        while not self._is_closed:
            try:
                connecting = loop.create_connection(
                    lambda: self, self._host, self._port
                )
                await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
                return
            except (OSError, TimeoutError):
                self._counts["connections_failed"] += 1
                await asyncio.sleep(RECONNECT_S)

    def _write(self, frame):
        self._transport.write(frame)
        self._counts["frames_sent"] += 1
        self._counts["bytes_sent"] += len(frame)


def _limit_unacknowledged(connection):
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
