"""Counts by key over a sliding window, in bounded memory.

The window is estimated from two fixed windows: the current one, and the share of the
previous one that the sliding window still covers. Counting takes the same time at any
number of keys.
"""

from collections.abc import Hashable

__all__ = ["SlidingCounts"]

SHARED_KEYS = 1_024
"""Counters that further keys share once the limit on keys is reached."""


class SlidingCounts:
    """Counts by key over a sliding window.

    Keys beyond the limit share counters, so their counts are too high. Keys are
    forgotten after at most two windows without a count.

    Parameters
    ----------
    window_s : float
        Length of the window in seconds.
    max_keys : int
        Maximum number of keys with a counter of their own in each fixed window.

    Examples
    --------
    >>> counts = SlidingCounts(2.0, 10)
    >>> counts.add("a", 0.0), counts.add("a", 1.0), counts.add("a", 3.0)
    (1.0, 2.0, 2.0)
    """

    def __init__(self, window_s: float, max_keys: int):
        self._window_s = window_s
        self._max_keys = max_keys
        self._current: dict[Hashable, float] = {}
        self._previous: dict[Hashable, float] = {}
        self._started_at_s = float("-inf")

    def add(self, key: Hashable, now_s: float, amount: float = 1.0) -> float:
        """Add an amount to the count of a key; return its count in the window."""
        self._advance(now_s)
        current = self._current
        if key not in current and len(current) >= self._max_keys:
            key = hash(key) % SHARED_KEYS
        current[key] = count = current.get(key, 0.0) + amount
        return count + self._previous.get(key, 0.0) * self._previous_share(now_s)

    def count(self, key: Hashable, now_s: float) -> float:
        """Return the count of a key in the window."""
        self._advance(now_s)
        previous = self._previous.get(key, 0.0) * self._previous_share(now_s)
        return self._current.get(key, 0.0) + previous

    def _previous_share(self, now_s):
        elapsed_s = now_s - self._started_at_s
        return max(0.0, 1 - elapsed_s / self._window_s)

    def _advance(self, now_s):
        elapsed_s = now_s - self._started_at_s
        if elapsed_s < self._window_s:
            return
        if elapsed_s < 2 * self._window_s:
            self._previous = self._current
            self._started_at_s += self._window_s
        else:
            self._previous = {}
            self._started_at_s = now_s
        self._current = {}
