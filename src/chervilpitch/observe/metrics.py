"""Metrics whose number of series does not grow with traffic or accounts."""

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
ROUTE_LABELS = 64
OTHER_ROUTES = "other"
SERVED = "served"
TOP_ACCOUNTS = 100


class RequestOutcome(NamedTuple):
    """How a request ended.

    Parameters
    ----------
    route : str
        Name of its route; empty when no route matched.
    refusal : RefusalKind or None
        Why it was refused; None when it was served.
    """

    route: str
    refusal: RefusalKind | None = None


class Metrics:
    """The metrics of one instance.

    Labels take their values from closed sets: outcomes, filters, and the first
    64 routes seen; later routes share the label ``other``. Client accounts are
    never a label, see :class:`TopAccounts`.

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
        self._routes: set[str] = set()
        self._requests = Counter(
            "chervilpitch_requests",
            "Requests by route and outcome.",
            ("route", "outcome"),
            registry=self._registry,
        )
        self._added_s = Histogram(
            "chervilpitch_filter_seconds",
            "Time that each filter adds to a request.",
            ("filter",),
            buckets=ADDED_TIME_BUCKETS_S,
            registry=self._registry,
        )
        self.revision = self._gauge("revision", "Revision of the note in force.")
        self.ejected = self._gauge("ejected_upstreams", "Upstreams ejected here.")
        self.tenures = self._gauge("tenures", "Minting rights held here.")
        self.in_flight = self._gauge("requests_in_flight", "Requests being served.")
        self.suspects = self._gauge("suspect_instances", "Instances suspected here.")
        self.view_age_s = self._gauge("view_age_seconds", "Age of the fleet's view.")

    @property
    def registry(self) -> CollectorRegistry:
        """The registry to expose; it is not the library's global one."""
        return self._registry

    def count_request(self, outcome: RequestOutcome) -> None:
        """Count a request that has ended.

        Parameters
        ----------
        outcome : RequestOutcome
            How it ended.
        """
        label = outcome.refusal.value if outcome.refusal else SERVED
        self._requests.labels(self._route_label(outcome.route), label).inc()

    def observe_filter(self, name: str, added_s: float) -> None:
        """Note the time that a filter has added to a request.

        Parameters
        ----------
        name : str
            Name of the filter, one of those given at the start.
        added_s : float
            Added time in seconds.

        Raises
        ------
        ValueError
            If there is no such filter.
        """
        if name not in self._filters:
            raise ValueError(name)
        self._added_s.labels(name).observe(added_s)

    def _route_label(self, route: str) -> str:
        if route not in self._routes:
            if not route or len(self._routes) >= ROUTE_LABELS:
                return OTHER_ROUTES
            self._routes.add(route)
        return route

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"chervilpitch_{name}", text, registry=self._registry)


class AccountCount(NamedTuple):
    """Estimated count of an account.

    Parameters
    ----------
    account : str
        Name of the client account.
    count : int
        Upper bound of the count.
    error : int
        How much too large the count may be.
    """

    account: str
    count: int
    error: int


class TopAccounts:
    """The accounts with the most requests, in bounded memory.

    Parameters
    ----------
    capacity : int
        How many accounts are kept.

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

    def __init__(self, capacity: int = TOP_ACCOUNTS) -> None:
        self._capacity = capacity
        self._counts: dict[str, AccountCount] = {}

    def __len__(self) -> int:
        return len(self._counts)

    def count(self, account: str) -> None:
        """Count a request of an account.

        Parameters
        ----------
        account : str
            Name of the client account.
        """
        known = self._counts.get(account)
        if known is None:
            known = self._make_room(account)
        self._counts[account] = known._replace(count=known.count + 1)

    def top(self, limit: int) -> tuple[AccountCount, ...]:
        """Return the accounts with the largest counts.

        Parameters
        ----------
        limit : int
            How many at most.

        Returns
        -------
        tuple of AccountCount
            Largest first.
        """
        ordered = sorted(self._counts.values(), key=lambda c: (-c.count, c.account))
        return tuple(ordered[:limit])

    def _make_room(self, account: str) -> AccountCount:
        """Let a new account inherit the smallest count as its error."""
        if len(self._counts) < self._capacity:
            return AccountCount(account, 0, 0)
        least = min(self._counts.values(), key=lambda c: c.count)
        del self._counts[least.account]
        return AccountCount(account, least.count, least.count)
