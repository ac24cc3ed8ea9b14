"""Reading from a caller, paused while what is read can't be parsed."""

from .buffers import BufferLimit

__all__ = ["ReadGate"]

MAX_PIPELINED_BYTES = 65_536
"""Bytes received behind a request in progress, above which reading is paused."""


class ReadGate:
    """Whether a connection is read, and how much of what was read is not parsed yet.

    Parameters
    ----------
    transport : asyncio.Transport
        Transport of the connection.
    unparsed : BufferLimit
        Unparsed bytes of all connections. While it is exceeded, nothing is read behind
        a request in progress.
    """

    def __init__(self, transport, unparsed: BufferLimit):
        self._transport = transport
        self._unparsed = unparsed
        self._unparsed_bytes = 0

    @property
    def unparsed_bytes(self) -> int:
        """Bytes of this connection that are not parsed yet."""
        return self._unparsed_bytes

    def add(self, size_bytes: int) -> None:
        """Count bytes that were read."""
        self.set_unparsed(self._unparsed_bytes + size_bytes)

    def set_unparsed(self, size_bytes: int) -> None:
        """Count the bytes that are left after parsing."""
        self._unparsed.release(self._unparsed_bytes)
        self._unparsed.add(size_bytes)
        self._unparsed_bytes = size_bytes

    def update(self, is_open: bool, is_serving: bool) -> None:
        """Read on or pause.

        Parameters
        ----------
        is_open : bool
            Whether the connection's own state allows reading.
        is_serving : bool
            Whether a request is in progress, so that nothing is parsed.
        """
        max_bytes = 0 if self._unparsed.is_exceeded else MAX_PIPELINED_BYTES
        if is_open and not (is_serving and self._unparsed_bytes > max_bytes):
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()
