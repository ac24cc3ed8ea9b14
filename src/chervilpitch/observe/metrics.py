"""Prometheus metrics with a bounded number of time series."""

from collections.abc import Iterable
from typing import NamedTuple

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from chervilpitch.model import RefusalKind

__all__ = ["AccountCount", "Metrics", "RequestOutcome", "TopAccounts"]

ADDED_TIME_BUCKETS_S = (
    0.000_05,
    0.000_1,
    0.000_2,
    0.000_5,
    0.001,
    0.002_2,
    0.005,
    0.01,
    0.05,
    0.25,
    1.0,
)
MAX_ROUTE_LABELS = 64
OTHER_ROUTES = "other"
SERVED = "served"
MAX_TOP_ACCOUNTS = 100


class RequestOutcome(NamedTuple):
    """Result of a finished request.

    Parameters
    ----------
    route : str
        Name of the route; empty if no route matched.
    refusal : RefusalKind or None
        Reason of the refusal; None if the request was served.
    """

    route: str
    refusal: RefusalKind | None = None


class Metrics:
    """Metrics of one instance.

    Label values come from bounded sets: outcomes, filters, and the first
    ``MAX_ROUTE_LABELS`` routes seen; later routes share the label ``other``. Client
    accounts are never a label, see :class:`TopAccounts`.

    Parameters
    ----------
    filters : iterable of str
        Names of the filters of the request path.

    Examples
    --------
    >>> metrics = Metrics(["admit"])
    >>> metrics.count_request(RequestOutcome("bookings"))
    >>> metrics.registry.get_sample_value(
    ...     "chervilpitch_requests_total", {"route": "bookings", "outcome": "served"}
    ... )
    1.0
    """

    def __init__(self, filters: Iterable[str]) -> None:
        self._registry = CollectorRegistry()
        self._filters = frozenset(filters)
        self._known_routes: set[str] = set()
        self._request_counter = Counter(
            "chervilpitch_requests",
            "Requests by route and outcome.",
            ("route", "outcome"),
            registry=self._registry,
        )
        self._filter_seconds = Histogram(
            "chervilpitch_filter_seconds",
            "Time that each filter adds to a request.",
            ("filter",),
            buckets=ADDED_TIME_BUCKETS_S,
            registry=self._registry,
        )
        self.revision = self._gauge("revision", "Revision of the note in force.")
        self.ejected = self._gauge("ejected_upstreams", "Upstreams ejected here.")
        self.leases = self._gauge("tenures", "Minting rights held here.")
        self.in_flight = self._gauge("requests_in_flight", "Requests being served.")
        self.suspects = self._gauge("suspect_instances", "Instances suspected here.")
        self.view_age_s = self._gauge("view_age_seconds", "Age of the fleet's view.")

    @property
    def registry(self) -> CollectorRegistry:
        """Registry to expose; separate from the library's global registry."""
        return self._registry

    def count_request(self, outcome: RequestOutcome) -> None:
        """Count a finished request.

        Parameters
        ----------
        outcome : RequestOutcome
            Route and result of the request.
        """
        label = outcome.refusal.value if outcome.refusal else SERVED
        self._request_counter.labels(self._route_label(outcome.route), label).inc()

    def observe_filter(self, name: str, added_s: float) -> None:
        """Record the time that a filter added to a request.

        Parameters
        ----------
        name : str
            Name of the filter, one of those given to the constructor.
        added_s : float
            Time in seconds.

        Raises
        ------
        ValueError
            If no filter has this name.
        """
        if name not in self._filters:
            raise ValueError(name)
        self._filter_seconds.labels(name).observe(added_s)

    def _route_label(self, route: str) -> str:
        if route not in self._known_routes:
            if not route or len(self._known_routes) >= MAX_ROUTE_LABELS:
                return OTHER_ROUTES
            self._known_routes.add(route)
        return route

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"chervilpitch_{name}", text, registry=self._registry)


class AccountCount(NamedTuple):
    """Estimated number of requests of a client account.

    Parameters
    ----------
    account : str
        Name of the client account.
    count : int
        Upper bound of the number.
    error : int
        Maximum overestimation of `count`.
    """

    account: str
    count: int
    error: int


class TopAccounts:
    """Client accounts with the most requests, counted in bounded memory.

    Uses the Space-Saving algorithm.

    Parameters
    ----------
    capacity : int
        Maximum number of accounts counted at a time.

    References
    ----------
    A. Metwally, D. Agrawal and A. El Abbadi, "Efficient computation of frequent
    and top-k elements in data streams", ICDT 2005.

    Examples
    --------
    >>> top = TopAccounts(capacity=2)
    >>> for account in "aabaac":
    ...     top.count(account)
    >>> top.top(1)
    (AccountCount(account='a', count=4, error=0),)
    """

    def __init__(self, capacity: int = MAX_TOP_ACCOUNTS) -> None:
        self._capacity = capacity
        self._counts: dict[str, AccountCount] = {}

    def __len__(self) -> int:
        return len(self._counts)

    def count(self, account: str) -> None:
        """Count a request of a client account.

        Parameters
        ----------
        account : str
            Name of the client account.
        """
        entry = self._counts.get(account)
        if entry is None:
            entry = self._new_entry(account)
        self._counts[account] = entry._replace(count=entry.count + 1)

    def top(self, limit: int) -> tuple[AccountCount, ...]:
        """Return the accounts with the largest counts.

        Parameters
        ----------
        limit : int
            Maximum number of accounts.

        Returns
        -------
        tuple of AccountCount
            In descending order of the count.
        """
        ordered = sorted(self._counts.values(), key=lambda c: (-c.count, c.account))
        return tuple(ordered[:limit])

    def _new_entry(self, account: str) -> AccountCount:
        """Return an entry for a new account.

        If the table is full, it replaces the smallest entry and inherits its count
        as the error.
        """
        if len(self._counts) < self._capacity:
            return AccountCount(account, 0, 0)
        smallest = min(self._counts.values(), key=lambda c: c.count)
        del self._counts[smallest.account]
        return AccountCount(account, smallest.count, smallest.count)
