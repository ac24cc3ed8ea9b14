"""What the operators have declared: client accounts, keys, routes and upstreams."""

from collections.abc import Mapping
from typing import NamedTuple

__all__ = [
    "EMPTY_CATALOGUE",
    "Catalogue",
    "ClientAccount",
    "Key",
    "Route",
    "Upstream",
]


class ClientAccount(NamedTuple):
    """A tenant and the rate it pays for over the whole fleet.

    Parameters
    ----------
    name : str
        Unique name of the client account.
    rate_per_s : float
        Requests per second over all instances together.
    burst : float
        Requests admitted at once after a quiet time, over all instances together.
    """

    name: str
    rate_per_s: float
    burst: float


class Key(NamedTuple):
    """A caller's key, known by its digest only.

    Parameters
    ----------
    digest : str
        Hexadecimal SHA-256 digest of the key.
    account : str
        Name of the client account that the key belongs to.
    """

    digest: str
    account: str


class Route(NamedTuple):
    """A class of requests and the service that answers them.

    Parameters
    ----------
    name : str
        Unique name of the route.
    prefix : str
        Path prefix matched on whole segments; the longest match wins.
    service : str
        Name of the service whose upstreams answer.
    timeout_s : float
        Time limit of one request in seconds.
    idempotent : bool
        Whether a request may be run more than once.
    accounts : tuple of str
        Names of the client accounts admitted; empty admits every one.
    """

    name: str
    prefix: str
    service: str
    timeout_s: float
    idempotent: bool
    accounts: tuple[str, ...] = ()


class Upstream(NamedTuple):
    """A back end target behind one service.

    Parameters
    ----------
    name : str
        Unique name of the upstream.
    service : str
        Name of the service it belongs to.
    address : str
        Host and port, ``"127.0.0.1:9001"``.
    failure_domain : str
        Failure domain, written ``"region/domain"``.
    slots : int
        Requests it runs at once, over all instances together.
    connections : int
        Connections it accepts, over all instances together.
    draining : bool
        Whether it must get no new work.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int
    connections: int
    draining: bool = False


class Catalogue(NamedTuple):
    """Everything in force after one release note.

    Parameters
    ----------
    revision : int
        Revision of the last note applied; 0 for none.
    digest : str
        Hexadecimal digest of that note; empty for none.
    accounts, keys, routes, upstreams : mapping
        Declared items by name; keys by digest.
    seats : mapping of int to str
        Failure domain of each seat of the fleet, by seat number.
    """

    revision: int
    digest: str
    accounts: Mapping[str, ClientAccount]
    keys: Mapping[str, Key]
    routes: Mapping[str, Route]
    upstreams: Mapping[str, Upstream]
    seats: Mapping[int, str]


EMPTY_CATALOGUE = Catalogue(0, "", {}, {}, {}, {}, {})
