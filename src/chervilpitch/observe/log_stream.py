"""Bounded, non-blocking stream for log lines."""

import os

__all__ = ["BoundedLogStream"]

MAX_BUFFERED_BYTES = 262_144
MAX_LINES_PER_DRAIN = 200


class BoundedLogStream:
    """Buffer log lines and write them in :meth:`drain`.

    Lines that arrive while the buffer is full, or beyond the number allowed between
    two drains, are dropped and counted, so that logging never blocks its caller.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; set to non-blocking mode.

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
        self._line_count = 0
        self._dropped_count = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Number of lines dropped so far."""
        return self._dropped_count

    def write(self, text: str) -> int:
        """Buffer a line, or drop it, and return its length."""
        is_full = len(self._buffer) + len(text) > MAX_BUFFERED_BYTES
        if is_full or self._line_count >= MAX_LINES_PER_DRAIN:
            self._dropped_count += 1
        else:
            self._line_count += 1
            self._buffer += text.encode(errors="replace")
        return len(text)

    def flush(self) -> None:
        """Do nothing; buffered lines are written by :meth:`drain`."""

    def drain(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        self._line_count = 0
        if not self._buffer:
            return
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        del self._buffer[:written]
