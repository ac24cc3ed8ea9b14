"""Speed of one upstream relative to the others of its service."""

import math

__all__ = ["SpeedEstimate"]

DECAY_S = 5.0
"""An upstream that was slow is tried again within seconds, as it may have recovered."""
PRIOR_WEIGHT_SAMPLES = 4.0
MAX_RATIO = 4.0
"""Limits the effect of one request from the heavy tail."""


class SpeedEstimate:
    """Mean ratio of response times to expected ones, shrunk towards 1 over time.

    Examples
    --------
    >>> speed = SpeedEstimate()
    >>> speed.slowness(now_s=0.0)
    1.0
    >>> for _ in range(4):
    ...     speed.observe(3.0, now_s=1.0)
    >>> speed.slowness(now_s=1.0)
    2.0
    >>> speed.slowness(now_s=60.0) < 1.05
    True
    """

    __slots__ = ("_excess", "_weight", "_updated_at_s")

    def __init__(self) -> None:
        self._excess = 0.0
        self._weight = 0.0
        self._updated_at_s = 0.0

    def observe(self, ratio: float, now_s: float) -> None:
        """Add the ratio of a response time to the expected one."""
        decay = self._decay(now_s)
        self._excess = self._excess * decay + min(ratio, MAX_RATIO) - 1
        self._weight = self._weight * decay + 1
        self._updated_at_s = now_s

    def slowness(self, now_s: float) -> float:
        """Return the factor by which responses are slower than expected."""
        if not self._weight:
            return 1.0
        mean_excess = self._excess / (PRIOR_WEIGHT_SAMPLES + self._weight)
        return 1 + mean_excess * self._decay(now_s)

    def _decay(self, now_s):
        return math.exp(-max(0.0, now_s - self._updated_at_s) / DECAY_S)
