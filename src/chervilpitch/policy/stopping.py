"""Phases of a planned stop, and which requests an instance still accepts in them.

Callers learn of a stop within a few seconds and go elsewhere. A request that arrives
later and may last beyond the end of the stop, because its upstream hangs, would be cut.
It is refused at once instead: it has not run, and another instance can serve it.
"""

__all__ = ["PlannedStop"]

ACCEPT_ALL_S = 2.5
DRAIN_S = 2.6
"""Time for requests in progress to end once no more connections are accepted."""
END_MARGIN_S = 0.25


class PlannedStop:
    """A planned stop of this instance.

    Parameters
    ----------
    begun_at_s : float
        Monotonic time in seconds at which it began.
    duration_s : float
        Time in seconds after which the process is killed.

    Examples
    --------
    >>> stop = PlannedStop(begun_at_s=100.0, duration_s=10.0)
    >>> stop.may_accept(deadline_at_s=120.0, now_s=101.0)
    True
    >>> stop.may_accept(deadline_at_s=112.0, now_s=104.0)
    False
    >>> stop.may_accept(deadline_at_s=107.0, now_s=104.0)
    True

    A short stop accepts nothing either once it has ended.

    >>> short_stop = PlannedStop(begun_at_s=100.0, duration_s=1.0)
    >>> short_stop.may_accept(deadline_at_s=120.0, now_s=100.7)
    True
    >>> short_stop.may_accept(deadline_at_s=120.0, now_s=100.8)
    False
    """

    def __init__(self, begun_at_s: float, duration_s: float):
        self._drains_at_s = begun_at_s + max(0.0, duration_s - DRAIN_S)
        self._ends_at_s = begun_at_s + duration_s - END_MARGIN_S
        self._accepts_all_until_s = min(begun_at_s + ACCEPT_ALL_S, self._ends_at_s)

    @property
    def drains_at_s(self) -> float:
        """Monotonic time in seconds from which no connection is accepted."""
        return self._drains_at_s

    @property
    def ends_at_s(self) -> float:
        """Monotonic time in seconds at which requests in progress are answered."""
        return self._ends_at_s

    def may_accept(self, deadline_at_s: float, now_s: float) -> bool:
        """Return whether to accept a request that ends by its deadline.

        Parameters
        ----------
        deadline_at_s : float
            Deadline of the request in monotonic seconds.
        now_s : float
            Monotonic time in seconds.
        """
        return now_s < self._accepts_all_until_s or deadline_at_s <= self._ends_at_s
