"""Estimates of the cost of requests from what is known before they run."""

from typing import NamedTuple

from ..latency import LatencyBaseline
from .cost_shape import CostShape
from .decayed_mean import DecayedMean, DecayedMeans

__all__ = ["CostTable", "RequestCost", "RequestTraits", "unlearned_cost"]

MAX_ROUTES = 12_000
MAX_SIZE_CLASSES = 4_096
MAX_ACCOUNTS = 8_192
MAX_SERVICES = 512
MIN_COST_S = 0.001
TAIL_QUANTILE = 0.95
STANDARD_METHODS = frozenset(
    ("GET", "HEAD", "POST", "PUT", "DELETE", "CONNECT", "OPTIONS", "TRACE", "PATCH")
)
OTHER_METHOD = ""


class RequestTraits(NamedTuple):
    """What is known of a request before it runs.

    Parameters
    ----------
    route, service : str
        Names of its route and of the service that handles it.
    method : str
        Method; all that are not standard ones count as the same.
    body_bytes : int
        Size of the body that was received.
    account : str
        Name of the authenticated client account; empty for none.
    """

    route: str
    service: str
    method: str
    body_bytes: int
    account: str

    @property
    def size_class(self) -> tuple[str, str, int]:
        """Route, method and class of the body's size; a class spans a factor of 4."""
        method = self.method if self.method in STANDARD_METHODS else OTHER_METHOD
        return self.route, method, self.body_bytes.bit_length() // 2


class RequestCost(NamedTuple):
    """Estimated cost of a request, at an upstream of usual speed.

    Parameters
    ----------
    mean_s, tail_s : float
        Mean and 95th percentile of the time in a slot, in seconds.
    own_s : float
        The part of the mean that counts in the expected time of the request itself:
        at most half of the latency target, so that a request which takes longer on
        any upstream isn't refused for that.
    service_mean_s : float
        Mean over the requests of its service, in seconds.
    shape : CostShape
        Distribution of actual costs relative to the estimate.
    """

    mean_s: float
    tail_s: float
    own_s: float
    service_mean_s: float
    shape: CostShape


class _ServiceCost:
    """Mean cost over the routes of a service, and the distribution of costs."""

    def __init__(self) -> None:
        self.mean = DecayedMean()
        self.shape = CostShape()


UNLEARNED_SHAPE = CostShape()


class CostTable:
    """Costs by route, method, size class and client account, in bounded memory.

    A class without observations has the estimate of its route, and a route without
    observations has the typical response time of its baseline.

    Examples
    --------
    >>> table, baseline = CostTable(), LatencyBaseline(aim_s=0.8)
    >>> small = RequestTraits("r", "desk", "POST", 100, "a")
    >>> large = small._replace(body_bytes=1_000_000)
    >>> for _ in range(100):
    ...     table.observe(small, 0.1, baseline, now_s=0.0)
    ...     table.observe(large, 0.9, baseline, now_s=0.0)
    >>> costs = [table.estimate(item, baseline, 0.0) for item in (small, large)]
    >>> costs[0].mean_s < 0.15 < 0.7 < costs[1].mean_s
    True
    """

    def __init__(self) -> None:
        self._routes = DecayedMeans(MAX_ROUTES)
        self._sizes = DecayedMeans(MAX_SIZE_CLASSES)
        self._accounts = DecayedMeans(MAX_ACCOUNTS)
        self._services: dict[str, _ServiceCost] = {}

    @property
    def entry_count(self) -> int:
        """Number of means that are kept."""
        return len(self._routes) + len(self._sizes) + len(self._accounts)

    def estimate(
        self, traits: RequestTraits, baseline: LatencyBaseline, now_s: float
    ) -> RequestCost:
        """Return the estimated cost of a request.

        Parameters
        ----------
        traits : RequestTraits
            What is known of the request.
        baseline : LatencyBaseline
            Response times of its route. The typical one is used until costs were
            observed, and again when they are forgotten.
        now_s : float
            Monotonic time in seconds.
        """
        typical_s = baseline.typical_s
        mean_s = self._size_mean_s(traits, typical_s, now_s)
        key = traits.route, traits.account
        mean_s = max(MIN_COST_S, mean_s * self._accounts.shrunk(key, 1.0, now_s))
        service = self._services.get(traits.service)
        if service is None:
            return unlearned_cost(baseline)
        return RequestCost(
            mean_s,
            mean_s * service.shape.quantile(TAIL_QUANTILE),
            min(mean_s, baseline.max_typical_s),
            max(MIN_COST_S, service.mean.shrunk(typical_s, now_s)),
            service.shape,
        )

    def observe(
        self,
        traits: RequestTraits,
        cost_s: float,
        baseline: LatencyBaseline,
        now_s: float,
    ) -> None:
        """Add the cost of a request that did not wait in the queue of its upstream.

        Parameters
        ----------
        traits : RequestTraits
            What was known of the request.
        cost_s : float
            Seconds that it occupied a slot.
        baseline : LatencyBaseline
            Response times of its route, as for an estimate.
        now_s : float
            Monotonic time in seconds.
        """
        service = self._services.pop(traits.service, None) or _ServiceCost()
        self._services[traits.service] = service
        if len(self._services) > MAX_SERVICES:
            del self._services[next(iter(self._services))]
        estimated_s = self.estimate(traits, baseline, now_s).mean_s
        service.mean.observe(cost_s, now_s)
        service.shape.observe(cost_s / estimated_s)
        self._routes.observe(traits.route, cost_s, now_s)
        self._sizes.observe(traits.size_class, cost_s, now_s)
        size_mean_s = max(
            MIN_COST_S, self._size_mean_s(traits, baseline.typical_s, now_s)
        )
        account = traits.route, traits.account
        self._accounts.observe(account, cost_s / size_mean_s, now_s)

    def _size_mean_s(self, traits, typical_s, now_s) -> float:
        """Return the mean of the size class, shrunk towards that of the route."""
        route_s = self._routes.shrunk(traits.route, typical_s, now_s)
        return self._sizes.shrunk(traits.size_class, route_s, now_s)


def unlearned_cost(baseline: LatencyBaseline) -> RequestCost:
    """Return the cost of a request of which only the response times are known.

    Examples
    --------
    >>> cost = unlearned_cost(LatencyBaseline(aim_s=1.0))
    >>> cost.mean_s == cost.own_s == cost.service_mean_s
    True
    """
    typical_s = baseline.typical_s
    tail_s = typical_s * UNLEARNED_SHAPE.quantile(TAIL_QUANTILE)
    return RequestCost(typical_s, tail_s, typical_s, typical_s, UNLEARNED_SHAPE)
