"""Monotonic clock and wall clock of the machine."""

import time

__all__ = ["monotonic_s", "wall_ns"]


def monotonic_s() -> float:
    """Return the time of a monotonic clock that includes suspended time.

    Returns
    -------
    float
        Seconds since an arbitrary origin, which differs between machines.

    References
    ----------
    clock_gettime(2), ``CLOCK_BOOTTIME``.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ns() -> int:
    """Return the wall-clock time.

    Returns
    -------
    int
        Nanoseconds since 1970-01-01 UTC; may step in either direction.
    """
    return time.time_ns()
