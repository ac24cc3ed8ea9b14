"""Choose the upstreams of each instance so that connections stay within limits."""

from collections.abc import Mapping
from typing import NamedTuple

from chervilpitch.membership import rank
from chervilpitch.model import Catalogue, Upstream

from .concurrency_windows import CONNECTION_HEADROOM

__all__ = [
    "ServiceShare",
    "max_users",
    "service_share",
    "serving_seats",
    "used_upstreams",
]

MIN_CONNECTIONS_PER_USER = 8
MAX_UPSTREAMS_PER_SERVICE = 36


class ServiceShare(NamedTuple):
    """The upstreams of one service that one instance uses.

    Parameters
    ----------
    upstreams : tuple of Upstream
        The upstreams used.
    users : int
        Number of seats whose instances may use each of them.
    """

    upstreams: tuple[Upstream, ...]
    users: int


def max_users(connections: int) -> int:
    """Return the maximum number of instances that share an upstream's connections.

    Parameters
    ----------
    connections : int
        Number of connections it accepts in total.

    Returns
    -------
    int
        At least 1.

    Examples
    --------
    >>> max_users(330)
    37
    """
    return max(1, int(CONNECTION_HEADROOM * connections / MIN_CONNECTIONS_PER_USER))


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
        Number of connections that each upstream of the service accepts in total.

    Returns
    -------
    tuple of int
        All seats if the connections suffice, otherwise an equal number of seats from
        each failure domain. Sorted, and the same on every instance.

    Examples
    --------
    >>> serving_seats("desk", {0: "punjab/a", 1: "punjab/b"}, 330)
    (0, 1)
    """
    users = max_users(connections)
    if len(seats) <= users:
        return tuple(sorted(seats))
    by_domain: dict[str, list[str]] = {}
    for seat, domain in seats.items():
        by_domain.setdefault(domain, []).append(str(seat))
    per_domain = max(1, users // len(by_domain))
    chosen = []
    for domain in sorted(by_domain):
        chosen.extend(rank(service, by_domain[domain])[:per_domain])
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
        Without upstreams if the seat does not serve the service.

    Notes
    -----
    A service with more than ``MAX_UPSTREAMS_PER_SERVICE`` upstreams is reduced by
    taking one from each failure domain in turn. Each domain keeps an equal part, and
    the loss of a domain removes only that part.
    """
    connections = min(upstream.connections for upstream in upstreams)
    users = serving_seats(service, seats, connections)
    if seat not in users:
        return ServiceShare((), len(users))
    if len(upstreams) <= MAX_UPSTREAMS_PER_SERVICE:
        return ServiceShare(upstreams, len(users))
    return ServiceShare(_balanced_subset(f"{service}/{seat}", upstreams), len(users))


def used_upstreams(catalogue: Catalogue, seat: int) -> dict[str, ServiceShare]:
    """Return the upstreams of each service that the instance of a seat uses.

    Parameters
    ----------
    catalogue : Catalogue
        The current catalogue.
    seat : int
        Seat of the instance.

    Returns
    -------
    dict of str to ServiceShare
        Shares by service, without the services that this seat does not serve.
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


def _balanced_subset(key, upstreams):
    by_name = {upstream.name: upstream for upstream in upstreams}
    queues: dict[str, list[str]] = {}
    for name in rank(key, by_name):
        queues.setdefault(by_name[name].failure_domain, []).append(name)
    chosen: list[str] = []
    while len(chosen) < MAX_UPSTREAMS_PER_SERVICE:
        for domain in sorted(queues):
            chosen.extend(queues[domain][:1])
            del queues[domain][:1]
    return tuple(by_name[name] for name in chosen[:MAX_UPSTREAMS_PER_SERVICE])
