"""Limit of the bytes that an instance buffers at once."""

__all__ = ["BufferLimit"]


class BufferLimit:
    """Bytes of bodies that may be buffered at once, over all connections.

    Parameters
    ----------
    max_bytes : int
        The limit in bytes.

    Examples
    --------
    >>> limit = BufferLimit(100)
    >>> limit.reserve(80), limit.reserve(40)
    (True, False)
    >>> limit.release(80)
    >>> limit.reserve(40)
    True
    """

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Bytes reserved now."""
        return self._used_bytes

    def reserve(self, size_bytes: int) -> bool:
        """Reserve bytes, and return whether the limit allowed it."""
        if self._used_bytes + size_bytes > self._max_bytes:
            return False
        self._used_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Release bytes that were reserved."""
        self._used_bytes -= size_bytes
