"""Response times and costs of requests that one instance has observed, by route."""

from chervilpitch.model import HostRoute
from chervilpitch.policy import LatencyBaseline
from chervilpitch.policy.work import CostTable, RequestCost, RequestTraits, WorkAccuracy

__all__ = ["RouteStatistics"]


class RouteStatistics:
    """Estimates for each route, learned from responses of upstreams.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, clock):
        self._clock = clock
        self._baselines: dict[str, LatencyBaseline] = {}
        self._costs = CostTable()
        self._accuracy = WorkAccuracy()

    @property
    def accuracy(self) -> WorkAccuracy:
        """Totals of estimated and actual work by route."""
        return self._accuracy

    def latency_baseline(self, route: HostRoute) -> LatencyBaseline:
        """Return the baseline of a route's response times."""
        baseline = self._baselines.get(route.name)
        if baseline is None:
            baseline = self._baselines[route.name] = LatencyBaseline(route.aim_s)
        elif baseline.aim_s != route.aim_s:
            baseline.set_aim(route.aim_s)
        return baseline

    def cost(self, route: HostRoute, traits: RequestTraits) -> RequestCost:
        """Return the estimated cost of a request on a route."""
        baseline = self.latency_baseline(route)
        return self._costs.estimate(traits, baseline, self._clock())

    def record_cost(
        self,
        route: HostRoute,
        traits: RequestTraits,
        estimate: RequestCost,
        cost_s: float | None,
    ) -> None:
        """Learn from the cost of a request that was served.

        Parameters
        ----------
        route : HostRoute
            Route of the request.
        traits : RequestTraits
            What was known of it before it ran.
        estimate : RequestCost
            Its estimated cost.
        cost_s : float or None
            Its cost in seconds; None if it is not known.
        """
        if cost_s is None:
            return
        self._accuracy.add(route.name, estimate.mean_s, cost_s)
        baseline = self.latency_baseline(route)
        self._costs.observe(traits, cost_s, baseline, self._clock())
