"""Limit of the bytes that an instance buffers at once."""

__all__ = ["BufferLimit"]


class BufferLimit:
    """Bytes of bodies that may be buffered at once, over all connections.

    Parameters
    ----------
    max_bytes : int
        The limit in bytes.
    within : BufferLimit, optional
        Limit of a sum that these bytes are a part of.

    Examples
    --------
    >>> limit = BufferLimit(100)
    >>> limit.reserve(80), limit.reserve(40)
    (True, False)
    >>> limit.release(80)
    >>> limit.reserve(40)
    True
    >>> limit.add(80)
    >>> limit.is_exceeded
    True
    """

    def __init__(self, max_bytes: int, within: "BufferLimit | None" = None):
        self._max_bytes = max_bytes
        self._within = within
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Bytes reserved now."""
        return self._used_bytes

    @property
    def is_exceeded(self) -> bool:
        """Whether more bytes are buffered than the limit allows."""
        return self._used_bytes > self._max_bytes

    def has_room(self, size_bytes: int) -> bool:
        """Return whether bytes could be reserved now."""
        if self._within is not None and not self._within.has_room(size_bytes):
            return False
        return self._used_bytes + size_bytes <= self._max_bytes

    def reserve(self, size_bytes: int) -> bool:
        """Reserve bytes, and return whether the limit allowed it."""
        if not self.has_room(size_bytes):
            return False
        self.add(size_bytes)
        return True

    def add(self, size_bytes: int) -> None:
        """Count bytes that are buffered already, even beyond the limit."""
        self._used_bytes += size_bytes
        if self._within is not None:
            self._within.add(size_bytes)

    def release(self, size_bytes: int) -> None:
        """Release bytes that were reserved or added."""
        self._used_bytes -= size_bytes
        if self._within is not None:
            self._within.release(size_bytes)
