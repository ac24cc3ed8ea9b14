"""Body of a request while it is received."""

from chervilpitch.model import CallerLimits
from chervilpitch.policy import FramingAllowance

from .buffers import BufferLimit

__all__ = ["RequestBody"]

MIN_BODY_BYTES_PER_S = 4_096
"""Rate of a body; a slower one may be refused when the buffer for bodies or the number
of connections is used up. A caller on a slow mobile link still sends faster."""


class RequestBody:
    """Body of the request in progress on one connection.

    Parameters
    ----------
    buffers : BufferLimit
        Limit of the request bodies that may be buffered at once.

    Notes
    -----
    Its bytes stay reserved until :meth:`release`, also after :meth:`take`, since the
    request in progress holds them.
    """

    def __init__(self, buffers: BufferLimit):
        self._buffers = buffers
        self._content = bytearray()
        self._size_bytes = 0
        self._allowance = FramingAllowance()
        self._accepted_bytes = 0
        self._grace_s = 0.0
        self._due_at_s = float("inf")

    @property
    def size_bytes(self) -> int:
        """Bytes received so far."""
        return self._size_bytes

    @property
    def has_too_many_pieces(self) -> bool:
        """Whether it came in more pieces than a sound one has."""
        return self._allowance.is_exceeded

    def begin(self, limits: CallerLimits, now_s: float) -> None:
        """Begin the body of a new request.

        Parameters
        ----------
        limits : CallerLimits
            Limits that are in force at its header.
        now_s : float
            Monotonic time in seconds.
        """
        self._allowance = FramingAllowance()
        self._accepted_bytes = limits.max_body_bytes
        self._grace_s = limits.header_timeout_s
        self._due_at_s = now_s + self._grace_s

    def is_slow(self, now_s: float) -> bool:
        """Return whether it comes in more slowly than a sound caller sends it.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        """
        return now_s > self._due_at_s

    def is_too_large_with(self, data: bytes, max_bytes: int) -> bool:
        """Return whether it is above the limits at its header and of now with a piece.

        Parameters
        ----------
        data : bytes
            The next piece.
        max_bytes : int
            Limit that is in force now.
        """
        return self._size_bytes + len(data) > max(self._accepted_bytes, max_bytes)

    def append(self, data: bytes, now_s: float) -> bool:
        """Append a piece, and return whether there was memory for it.

        What was sent at first excuses a pause of at most ``header_timeout``.

        Parameters
        ----------
        data : bytes
            The piece.
        now_s : float
            Monotonic time in seconds.
        """
        if not self._buffers.reserve(len(data)):
            return False
        self._content += data
        self._size_bytes += len(data)
        self._allowance.add_piece(len(data))
        earned_s = len(data) / MIN_BODY_BYTES_PER_S
        self._due_at_s = min(self._due_at_s + earned_s, now_s + self._grace_s)
        return True

    def take(self) -> bytes:
        """Return the whole body."""
        content = bytes(self._content)
        self._content = bytearray()
        self._due_at_s = float("inf")
        return content

    def release(self) -> None:
        """Release its memory."""
        self._buffers.release(self._size_bytes)
        self._size_bytes = 0
        self._content = bytearray()
        self._due_at_s = float("inf")
