"""Clocks of the machine."""

import time

__all__ = ["monotonic_s", "wall_ns"]


def monotonic_s() -> float:
    """Return seconds on a clock that never steps and counts time suspended.

    Returns
    -------
    float
        Seconds since an arbitrary origin that differs between machines.

    References
    ----------
    clock_gettime(2), ``CLOCK_BOOTTIME``.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ns() -> int:
    """Return the wall clock.

    Returns
    -------
    int
        Nanoseconds since 1970-01-01 UTC; may step in either direction.
    """
    return time.time_ns()
