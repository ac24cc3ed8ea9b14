"""Estimate of the usual response times of a route."""

import math
import statistics

__all__ = ["LatencyBaseline"]

INITIAL_MEDIAN_SHARE_OF_AIM = 0.3
MAX_TYPICAL_SHARE_OF_AIM = 0.5
INITIAL_SIGMA = 0.55
MIN_SIGMA = 0.35
INITIAL_WEIGHT_SAMPLES = 8
MAX_WEIGHT_SAMPLES = 200
TAIL_SHARE = 0.012
TAIL_FACTOR = 3.0
MIN_LATENCY_S = 0.001
MAX_SURVIVAL = 0.999
_STANDARD_NORMAL = statistics.NormalDist()


class LatencyBaseline:
    """Log-normal model of a route's response times with a heavy tail.

    The mean and variance of the logarithm are moving averages. The heavy tail is a
    second log-normal component, with weight ``TAIL_SHARE`` and a median larger by
    ``TAIL_FACTOR``.

    Parameters
    ----------
    aim_s : float
        Latency target in seconds: a response within it has its full value. The
        initial median is a share of it.

    Examples
    --------
    >>> baseline = LatencyBaseline(aim_s=1.0)
    >>> baseline.survival(0.05) > 0.9 > 0.1 > baseline.survival(1.5)
    True
    """

    def __init__(self, aim_s: float):
        self._aim_s = aim_s
        self._mu = math.log(max(MIN_LATENCY_S, aim_s * INITIAL_MEDIAN_SHARE_OF_AIM))
        self._variance = INITIAL_SIGMA**2
        self._weight = INITIAL_WEIGHT_SAMPLES

    @property
    def aim_s(self) -> float:
        """Latency target in seconds."""
        return self._aim_s

    @property
    def median_s(self) -> float:
        """Median response time in seconds."""
        return math.exp(self._mu)

    @property
    def max_typical_s(self) -> float:
        """Upper limit of :attr:`typical_s`, a share of the latency target."""
        return self._aim_s * MAX_TYPICAL_SHARE_OF_AIM

    @property
    def typical_s(self) -> float:
        """Median response time in seconds, limited by the latency target.

        The median also counts waits; without a limit an overload would last, since
        the requests that end it would be refused.
        """
        return min(self.median_s, self.max_typical_s)

    @property
    def _sigma(self):
        return max(MIN_SIGMA, math.sqrt(self._variance))

    def set_aim(self, aim_s: float) -> None:
        """Replace the latency target; what was observed is kept.

        Parameters
        ----------
        aim_s : float
            Latency target in seconds.
        """
        self._aim_s = aim_s

    def observe(self, latency_s: float) -> None:
        """Add the response time of a successful request, in seconds."""
        value = math.log(max(MIN_LATENCY_S, latency_s))
        self._weight = min(MAX_WEIGHT_SAMPLES, self._weight + 1)
        gain = 1 / self._weight
        difference = value - self._mu
        self._mu += gain * difference
        self._variance += gain * (difference * difference - self._variance)

    def survival(self, age_s: float) -> float:
        """Return the share of good responses that take longer than an age.

        Parameters
        ----------
        age_s : float
            Seconds since the request was sent.
        """
        if age_s <= MIN_LATENCY_S:
            return 1.0
        body = self._lognormal_survival(age_s)
        tail = self._lognormal_survival(age_s / TAIL_FACTOR)
        return (1 - TAIL_SHARE) * body + TAIL_SHARE * tail

    def min_age_s(self, survival: float) -> float:
        """Return an age in seconds before which :meth:`survival` is larger.

        Parameters
        ----------
        survival : float
            Share of good responses, above 0 and below 1.

        Examples
        --------
        >>> baseline = LatencyBaseline(aim_s=1.0)
        >>> baseline.survival(baseline.min_age_s(0.35)) > 0.34
        True
        """
        body_survival = min(MAX_SURVIVAL, survival / (1 - TAIL_SHARE))
        score = _STANDARD_NORMAL.inv_cdf(1 - body_survival)
        return math.exp(self._mu + score * self._sigma)

    def _lognormal_survival(self, age_s):
        score = (math.log(age_s) - self._mu) / (self._sigma * math.sqrt(2))
        return 0.5 * math.erfc(score)
