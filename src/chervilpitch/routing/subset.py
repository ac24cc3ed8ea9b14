"""Which upstreams an instance uses, so that connections stay within budget."""

from collections.abc import Mapping
from typing import NamedTuple

from chervilpitch.membership import rank
from chervilpitch.model import Catalogue, Upstream

from .budgets import CONNECTION_HEADROOM

__all__ = [
    "ServiceShare",
    "max_users",
    "serving_seats",
    "service_share",
    "used_upstreams",
]

CONNECTIONS_PER_USER = 8
UPSTREAMS_PER_SERVICE = 36


class ServiceShare(NamedTuple):
    """The part of one service that one instance uses.

    Parameters
    ----------
    upstreams : tuple of Upstream
        The upstreams used.
    users : int
        Number of seats of the fleet that may use each of them.
    """

    upstreams: tuple[Upstream, ...]
    users: int


def max_users(connections: int) -> int:
    """Return how many instances may share an upstream's connections.

    Parameters
    ----------
    connections : int
        Connections it accepts, over all instances together.

    Returns
    -------
    int
        At least 1.

    Examples
    --------
    >>> max_users(330)
    37
    """
    return max(1, int(CONNECTION_HEADROOM * connections / CONNECTIONS_PER_USER))


def serving_seats(
    service: str, seats: Mapping[int, str], connections: int
) -> tuple[int, ...]:
    """Return the seats whose instances send requests to a service.

    Parameters
    ----------
    service : str
        Name of the service.
    seats : mapping of int to str
        Failure domain of each seat.
    connections : int
        Connections that each upstream of the service accepts, for all instances.

    Returns
    -------
    tuple of int
        All seats when the connections are enough for them, else the same few seats
        of every failure domain on every instance, in order.

    Examples
    --------
    >>> serving_seats("desk", {0: "punjab/a", 1: "punjab/b"}, 330)
    (0, 1)
    """
    users = max_users(connections)
    if len(seats) <= users:
        return tuple(sorted(seats))
    members: dict[str, list[str]] = {}
    for seat, domain in seats.items():
        members.setdefault(domain, []).append(str(seat))
    per_domain = max(1, users // len(members))
    chosen = []
    for domain in sorted(members):
        chosen.extend(rank(service, members[domain])[:per_domain])
    return tuple(sorted(int(seat) for seat in chosen))


def service_share(
    service: str, upstreams: tuple[Upstream, ...], seat: int, seats: Mapping[int, str]
) -> ServiceShare:
    """Return the upstreams of a service that the instance of a seat uses.

    Parameters
    ----------
    service : str
        Name of the service.
    upstreams : tuple of Upstream
        All upstreams of the service, at least one.
    seat : int
        Seat of the instance.
    seats : mapping of int to str
        Failure domain of each seat.

    Returns
    -------
    ServiceShare
        Empty when the seat is not among those that serve.

    Notes
    -----
    A service of more than ``UPSTREAMS_PER_SERVICE`` is cut down by turns over the
    failure domains, so every domain keeps its fair part and losing one takes
    only that part away.
    """
    connections = min(upstream.connections for upstream in upstreams)
    users = serving_seats(service, seats, connections)
    if seat not in users:
        return ServiceShare((), len(users))
    if len(upstreams) <= UPSTREAMS_PER_SERVICE:
        return ServiceShare(upstreams, len(users))
    return ServiceShare(_spread(f"{service}/{seat}", upstreams), len(users))


def used_upstreams(catalogue: Catalogue, seat: int) -> dict[str, ServiceShare]:
    """Return what the instance of a seat uses of each service.

    Parameters
    ----------
    catalogue : Catalogue
        The catalogue in force.
    seat : int
        Seat of the instance.

    Returns
    -------
    dict of str to ServiceShare
        Services without a part for this seat are left out.
    """
    by_service: dict[str, list[Upstream]] = {}
    for name in sorted(catalogue.upstreams):
        upstream = catalogue.upstreams[name]
        by_service.setdefault(upstream.service, []).append(upstream)
    shares = {
        service: service_share(service, tuple(members), seat, catalogue.seats)
        for service, members in by_service.items()
    }
    return {service: share for service, share in shares.items() if share.upstreams}


def _spread(key, upstreams):
    by_name = {upstream.name: upstream for upstream in upstreams}
    queues: dict[str, list[str]] = {}
    for name in rank(key, by_name):
        queues.setdefault(by_name[name].failure_domain, []).append(name)
    chosen: list[str] = []
    while len(chosen) < UPSTREAMS_PER_SERVICE:
        for domain in sorted(queues):
            chosen.extend(queues[domain][:1])
            del queues[domain][:1]
    return tuple(by_name[name] for name in chosen[:UPSTREAMS_PER_SERVICE])
