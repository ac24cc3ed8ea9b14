"""Distribution of costs relative to their estimates, with a heavy tail."""

import math
import statistics
from bisect import bisect_right

__all__ = ["CostShape"]

EDGES = (0.0, 0.25, 0.5, 0.75, 1.0, 1.35, 1.8, 2.4, 3.2, 4.2, 5.6, 7.5, 10.0, 15.0)
"""Lower edges of the buckets, as multiples of the estimate; the last one is open."""
MAX_RATIO = 30.0
"""Larger ratios count as this one."""
MAX_WEIGHT_SAMPLES = 1_000
"""A tail of 1 in 100 requests leaves about 10 samples in the histogram."""
PRIOR_WEIGHT_SAMPLES = 30
PRIOR_SIGMA = 0.55
PRIOR_TAIL_SHARE = 0.012
PRIOR_TAIL_FACTOR = 3.0
"""Factor by which the requests in the tail of the prior cost more than the others."""
MIN_WEIGHT = 1e-3
GROWTH_BEYOND_BUCKETS = 0.5
"""Work left beyond the last bucket as a share of the work done."""


class CostShape:
    """Histogram of the ratio of actual cost to estimated mean.

    It begins with a log-normal prior that has a small heavy tail.

    Examples
    --------
    >>> shape = CostShape()
    >>> for number in range(1000):
    ...     shape.observe(6.0 if number % 33 == 0 else 0.85)
    >>> shape.remaining(0.0) < shape.remaining(2.0)
    True
    >>> shape.remaining(2.0) > 3
    True
    """

    def __init__(self) -> None:
        self._weights, self._sums = _prior_buckets()
        self._total = self._prior_weight = sum(self._weights)
        self._above: list[tuple[float, float]] | None = None

    def observe(self, ratio: float) -> None:
        """Add the ratio of the cost of a request to its estimated mean."""
        ratio = min(max(ratio, 0.0), MAX_RATIO)
        if self._total >= MAX_WEIGHT_SAMPLES:
            self._scale(1 - 1 / MAX_WEIGHT_SAMPLES)
        index = bisect_right(EDGES, ratio) - 1
        self._weights[index] += 1
        self._sums[index] += ratio
        self._total += 1
        self._above = None

    def remaining(self, done: float) -> float:
        """Return the expected work left of a request, as a multiple of its estimate.

        Parameters
        ----------
        done : float
            Work done so far, as a multiple of the estimated mean.
        """
        if done <= 0:
            return 1.0
        index = bisect_right(EDGES, done) - 1
        if index == len(EDGES) - 1:
            return done * GROWTH_BEYOND_BUCKETS
        weight, total = (self._above or self._sum_above())[index + 1]
        low, high = EDGES[index], EDGES[index + 1]
        inside = self._weights[index] * (high - done) / (high - low)
        weight += inside
        if weight < MIN_WEIGHT:
            return done * GROWTH_BEYOND_BUCKETS
        return (total + inside * (done + high) / 2) / weight - done

    def survival(self, done: float) -> float:
        """Return the share of requests whose cost exceeds a multiple of the estimate.

        The prior counts as requests that don't, so it explains no late request.

        Parameters
        ----------
        done : float
            Work done so far, as a multiple of the estimated mean.
        """
        observed_share = 1 - self._prior_weight / self._total
        if done <= 0:
            return observed_share
        index = bisect_right(EDGES, done) - 1
        if index == len(EDGES) - 1:
            return 0.0
        above, _ = (self._above or self._sum_above())[index + 1]
        low, high = EDGES[index], EDGES[index + 1]
        inside = self._weights[index] * (high - done) / (high - low)
        return (above + inside) / self._total * observed_share

    def quantile(self, share: float) -> float:
        """Return the ratio that a share of the requests doesn't exceed."""
        left = share * self._total
        for index, weight in enumerate(self._weights[:-1]):
            if left <= weight:
                low, high = EDGES[index], EDGES[index + 1]
                return low + (high - low) * left / max(weight, MIN_WEIGHT)
            left -= weight
        return self._sums[-1] / max(self._weights[-1], MIN_WEIGHT)

    def _scale(self, factor):
        self._weights = [weight * factor for weight in self._weights]
        self._sums = [value * factor for value in self._sums]
        self._total *= factor
        self._prior_weight *= factor

    def _sum_above(self) -> list[tuple[float, float]]:
        """Return the weights and sums of each bucket and those above it."""
        weight = total = 0.0
        above = []
        for index in range(len(EDGES) - 1, -1, -1):
            weight += self._weights[index]
            total += self._sums[index]
            above.append((weight, total))
        above.reverse()
        self._above = above
        return above


def _prior_buckets() -> tuple[list[float], list[float]]:
    """Return the weights and sums of the prior, whose mean is about 1."""
    mean = math.exp(PRIOR_SIGMA**2 / 2)
    mean *= 1 + PRIOR_TAIL_SHARE * (PRIOR_TAIL_FACTOR - 1)
    body = statistics.NormalDist(-math.log(mean), PRIOR_SIGMA)
    shift = math.log(PRIOR_TAIL_FACTOR)

    def share_below(ratio):
        if ratio <= 0:
            return 0.0
        tail = body.cdf(math.log(ratio) - shift)
        return body.cdf(math.log(ratio)) * (1 - PRIOR_TAIL_SHARE) + (
            tail * PRIOR_TAIL_SHARE
        )

    uppers = (*EDGES[1:], MAX_RATIO)
    weights = [
        PRIOR_WEIGHT_SAMPLES * (share_below(high) - share_below(low))
        for low, high in zip(EDGES, uppers, strict=True)
    ]
    middles = [(low + high) / 2 for low, high in zip(EDGES, uppers, strict=True)]
    sums = [weight * value for weight, value in zip(weights, middles, strict=True)]
    return weights, sums
