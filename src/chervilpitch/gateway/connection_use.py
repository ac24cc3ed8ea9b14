"""What a connection is used for, and whether it may be closed in favor of others."""

from typing import NamedTuple

__all__ = ["ConnectionUse"]

MIN_STALLED_S = 1.0
"""Shortest time without progress after which a caller may lose its connection: two
checks of the timeouts, as progress is seen at these."""


class ConnectionUse(NamedTuple):
    """What a connection is used for at a moment.

    Parameters
    ----------
    unsent_bytes : int
        Bytes of responses that the caller has not accepted.
    stalled_s : float
        Time in seconds for which it has accepted none of them.
    is_body_slow : bool
        Whether a body comes in more slowly than a sound caller sends it.
    is_active : bool
        Whether a request is being received or served, or is expected at once.

    Examples
    --------
    >>> ConnectionUse(0, 0.0, True, True).may_be_closed
    True
    >>> ConnectionUse(50, 0.2, False, False).may_be_closed
    False
    """

    unsent_bytes: int
    stalled_s: float
    is_body_slow: bool
    is_active: bool

    @property
    def is_stalled(self) -> bool:
        """Whether the caller accepts no response."""
        return self.unsent_bytes > 0 and self.stalled_s >= MIN_STALLED_S

    @property
    def may_be_closed(self) -> bool:
        """Whether it may be closed so that another one can be opened."""
        if self.unsent_bytes:
            return self.is_stalled
        return self.is_body_slow or not self.is_active
