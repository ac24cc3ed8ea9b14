"""Counters and histograms of one instance of the gateway."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from chervilpitch.model import RefusalKind

__all__ = ["GatewayMetrics"]

LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0)
ROUTE_LABELS = 64
OTHER_ROUTES = "other"
SERVED = "served"


class GatewayMetrics:
    """The metrics; the number of series does not grow with traffic."""

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
        self._routes: set[str] = set()

    def ended(
        self, route: str, status: int, refusal: RefusalKind | None, took_s: float
    ) -> None:
        """Count a request that has ended.

        Parameters
        ----------
        route : str
            Name of its route, empty for none.
        status : int
            Status code of the reply.
        refusal : RefusalKind or None
            Why it was refused.
        took_s : float
            Seconds from its header to the reply.
        """
        label = self._label(route)
        reason = refusal.value if refusal is not None else SERVED
        self._requests.labels(label, str(int(status)), reason).inc()
        self._latency.labels(label).observe(took_s)

    def show(self, values: dict[str, float]) -> None:
        """Set values of the instance's state by name."""
        for name, value in values.items():
            self._values.labels(name).set(value)

    def page(self) -> bytes:
        """Return the metrics as text."""
        return generate_latest(self._registry)

    def _label(self, route):
        if route not in self._routes and len(self._routes) >= ROUTE_LABELS:
            return OTHER_ROUTES
        self._routes.add(route)
        return route
