"""Estimate of the share of the requests for a service that can be served.

As in Breakwater (Cho et al., OSDI 2020) what is admitted follows the delay at the
servers. It is not stepped up and down from its own last value, but set to what was
served of late, corrected in proportion to the distance of the expected time from its
limit: queues at upstreams then settle at the limit instead of oscillating with the
delay of the reports about them.
"""

from .sliding_counts import SlidingCounts

__all__ = ["PRESSURE_LIMIT", "CapacityEstimate"]

PRESSURE_LIMIT = 0.6
"""Expected time of the best upstream, as a share of the latency target, at which as
much is admitted as is served. The rest of the target is left for requests that take
longer than expected, and for queues that vary between upstreams. It is below the share
from which the overload rule refuses the least urgent requests."""
GAIN = 0.5
"""Correction of what is admitted by the relative distance of the expected time from
its limit. Reports and reviews delay it by about half a latency target; with twice this
gain the queues oscillate."""
SHED_LIMIT = 0.15
"""Share of attempts shed by full upstreams that the retry budget makes up for, as it
allows nearly 0.2 retries per request."""
MIN_SHEDS = 4
"""Number of sheds from which their share of the attempts is considered."""
MIN_FACTOR = 0.5
"""Smallest factor of the served share at a review."""
MAX_FACTOR = 2.0
"""Largest growth of the share at a review. It is taken in full while most chosen
upstreams have free slots, so that responses that fail for other reasons don't count as
lack of capacity."""
MIN_SHARE = 0.1
"""Share that is admitted in any case, as responses are needed to see that capacity is
back."""
WINDOW_S = 2.0
"""A few latency targets, so that an instance with ten requests a second sees enough
responses, and old ones are forgotten while a shortage lasts."""
PRIOR_COUNT = 4.0
"""Requests assumed to be served in addition to those counted. An instance with a
request a second then follows the expected time rather than chance."""

_ARRIVED, _ADMITTED, _SERVED, _SHED, _SHARES = range(5)


class CapacityEstimate:
    """Share of the requests that a service can serve, as seen by one instance."""

    def __init__(self) -> None:
        self._counts = SlidingCounts(WINDOW_S, _SHARES + 1)
        self._pressure_sum = 0.0
        self._busy_count = 0
        self._count = 0

    def record_decision(self, share: float, is_admitted: bool, now_s: float) -> None:
        """Record whether a request was admitted, and the share in force then."""
        self._counts.add(_ARRIVED, now_s)
        self._counts.add(_SHARES, now_s, share)
        if is_admitted:
            self._counts.add(_ADMITTED, now_s)

    def record_served(self, now_s: float) -> None:
        """Record a response of an upstream."""
        self._counts.add(_SERVED, now_s)

    def record_shed(self, now_s: float) -> None:
        """Record that an upstream that was full shed a request."""
        self._counts.add(_SHED, now_s)

    def observe(self, pressure: float, is_busy: bool) -> None:
        """Add the expected time of the best upstream for one request.

        Parameters
        ----------
        pressure : float
            Expected time as a share of the latency target; 0 with a free slot.
        is_busy : bool
            Whether the upstream has at most one free slot.
        """
        self._pressure_sum += pressure
        self._busy_count += is_busy
        self._count += 1

    @property
    def observation_count(self) -> int:
        """Number of observations since the last estimate."""
        return self._count

    def is_shedding(self, now_s: float) -> bool:
        """Return whether full upstreams shed more than retries make up for."""
        sheds = self._counts.count(_SHED, now_s)
        return sheds >= MIN_SHEDS and self._shed_excess(now_s) > 0

    def forget_observations(self) -> None:
        """Forget the expected times, which are of the time before a shortage."""
        self._pressure_sum = 0.0
        self._busy_count = self._count = 0

    def share(self, now_s: float) -> float:
        """Return the share of the requests that can be served from now on."""
        is_busy = 2 * self._busy_count >= self._count
        is_shedding = self.is_shedding(now_s)
        if not is_busy and not is_shedding:
            return min(1.0, max(MIN_SHARE, self._admitted_share(now_s) * MAX_FACTOR))
        excess = self._pressure_sum / max(1, self._count) / PRESSURE_LIMIT - 1
        if is_busy and is_shedding:
            excess = max(excess, self._shed_excess(now_s))
        factor = min(MAX_FACTOR, max(MIN_FACTOR, 1 - GAIN * excess))
        return min(1.0, max(MIN_SHARE, self._served_share(now_s) * factor))

    def _admitted_share(self, now_s):
        """Return the mean of the shares in force when the requests arrived."""
        arrived = self._counts.count(_ARRIVED, now_s)
        return self._counts.count(_SHARES, now_s) / arrived if arrived else 1.0

    def _served_share(self, now_s):
        """Return the share of the requests in the window that were served."""
        served = self._counts.count(_SERVED, now_s) + PRIOR_COUNT
        admitted = self._counts.count(_ADMITTED, now_s) + PRIOR_COUNT
        return self._admitted_share(now_s) * served / admitted

    def _shed_excess(self, now_s):
        """Return by how much the share of attempts that were shed exceeds its limit."""
        sheds = self._counts.count(_SHED, now_s)
        served = self._counts.count(_SERVED, now_s)
        return sheds / max(1.0, sheds + served) - SHED_LIMIT
