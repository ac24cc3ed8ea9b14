"""Prometheus metrics of one gateway instance."""

import itertools
from collections.abc import Mapping

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from chervilpitch.model import RefusalKind
from chervilpitch.policy import PRIORITY_CLASSES
from chervilpitch.policy.work import RouteWork

__all__ = ["GatewayMetrics"]

LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0)
MAX_ROUTE_LABELS = 64
OTHER_ROUTES_LABEL = "other"
SERVED_REASON = "served"
MAX_RATE_LABELS = 16
MAX_SERVICE_LABELS = 64
NO_PRIORITY_LABEL = "none"


class GatewayMetrics:
    """Metrics of the instance; route labels are limited, so series are bounded."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "chervilpitch_requests",
            "Requests by route, status and reason of a refusal.",
            ("route", "status", "reason"),
            registry=self._registry,
        )
        self._latency = Histogram(
            "chervilpitch_request_seconds",
            "Time from a request's header to its reply.",
            ("route",),
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._values = Gauge(
            "chervilpitch_state",
            "Values of the instance's state by name.",
            ("name",),
            registry=self._registry,
        )
        self._rates = Gauge(
            "chervilpitch_rate",
            "Values of client accounts whose rate is nearly used, by name.",
            ("account", "name"),
            registry=self._registry,
        )
        self._attempts = Counter(
            "chervilpitch_attempts",
            "Attempts started at upstreams, the first ones of requests and repeats.",
            ("kind",),
            registry=self._registry,
        )
        self._refusals = Counter(
            "chervilpitch_refusals",
            "Refusals by effective priority, and by their reason.",
            ("priority", "reason"),
            registry=self._registry,
        )
        self._levels = Gauge(
            "chervilpitch_admission_level",
            "Most urgent priority of which requests are refused, by service.",
            ("service",),
            registry=self._registry,
        )
        self._settings = Gauge(
            "chervilpitch_settings",
            "Digest of the settings file as it was read, and as it is on disk.",
            ("instance", "in_force", "on_disk"),
            registry=self._registry,
        )
        self._work = Gauge(
            "chervilpitch_work",
            "Totals of requests of known cost by route: requests, and the sums of "
            "estimates, actual costs and absolute errors in seconds.",
            ("route", "name"),
            registry=self._registry,
        )
        self._routes: set[str] = set()

    def record_request(
        self, route: str, status: int, refusal: RefusalKind | None, duration_s: float
    ) -> None:
        """Record a request that has ended.

        Parameters
        ----------
        route : str
            Name of its route; empty if none matched or a required key was not accepted.
        status : int
            Status code of the response.
        refusal : RefusalKind or None
            Why it was refused; None if it was served.
        duration_s : float
            Seconds from its header to the response.
        """
        label = self._route_label(route)
        reason = refusal.value if refusal is not None else SERVED_REASON
        self._requests.labels(label, str(int(status)), reason).inc()
        self._latency.labels(label).observe(duration_s)

    def record_attempts(self, count: int) -> None:
        """Record the attempts that were started for a request that has ended."""
        if count:
            self._attempts.labels("first").inc()
            self._attempts.labels("repeat").inc(count - 1)

    def record_refusal(self, priority: int | None, refusal: RefusalKind) -> None:
        """Record a refusal.

        Parameters
        ----------
        priority : int or None
            Effective priority of the request; None if it is not known.
        refusal : RefusalKind
            Why it was refused.
        """
        label = NO_PRIORITY_LABEL
        if priority is not None:
            label = str(min(priority, PRIORITY_CLASSES - 1))
        self._refusals.labels(label, refusal.value).inc()

    def set_levels(self, levels: Mapping[str, int]) -> None:
        """Set the admission levels by service, for a limited number of them."""
        self._levels.clear()
        for service, level in itertools.islice(levels.items(), MAX_SERVICE_LABELS):
            self._levels.labels(service).set(level)

    def set_rates(self, rates: Mapping[str, Mapping[str, float]]) -> None:
        """Set the values of client accounts by name, for a limited number of them."""
        self._rates.clear()
        for account, values in itertools.islice(rates.items(), MAX_RATE_LABELS):
            for name, value in values.items():
                self._rates.labels(account, name).set(value)

    def set_work(self, by_route: Mapping[str, RouteWork]) -> None:
        """Set the totals of estimated and actual work by route."""
        for route, total in by_route.items():
            for name, value in total._asdict().items():
                self._work.labels(route, name).set(value)

    def set_state_values(self, values: dict[str, float]) -> None:
        """Set gauges of the instance's state by name."""
        for name, value in values.items():
            self._values.labels(name).set(value)

    def set_settings(self, instance: str, in_force: str, on_disk: str) -> None:
        """Set the digests of the settings file, for the instance of the given name."""
        self._settings.clear()
        self._settings.labels(instance, in_force, on_disk).set(1)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def _route_label(self, route):
        if route not in self._routes and len(self._routes) >= MAX_ROUTE_LABELS:
            return OTHER_ROUTES_LABEL
        self._routes.add(route)
        return route
