"""What one instance has reserved at the upstreams it uses."""

from collections.abc import Mapping
from enum import IntEnum
from typing import NamedTuple, Protocol

from chervilpitch.health import HealthState
from chervilpitch.model import EMPTY_CATALOGUE, Catalogue, region_of

from .budgets import OPEN, Window
from .match import RouteTable, build_table
from .subset import ServiceShare

__all__ = ["Distance", "RandomSource", "Reservation", "RoutingState"]


class RandomSource(Protocol):
    """A seeded source of random numbers, such as ``random.Random``."""

    def random(self) -> float:
        """Return a number from 0 up to 1."""


class Reservation(NamedTuple):
    """A slot of an upstream taken by one exchange.

    Parameters
    ----------
    number : int
        Unique number within this process.
    upstream : str
        Name of the upstream.
    address : str
        Its host and port.
    route : str
        Name of the route; empty for a probe.
    """

    number: int
    upstream: str
    address: str
    route: str


class Distance(IntEnum):
    """How far an upstream is from the instance."""

    OWN_DOMAIN = 0
    OWN_REGION = 1
    OTHER_REGION = 2


def distance(here: str, there: str) -> Distance:
    """Return the distance between two failure domains.

    Parameters
    ----------
    here, there : str
        Failure domains, written ``"region/domain"``.

    Returns
    -------
    Distance
        How far apart they are.

    Examples
    --------
    >>> distance("punjab/a", "punjab/b").name
    'OWN_REGION'
    """
    if here == there:
        return Distance.OWN_DOMAIN
    if region_of(here) == region_of(there):
        return Distance.OWN_REGION
    return Distance.OTHER_REGION


NO_RINGS = dict.fromkeys(Distance, ())


class RoutingState:
    """Reservations, windows and the table of routes of one instance.

    Parameters
    ----------
    seat : int
        Seat of the instance.
    failure_domain : str
        Failure domain of the instance.
    health : HealthState
        Health of the upstreams, changed by the functions of this package.
    rng : RandomSource
        Source of random numbers.
    """

    def __init__(
        self, seat: int, failure_domain: str, health: HealthState, rng: RandomSource
    ) -> None:
        self._seat = seat
        self._failure_domain = failure_domain
        self._health = health
        self._rng = rng
        self._catalogue = EMPTY_CATALOGUE
        self._table = build_table(EMPTY_CATALOGUE)
        self._shares: Mapping[str, ServiceShare] = {}
        self._rings: dict[str, dict[Distance, tuple[str, ...]]] = {}
        self._windows: dict[str, Window] = {}
        self._open: dict[int, Reservation] = {}
        self._in_flight: dict[str, int] = {}
        self._last_number = 0

    @property
    def seat(self) -> int:
        """Seat of the instance."""
        return self._seat

    @property
    def failure_domain(self) -> str:
        """Failure domain of the instance."""
        return self._failure_domain

    @property
    def health(self) -> HealthState:
        """Health of the upstreams."""
        return self._health

    @property
    def rng(self) -> RandomSource:
        """Source of random numbers."""
        return self._rng

    @property
    def table(self) -> RouteTable:
        """Routes of the catalogue in force."""
        return self._table

    @property
    def shares(self) -> Mapping[str, ServiceShare]:
        """What this instance uses of each service."""
        return self._shares

    @property
    def reservations(self) -> Mapping[int, Reservation]:
        """Reservations that were not released yet."""
        return self._open

    def in_flight(self, upstream: str) -> int:
        """Return how many slots of an upstream this instance holds."""
        return self._in_flight.get(upstream, 0)

    def window(self, upstream: str) -> Window:
        """Return the window of an upstream."""
        return self._windows.get(upstream, OPEN)

    def rings(self, service: str) -> Mapping[Distance, tuple[str, ...]]:
        """Return the names of the upstreams of a service by distance."""
        return self._rings.get(service, NO_RINGS)

    def set_window(self, upstream: str, window: Window) -> None:
        """Set the window of an upstream."""
        self._windows[upstream] = window

    def set_catalogue(
        self, catalogue: Catalogue, shares: Mapping[str, ServiceShare]
    ) -> None:
        """Follow a new catalogue; reservations stay until they are released."""
        self._catalogue = catalogue
        self._table = build_table(catalogue)
        self._shares = shares
        self._rings = {name: self._make_rings(share) for name, share in shares.items()}
        used = {u.name for share in shares.values() for u in share.upstreams}
        self._windows = {n: w for n, w in self._windows.items() if n in used}

    def _make_rings(self, share):
        rings = dict.fromkeys(Distance, ())
        for upstream in share.upstreams:
            away = distance(self._failure_domain, upstream.failure_domain)
            rings[away] += (upstream.name,)
        return rings

    def add(self, upstream: str, address: str, route: str) -> Reservation:
        """Take a slot."""
        self._last_number += 1
        held = Reservation(self._last_number, upstream, address, route)
        self._open[held.number] = held
        self._in_flight[upstream] = self.in_flight(upstream) + 1
        return held

    def remove(self, reservation: Reservation) -> bool:
        """Give a slot back and tell whether it was held."""
        held = self._open.pop(reservation.number, None)
        if held is None:
            return False
        left = self._in_flight[held.upstream] - 1
        if left:
            self._in_flight[held.upstream] = left
        else:
            del self._in_flight[held.upstream]
        return True
