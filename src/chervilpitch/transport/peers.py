"""Channel between instances: authenticated frames over TCP."""

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
RECONNECT_DELAY_S = 0.5
TCP_USER_TIMEOUT_MS = 4_000
MAX_UNSENT_BYTES = 4_194_304
MAX_UNSENT_MESSAGES = 256


class FrameReader:
    """Reader that splits a stream of bytes into the payloads of its frames.

    Parameters
    ----------
    secret : bytes
        Secret shared by all instances.

    Examples
    --------
    >>> reader = FrameReader(b"secret")
    >>> frame = encode_frame(b"secret", b"payload")
    >>> reader.feed(frame[:10]), reader.feed(frame[10:])
    (Ok(()), Ok((b'payload',)))
    """

    def __init__(self, secret: bytes):
        self._secret = secret
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Result[tuple[bytes, ...], FrameError]:
        """Add received bytes and return the payloads that are now complete.

        Parameters
        ----------
        data : bytes
            Received bytes.

        Returns
        -------
        Result
            Authentic payloads in order, or the error of the first invalid frame.
        """
        self._buffer += data
        payloads = []
        while len(self._buffer) >= HEADER_BYTES:
            header = bytes(self._buffer[:HEADER_BYTES])
            length = payload_length(header)
            if length.is_err():
                return length
            end = HEADER_BYTES + length.unwrap()
            if len(self._buffer) < end:
                break
            payload = bytes(self._buffer[HEADER_BYTES:end])
            del self._buffer[:end]
            opened = verify_payload(self._secret, header, payload)
            if opened.is_err():
                return Err(opened.unwrap_err())
            payloads.append(payload)
        return Ok(tuple(payloads))


class PeersChannel:
    """Server and outgoing connections of one instance.

    Delivery is best effort.

    Parameters
    ----------
    secret : bytes
        Secret shared by all instances.
    own_name : str
        Name of this instance; envelopes to other receivers are dropped.
    deliver : callable
        Called with each authentic envelope for this instance.

    Notes
    -----
    Messages may be lost: messages to a peer that does not read are dropped once
    its buffer is full, and a broken connection loses its unsent data. A connection
    whose data stays unacknowledged is closed (``TCP_USER_TIMEOUT``), so that one that
    has gone silent is replaced.
    """

    def __init__(
        self, secret: bytes, own_name: str, deliver: Callable[[Envelope], None]
    ):
        self._secret = secret
        self._own_name = own_name
        self._deliver = deliver
        self._connections: dict[str, _OutgoingConnection] = {}
        self._server = None
        self._counts = collections.Counter()

    @property
    def counts(self) -> collections.Counter:
        """Numbers of frames, bytes and connections by result."""
        return self._counts

    async def listen(self, address: str) -> None:
        """Listen for connections of peers.

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
        """Return the protocol of a connection that a peer opened."""
        return _IncomingConnection(FrameReader(self._secret), self._handle_payloads)

    def send(self, address: str, envelope: Envelope) -> None:
        """Send an envelope to a peer; drop messages if its buffer is full.

        Parameters
        ----------
        address : str
            Host and port of the peer.
        envelope : Envelope
            The envelope to send.
        """
        frame = encode_frame(self._secret, encode(envelope))
        if address not in self._connections:
            self._connections[address] = _OutgoingConnection(address, self._counts)
        self._connections[address].send(frame)

    def close_unused(self, addresses_in_use: frozenset[str]) -> None:
        """Close the connections to all other addresses.

        Parameters
        ----------
        addresses_in_use : frozenset of str
            Addresses to keep.
        """
        for address in self._connections.keys() - addresses_in_use:
            self._connections.pop(address).close()

    async def close(self) -> None:
        """Stop listening and close the outgoing connections."""
        self.close_unused(frozenset())
        if self._server is not None:
            self._server.close()

    def _handle_payloads(self, received: Result[tuple[bytes, ...], FrameError]) -> bool:
        """Handle payloads and return whether the connection may stay open."""
        if received.is_err():
            self._refuse(received.unwrap_err())
            return False
        for payload in received.unwrap():
            self._counts["bytes_received"] += HEADER_BYTES + len(payload)
            self._handle_payload(payload)
        return True

    def _handle_payload(self, payload):
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
        log.warning("A frame from a peer was refused.", failure=str(error))


class _IncomingConnection(asyncio.Protocol):
    """Connection that a peer opened."""

    def __init__(self, reader, handle_payloads):
        self._reader = reader
        self._handle_payloads = handle_payloads
        self._transport = None

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        if not self._handle_payloads(self._reader.feed(data)):
            self._transport.close()


class _OutgoingConnection(asyncio.Protocol):
    """Connection to one peer, opened again whenever it breaks."""

    def __init__(self, address, counts):
        host, _, port = address.rpartition(":")
        self._host = host.strip("[]")
        self._port = int(port)
        self._counts = counts
        self._transport = None
        self._unsent = collections.deque(maxlen=MAX_UNSENT_MESSAGES)
        self._is_closed = False
        self._connect_task = asyncio.ensure_future(self._connect())

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
        self._connect_task.cancel()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport):
        self._transport = transport
        _set_options(transport.get_extra_info("socket"))
        while self._unsent:
            self._write(self._unsent.popleft())

    def connection_lost(self, failure):
        self._transport = None
        self._counts["connections_ended"] += 1
        if not self._is_closed:
            self._connect_task = asyncio.ensure_future(self._reconnect())

    async def _reconnect(self):
        await asyncio.sleep(RECONNECT_DELAY_S)
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
                await asyncio.sleep(RECONNECT_DELAY_S)

    def _write(self, frame):
        self._transport.write(frame)
        self._counts["frames_sent"] += 1
        self._counts["bytes_sent"] += len(frame)


def _set_options(connection):
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
