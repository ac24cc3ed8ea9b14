"""Datagrams between the instances of a gateway."""

import asyncio
from collections.abc import Callable

from chervilpitch.observe import part_logger
from chervilpitch.policy import Member

from .codec import Datagram, decode, encode

__all__ = ["LARGEST_DATAGRAM_BYTES", "PeerSocket"]

log = part_logger("peers")

LARGEST_DATAGRAM_BYTES = 60_000


class PeerSocket(asyncio.DatagramProtocol):
    """Sends messages to other instances and receives theirs.

    Parameters
    ----------
    own : Member
        This instance.
    receive : callable
        Takes a datagram and the address that it came from.
    """

    def __init__(self, own: Member, receive: Callable[[Datagram, str], None]):
        self._own = own
        self._receive = receive
        self._transport = None
        self._sent_bytes = 0
        self._malformed = 0

    @property
    def sent_bytes(self) -> int:
        """Bytes of the datagrams sent so far."""
        return self._sent_bytes

    @property
    def malformed(self) -> int:
        """Datagrams that could not be read so far."""
        return self._malformed

    def connection_made(self, transport) -> None:
        """Keep the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, address) -> None:
        """Pass a message on; one that can't be read is counted."""
        decoded = decode(data)
        if decoded.is_err():
            self._malformed += 1
            log.warning("Datagram unreadable.", cause=str(decoded.unwrap_err()))
            return
        self._receive(decoded.unwrap(), f"{address[0]}:{address[1]}")

    def error_received(self, error: OSError) -> None:
        """Log what the network says of an earlier datagram."""
        log.debug("Datagram not delivered.", cause=str(error))

    def send(self, addresses, message) -> bool:
        """Send a message to instances; return whether it fits a datagram.

        Parameters
        ----------
        addresses : iterable of str
            Hosts and ports.
        message : NamedTuple
            One of the messages of :mod:`chervilpitch.gateway.messages`.
        """
        own = self._own
        content = encode(Datagram(own.name, own.incarnation, message))
        if len(content) > LARGEST_DATAGRAM_BYTES:
            return False
        for address in addresses:
            host, _, port = address.rpartition(":")
            self._transport.sendto(content, (host, int(port)))
            self._sent_bytes += len(content)
        return True

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
