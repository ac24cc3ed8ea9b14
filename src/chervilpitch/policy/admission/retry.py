"""Time until a refused request may find capacity, which callers get as Retry-After.

A delay that is too short adds load while there is no capacity; one that is too long
leaves capacity unused and uses up the caller's time.
"""

from ..upstream_state import CONNECT_BACKOFFS_S

__all__ = [
    "MAX_RETRY_AFTER_S",
    "RECONNECT_S",
    "admission_wait_s",
    "drain_s",
    "free_slot_s",
    "with_jitter",
]

MIN_RETRY_AFTER_S = 0.05
"""A few times the round trip between callers and instances."""
MAX_RETRY_AFTER_S = 3.0
"""A shortage can end at any time, so that a longer estimate says nothing."""
RECONNECT_S = CONNECT_BACKOFFS_S[0]
"""Delay after which an upstream that could not be reached is tried again."""


def drain_s(expected_s: float, limit_s: float, share: float) -> float:
    """Return the time in which the queues at upstreams drain to a limit.

    While nothing is admitted, the expected time falls by one second per second. This
    time is divided by the share, so that priorities with a smaller share retry later.

    Parameters
    ----------
    expected_s : float
        Expected response time of the best upstream in seconds.
    limit_s : float
        Expected time in seconds up to which such a request is admitted.
    share : float
        Share of the requests of its priority that are admitted; above 0.

    Examples
    --------
    >>> drain_s(1.0, 0.8, 0.5)
    0.4
    """
    return round(max(0.0, expected_s - limit_s) / share, 6)


def admission_wait_s(share: float, review_interval_s: float) -> float:
    """Return the expected time until a request is admitted, at a given share.

    Parameters
    ----------
    share : float
        Share of such requests that are admitted; above 0.
    review_interval_s : float
        Time in seconds between two reviews of the level.

    Examples
    --------
    >>> admission_wait_s(0.5, 0.25)
    0.5
    """
    return review_interval_s / share


def free_slot_s(expected_s: float, slots: int, share: float) -> float:
    """Return the time until a slot of a full upstream is free for a priority.

    Parameters
    ----------
    expected_s : float
        Expected response time in seconds at the upstream.
    slots : int
        Slots of the upstream, each of which is free once within the expected time.
    share : float
        Share of the requests of the priority that are admitted; above 0.

    Examples
    --------
    >>> free_slot_s(0.4, 4, 1.0)
    0.1
    """
    return expected_s / max(1, slots) / share


def with_jitter(delay_s: float, draw: float) -> float:
    """Return a delay, spread so that retries of many callers don't collide.

    Parameters
    ----------
    delay_s : float
        Expected time in seconds.
    draw : float
        Random number from 0 to 1; the mean of the results is the expected time.

    Examples
    --------
    >>> with_jitter(0.4, 0.0), with_jitter(0.4, 0.5)
    (0.2, 0.4)
    """
    bounded_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, delay_s))
    return bounded_s * (0.5 + draw)
