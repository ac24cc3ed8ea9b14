"""How long answers of a route usually take."""

import math

__all__ = ["LatencyBaseline"]

USUAL_SHARE_OF_AIM = 0.3
FIRST_SIGMA = 0.55
LEAST_SIGMA = 0.35
FIRST_WEIGHT = 8
MOST_WEIGHT = 200
TAIL_SHARE = 0.012
TAIL_FACTOR = 3.0
LEAST_S = 0.001


class LatencyBaseline:
    """Log-normal estimate of a route's answer times with a heavy tail.

    Parameters
    ----------
    aim_s : float
        Time within which answers have their full value, in seconds; the first
        guess follows it.

    Examples
    --------
    >>> baseline = LatencyBaseline(aim_s=1.0)
    >>> baseline.survival(0.05) > 0.9 > 0.1 > baseline.survival(1.5)
    True
    """

    def __init__(self, aim_s: float):
        self._aim_s = aim_s
        self._mu = math.log(max(LEAST_S, aim_s * USUAL_SHARE_OF_AIM))
        self._variance = FIRST_SIGMA**2
        self._weight = FIRST_WEIGHT

    @property
    def aim_s(self) -> float:
        """Time in seconds within which answers have their full value."""
        return self._aim_s

    @property
    def median_s(self) -> float:
        """Median answer time in seconds."""
        return math.exp(self._mu)

    def observe(self, latency_s: float) -> None:
        """Take in the time of a successful answer, in seconds."""
        value = math.log(max(LEAST_S, latency_s))
        self._weight = min(MOST_WEIGHT, self._weight + 1)
        gain = 1 / self._weight
        difference = value - self._mu
        self._mu += gain * difference
        self._variance += gain * (difference * difference - self._variance)

    def survival(self, age_s: float) -> float:
        """Return the share of good answers that take longer than an age.

        Parameters
        ----------
        age_s : float
            Seconds since the request was sent.
        """
        if age_s <= LEAST_S:
            return 1.0
        body = self._tail(age_s)
        heavy = self._tail(age_s / TAIL_FACTOR)
        return (1 - TAIL_SHARE) * body + TAIL_SHARE * heavy

    def _tail(self, age_s):
        sigma = max(LEAST_SIGMA, math.sqrt(self._variance))
        score = (math.log(age_s) - self._mu) / (sigma * math.sqrt(2))
        return 0.5 * math.erfc(score)
