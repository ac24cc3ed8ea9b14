"""Counters and histograms of one instance."""

from prometheus_client import CollectorRegistry, Counter, Histogram

__all__ = ["Metrics"]

FILTER_BUCKETS_S = (0.00005, 0.0001, 0.0002, 0.0005, 0.001, 0.0022, 0.005, 0.02, 0.1, 1)


class Metrics:
    """Metrics of the request path; their number does not grow with accounts."""

    def __init__(self):
        self._registry = CollectorRegistry()
        self._answers = Counter(
            "chervilpitch_answers",
            "Answers of upstreams by class of status.",
            ["status_class"],
            registry=self._registry,
        )
        self._refusals = Counter(
            "chervilpitch_refusals",
            "Refusals by kind.",
            ["kind"],
            registry=self._registry,
        )
        self._filters = Histogram(
            "chervilpitch_filter_seconds",
            "Seconds that a request spends in a filter.",
            ["filter"],
            buckets=FILTER_BUCKETS_S,
            registry=self._registry,
        )

    @property
    def registry(self) -> CollectorRegistry:
        """Registry of these metrics."""
        return self._registry

    def answered(self, status: int) -> None:
        """Count an upstream's answer."""
        self._answers.labels(f"{status // 100}xx").inc()

    def refused(self, kind: str) -> None:
        """Count a refusal."""
        self._refusals.labels(kind).inc()

    def filter_took(self, name: str, seconds: float) -> None:
        """Note how long a filter took."""
        self._filters.labels(name).observe(seconds)
