"""Random choice among the nearest upstreams, for comparison."""

from collections.abc import Collection

from chervilpitch.health.naive import NaiveHealth, eligible_upstreams
from chervilpitch.model import Route, region_of

from .state import RandomSource

__all__ = ["NaiveRouting", "release", "reserve"]


class NaiveRouting:
    """Counts of requests in flight at each upstream.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the instance.
    health : NaiveHealth
        Health of the upstreams.
    rng : RandomSource
        Source of random numbers.
    """

    def __init__(
        self, failure_domain: str, health: NaiveHealth, rng: RandomSource
    ) -> None:
        self._failure_domain = failure_domain
        self._health = health
        self._rng = rng
        self._in_flight: dict[str, int] = {}

    @property
    def failure_domain(self) -> str:
        """Failure domain of the instance."""
        return self._failure_domain

    @property
    def health(self) -> NaiveHealth:
        """Health of the upstreams."""
        return self._health

    @property
    def rng(self) -> RandomSource:
        """Source of random numbers."""
        return self._rng

    def in_flight(self, upstream: str) -> int:
        """Return the number of requests counted as in flight at an upstream."""
        return self._in_flight.get(upstream, 0)

    def change_in_flight(self, upstream: str, change: int) -> None:
        """Add to the number of requests in flight at an upstream."""
        self._in_flight[upstream] = self.in_flight(upstream) + change


def reserve(
    state: NaiveRouting, route: Route, failed_already: Collection[str], now_s: float
) -> str | None:
    """Choose a near upstream that is not ejected, regardless of its slots.

    Parameters
    ----------
    state : NaiveRouting
        Changed in place.
    route : Route
        Route of the request.
    failed_already : collection of str
        Upstreams of earlier attempts of the request.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    str or None
        Name of the upstream; None if no other one is eligible.
    """
    names = eligible_upstreams(state.health, route.service, now_s)
    untried = [name for name in names if name not in failed_already]
    if not untried:
        return None
    near = _nearest(state, untried)
    name = near[int(state.rng.random() * len(near))]
    state.change_in_flight(name, 1)
    return name


def release(state: NaiveRouting, upstream: str) -> None:
    """Subtract one request in flight, also if called again for the same request.

    Parameters
    ----------
    state : NaiveRouting
        Changed in place.
    upstream : str
        Result of :func:`reserve`.
    """
    state.change_in_flight(upstream, -1)


def _nearest(state, names):
    domains = {n: state.health.records[n].upstream.failure_domain for n in names}
    own = [n for n in names if domains[n] == state.failure_domain]
    if own:
        return own
    region = region_of(state.failure_domain)
    return [n for n in names if region_of(domains[n]) == region] or names
