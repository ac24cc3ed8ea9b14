"""Slots and connections of an upstream, shared without coordination."""

from typing import NamedTuple

from chervilpitch.model import Upstream

__all__ = [
    "CONNECTION_HEADROOM",
    "OPEN",
    "Window",
    "after_answer",
    "after_shed",
    "connection_limit",
    "room",
]

CONNECTION_HEADROOM = 0.9
MIN_CONNECTIONS = 1
FIRST_BACKOFF_S = 0.02
LONGEST_BACKOFF_S = 1.0
SHED_SHRINK = 0.5
MIN_WINDOW = 1.0


class Window(NamedTuple):
    """How many requests one instance may have in flight at one upstream.

    Parameters
    ----------
    limit : float
        Requests in flight; the upstream's slots bound it from above.
    sheds : int
        Shed answers in a row.
    closed_until_at_s : float
        Before this monotonic time in seconds no request is sent.
    """

    limit: float = float("inf")
    sheds: int = 0
    closed_until_at_s: float = float("-inf")


OPEN = Window()


def connection_limit(upstream: Upstream, users: int) -> int:
    """Return how many connections one instance may hold to an upstream.

    Parameters
    ----------
    upstream : Upstream
        Its ``connections`` are for all instances together.
    users : int
        Number of seats of the fleet that may use it.

    Returns
    -------
    int
        At least 1. A part is held back for instances that replace others whose
        connections are not closed yet.

    Examples
    --------
    >>> desk = Upstream("d1", "desk", "127.0.0.1:9001", "punjab/a", 4, 330)
    >>> connection_limit(desk, 36)
    8
    """
    share = int(CONNECTION_HEADROOM * upstream.connections / max(1, users))
    return max(MIN_CONNECTIONS, share)


def room(window: Window, slots: int, in_flight: int, now_s: float) -> bool:
    """Return whether one more request may be sent.

    Parameters
    ----------
    window : Window
        The window of the upstream.
    slots : int
        Slots of the upstream.
    in_flight : int
        Requests that this instance has in flight there.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        False while the window is closed or full.
    """
    if now_s < window.closed_until_at_s:
        return False
    return in_flight < int(min(slots, window.limit))


def after_shed(window: Window, slots: int, jitter: float, now_s: float) -> Window:
    """Return the window after the upstream shed a request.

    Parameters
    ----------
    window : Window
        The window so far.
    slots : int
        Slots of the upstream.
    jitter : float
        A random number from 0 to 1, so that instances come back apart.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    Window
        Half as wide, and closed for a time that doubles with every shed in a row.

    References
    ----------
    D.-M. Chiu and R. Jain, "Analysis of the increase and decrease algorithms for
    congestion avoidance in computer networks", Computer Networks 17, 1989.
    """
    limit = max(MIN_WINDOW, SHED_SHRINK * min(slots, window.limit))
    backoff_s = min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(window.sheds, 16))
    closed_until_at_s = now_s + backoff_s * (0.5 + 0.5 * jitter)
    return Window(limit, window.sheds + 1, closed_until_at_s)


def after_answer(window: Window, slots: int) -> Window:
    """Return the window after the upstream ran a request.

    Parameters
    ----------
    window : Window
        The window so far.
    slots : int
        Slots of the upstream.

    Returns
    -------
    Window
        Wider by about one request for each window of answers.
    """
    limit = min(slots, window.limit)
    return window._replace(limit=min(slots, limit + 1 / limit), sheds=0)
