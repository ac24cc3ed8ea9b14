"""Limits on requests in flight and connections of one instance to an upstream.

Instances share the slots of an upstream without coordination, by additive increase
and multiplicative decrease of a window.
"""

from typing import NamedTuple

from chervilpitch.model import Upstream

__all__ = [
    "CONNECTION_HEADROOM",
    "INITIAL_WINDOW",
    "Window",
    "after_response",
    "after_shed",
    "connection_limit",
    "has_room",
]

CONNECTION_HEADROOM = 0.9
MIN_CONNECTIONS = 1
FIRST_BACKOFF_S = 0.02
LONGEST_BACKOFF_S = 1.0
SHED_DECREASE_FACTOR = 0.5
MIN_WINDOW = 1.0


class Window(NamedTuple):
    """Concurrency window of one instance at one upstream.

    Parameters
    ----------
    limit : float
        Maximum number of requests in flight, further limited by the upstream's
        slots.
    sheds : int
        Number of consecutive requests that the upstream shed.
    closed_until_at_s : float
        End of the backoff: monotonic time in seconds before which no request is
        sent.
    """

    limit: float = float("inf")
    sheds: int = 0
    closed_until_at_s: float = float("-inf")


INITIAL_WINDOW = Window()


def connection_limit(upstream: Upstream, users: int) -> int:
    """Return the maximum number of connections of one instance to an upstream.

    Parameters
    ----------
    upstream : Upstream
        Its ``connections`` are the total over all instances.
    users : int
        Number of seats whose instances may use it.

    Returns
    -------
    int
        At least 1. Some connections are reserved for instances that replace others
        whose connections are still open.

    Examples
    --------
    >>> desk = Upstream("d1", "desk", "127.0.0.1:9001", "punjab/a", 4, 330)
    >>> connection_limit(desk, 36)
    8
    """
    share = int(CONNECTION_HEADROOM * upstream.connections / max(1, users))
    return max(MIN_CONNECTIONS, share)


def has_room(window: Window, slots: int, in_flight: int, now_s: float) -> bool:
    """Return whether the window admits one more request.

    Parameters
    ----------
    window : Window
        The window of the upstream.
    slots : int
        Slots of the upstream.
    in_flight : int
        Number of requests of this instance in flight at the upstream.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        False during backoff and while the window is full.
    """
    if now_s < window.closed_until_at_s:
        return False
    return in_flight < int(min(slots, window.limit))


def after_shed(window: Window, slots: int, jitter: float, now_s: float) -> Window:
    """Return the window after the upstream shed a request.

    Parameters
    ----------
    window : Window
        The current window.
    slots : int
        Slots of the upstream.
    jitter : float
        A random number from 0 to 1 that spreads the retries of the instances.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    Window
        Half the limit, with a backoff that doubles with each consecutive shed.

    References
    ----------
    D.-M. Chiu and R. Jain, "Analysis of the increase and decrease algorithms for
    congestion avoidance in computer networks", Computer Networks 17, 1989.
    """
    limit = max(MIN_WINDOW, SHED_DECREASE_FACTOR * min(slots, window.limit))
    backoff_s = min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(window.sheds, 16))
    closed_until_at_s = now_s + backoff_s * (0.5 + 0.5 * jitter)
    return Window(limit, window.sheds + 1, closed_until_at_s)


def after_response(window: Window, slots: int) -> Window:
    """Return the window after the upstream ran a request.

    Parameters
    ----------
    window : Window
        The current window.
    slots : int
        Slots of the upstream.

    Returns
    -------
    Window
        The limit grows by about one request per window of responses.
    """
    limit = min(slots, window.limit)
    return window._replace(limit=min(slots, limit + 1 / limit), sheds=0)
