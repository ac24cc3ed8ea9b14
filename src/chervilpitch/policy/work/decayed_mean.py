"""Moving average whose weight decays over time, and a bounded table of them."""

import math
from collections.abc import Hashable

__all__ = ["DecayedMean", "DecayedMeans"]

MAX_WEIGHT_SAMPLES = 200
PRIOR_WEIGHT_SAMPLES = 8
"""If the standard deviation of costs equals their mean, the mean of 8 samples has a
standard error of about a third."""
FORGET_S = 300.0
"""Time constant of the decay. The estimate of a route that is used every few minutes
is kept between two bursts."""


class DecayedMean:
    """Mean of recent observations, whose weight decays over time.

    Examples
    --------
    >>> mean = DecayedMean()
    >>> mean.shrunk(1.0, now_s=0.0)
    1.0
    >>> for _ in range(8):
    ...     mean.observe(2.0, now_s=0.0)
    >>> mean.shrunk(1.0, now_s=0.0)
    1.5
    >>> round(mean.shrunk(1.0, now_s=3600.0), 3)
    1.0
    """

    __slots__ = ("_mean", "_weight", "_updated_at_s")

    def __init__(self) -> None:
        self._mean = 0.0
        self._weight = 0.0
        self._updated_at_s = 0.0

    def observe(self, value: float, now_s: float) -> None:
        """Add an observation."""
        self._weight = min(MAX_WEIGHT_SAMPLES, self._decayed_weight(now_s) + 1)
        self._mean += (value - self._mean) / self._weight
        self._updated_at_s = now_s

    def shrunk(self, prior: float, now_s: float) -> float:
        """Return the mean, shrunk towards a prior that has a fixed weight."""
        weight = self._decayed_weight(now_s)
        return (PRIOR_WEIGHT_SAMPLES * prior + weight * self._mean) / (
            PRIOR_WEIGHT_SAMPLES + weight
        )

    def _decayed_weight(self, now_s):
        age_s = max(0.0, now_s - self._updated_at_s)
        return self._weight * math.exp(-age_s / FORGET_S)


class DecayedMeans:
    """Means by key; the one used least recently is evicted.

    Parameters
    ----------
    max_entries : int
        Maximum number of keys.
    """

    def __init__(self, max_entries: int):
        self._max_entries = max_entries
        self._means: dict[Hashable, DecayedMean] = {}

    def __len__(self) -> int:
        return len(self._means)

    def shrunk(self, key: Hashable, prior: float, now_s: float) -> float:
        """Return the mean of a key shrunk towards a prior, or else the prior."""
        mean = self._means.get(key)
        return prior if mean is None else mean.shrunk(prior, now_s)

    def observe(self, key: Hashable, value: float, now_s: float) -> None:
        """Add an observation to the mean of a key."""
        mean = self._means.pop(key, None) or DecayedMean()
        mean.observe(value, now_s)
        self._means[key] = mean
        if len(self._means) > self._max_entries:
            del self._means[next(iter(self._means))]
