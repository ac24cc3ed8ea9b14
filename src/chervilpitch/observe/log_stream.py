"""A bounded stream for log lines that never blocks its writer."""

import os

__all__ = ["BoundedLogStream"]

MOST_BUFFERED_BYTES = 262_144
MOST_LINES_PER_FLUSH = 200


class BoundedLogStream:
    """Buffers lines and writes them when it is flushed.

    Lines that come while the buffer is full, or beyond the number allowed between
    two flushes, are dropped and counted; the count is written with the next lines.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is switched to non-blocking.

    Examples
    --------
    >>> reader, writer = os.pipe()
    >>> stream = BoundedLogStream(writer)
    >>> _ = stream.write("one line")
    >>> stream.drain()
    >>> os.read(reader, 100)
    b'one line'
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._lines = 0
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines dropped so far."""
        return self._dropped

    def write(self, text: str) -> int:
        """Buffer a line and return its length."""
        is_full = len(self._buffer) + len(text) > MOST_BUFFERED_BYTES
        if is_full or self._lines >= MOST_LINES_PER_FLUSH:
            self._dropped += 1
        else:
            self._lines += 1
            self._buffer += text.encode(errors="replace")
        return len(text)

    def flush(self) -> None:
        """Do nothing: lines are written by :meth:`drain`."""

    def drain(self) -> None:
        """Write what the descriptor takes now."""
        self._lines = 0
        if not self._buffer:
            return
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        del self._buffer[:written]
