"""State of the routing of one instance: reservations, windows and routes."""

from collections.abc import Mapping
from enum import IntEnum
from typing import NamedTuple, Protocol

from chervilpitch.health import HealthState
from chervilpitch.model import EMPTY_CATALOGUE, Catalogue, region_of

from .concurrency_windows import INITIAL_WINDOW, Window
from .match import RouteTable, build_table
from .subset import ServiceShare

__all__ = ["Distance", "RandomSource", "Reservation", "RoutingState"]


class RandomSource(Protocol):
    """Source of random numbers, such as ``random.Random``."""

    def random(self) -> float:
        """Return a number in the half-open interval from 0 to 1."""


class Reservation(NamedTuple):
    """A slot of an upstream reserved for one exchange.

    Parameters
    ----------
    number : int
        Unique number within this process.
    upstream : str
        Name of the upstream.
    address : str
        Host and port of the upstream.
    route : str
        Name of the route; empty for a probe.
    """

    number: int
    upstream: str
    address: str
    route: str


class Distance(IntEnum):
    """Locality tier of an upstream relative to the instance, nearest first."""

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
        The locality tier.

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


NO_TIERS = dict.fromkeys(Distance, ())


class RoutingState:
    """Reservations, concurrency windows and the route table of one instance.

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
        self._tiers: dict[str, dict[Distance, tuple[str, ...]]] = {}
        self._windows: dict[str, Window] = {}
        self._reservations: dict[int, Reservation] = {}
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
        """Route table of the current catalogue."""
        return self._table

    @property
    def shares(self) -> Mapping[str, ServiceShare]:
        """Upstreams that this instance uses, by service."""
        return self._shares

    @property
    def reservations(self) -> Mapping[int, Reservation]:
        """Reservations that have not been released, by number."""
        return self._reservations

    def in_flight(self, upstream: str) -> int:
        """Return the number of slots of an upstream that this instance holds."""
        return self._in_flight.get(upstream, 0)

    def window(self, upstream: str) -> Window:
        """Return the concurrency window of an upstream."""
        return self._windows.get(upstream, INITIAL_WINDOW)

    def tiers(self, service: str) -> Mapping[Distance, tuple[str, ...]]:
        """Return the names of the upstreams of a service by locality tier."""
        return self._tiers.get(service, NO_TIERS)

    def set_window(self, upstream: str, window: Window) -> None:
        """Set the concurrency window of an upstream."""
        self._windows[upstream] = window

    def set_catalogue(
        self, catalogue: Catalogue, shares: Mapping[str, ServiceShare]
    ) -> None:
        """Apply a new catalogue; reservations stay until they are released."""
        self._catalogue = catalogue
        self._table = build_table(catalogue)
        self._shares = shares
        self._tiers = {
            name: self._group_by_distance(share) for name, share in shares.items()
        }
        used = {u.name for share in shares.values() for u in share.upstreams}
        self._windows = {n: w for n, w in self._windows.items() if n in used}

    def _group_by_distance(self, share):
        tiers = dict.fromkeys(Distance, ())
        for upstream in share.upstreams:
            tier = distance(self._failure_domain, upstream.failure_domain)
            tiers[tier] += (upstream.name,)
        return tiers

    def add_reservation(self, upstream: str, address: str, route: str) -> Reservation:
        """Reserve a slot of an upstream."""
        self._last_number += 1
        reservation = Reservation(self._last_number, upstream, address, route)
        self._reservations[reservation.number] = reservation
        self._in_flight[upstream] = self.in_flight(upstream) + 1
        return reservation

    def remove_reservation(self, reservation: Reservation) -> bool:
        """Release a slot; return whether the reservation was still open."""
        removed = self._reservations.pop(reservation.number, None)
        if removed is None:
            return False
        left = self._in_flight[removed.upstream] - 1
        if left:
            self._in_flight[removed.upstream] = left
        else:
            del self._in_flight[removed.upstream]
        return True
