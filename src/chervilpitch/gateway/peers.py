"""UDP socket between gateway instances."""

import asyncio
from collections.abc import Callable

from chervilpitch.observe import part_logger
from chervilpitch.policy import Member

from .codec import Datagram, decode, encode

__all__ = ["MAX_DATAGRAM_BYTES", "PeerSocket"]

log = part_logger("peers")

MAX_DATAGRAM_BYTES = 60_000


class PeerSocket(asyncio.DatagramProtocol):
    """Send messages to other instances and receive theirs.

    Parameters
    ----------
    own : Member
        This instance.
    receive : callable
        Called with each datagram and the address that it came from.
    """

    def __init__(self, own: Member, receive: Callable[[Datagram, str], None]):
        self._own = own
        self._receive = receive
        self._transport = None
        self._sent_bytes = 0
        self._sent = 0
        self._received = 0
        self._malformed = 0

    @property
    def sent_bytes(self) -> int:
        """Bytes sent in datagrams so far."""
        return self._sent_bytes

    @property
    def sent_count(self) -> int:
        """Number of datagrams sent so far."""
        return self._sent

    @property
    def received_count(self) -> int:
        """Number of datagrams received so far."""
        return self._received

    @property
    def malformed_count(self) -> int:
        """Number of datagrams that could not be decoded so far."""
        return self._malformed

    def connection_made(self, transport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, address) -> None:
        """Pass a message on; count and log a datagram that can't be handled."""
        self._received += 1
        decoded = decode(data)
        if decoded.is_err():
            self._malformed += 1
            log.warning(
                "Datagram from an instance could not be decoded; dropped it.",
                cause=str(decoded.unwrap_err()),
            )
            return
        try:
            self._receive(decoded.unwrap(), f"{address[0]}:{address[1]}")
        except Exception:
            self._malformed += 1
            log.exception("Message of an instance could not be handled; dropped it.")

    def error_received(self, error: OSError) -> None:
        """Log an error that the network reports for an earlier datagram."""
        log.debug("Datagram to another instance was not delivered.", cause=str(error))

    def send(self, addresses, message) -> bool:
        """Send a message to instances; return False if it exceeds a datagram.

        Parameters
        ----------
        addresses : iterable of str
            Hosts and ports.
        message : NamedTuple
            One of the messages of :mod:`chervilpitch.gateway.messages`.
        """
        own = self._own
        content = encode(Datagram(own.name, own.incarnation, message))
        if len(content) > MAX_DATAGRAM_BYTES:
            return False
        for address in addresses:
            host, _, port = address.rpartition(":")
            self._transport.sendto(content, (host, int(port)))
            self._sent_bytes += len(content)
            self._sent += 1
        return True

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
