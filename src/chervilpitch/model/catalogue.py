"""Catalogue of client accounts, keys, routes and upstreams declared by operators."""

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
    """A client account and its rate limit over the whole fleet.

    Parameters
    ----------
    name : str
        Unique name of the client account.
    rate_per_s : float
        Rate limit in requests per second, over all instances together.
    burst : float
        Requests admitted at once after an idle period, over all instances together.
    """

    name: str
    rate_per_s: float
    burst: float


class Key(NamedTuple):
    """Key of a caller, of which only the digest is stored.

    Parameters
    ----------
    digest : str
        Hexadecimal SHA-256 digest of the key.
    account : str
        Name of the client account to which the key belongs.
    """

    digest: str
    account: str


class Route(NamedTuple):
    """A class of requests and the service that handles them.

    Parameters
    ----------
    name : str
        Unique name of the route.
    prefix : str
        Path prefix, matched by whole segments; the longest match wins.
    service : str
        Name of the service whose upstreams handle the requests.
    timeout_s : float
        Time limit of one request in seconds.
    idempotent : bool
        Whether a request may safely be executed more than once.
    accounts : tuple of str
        Names of the admitted client accounts; if empty, all are admitted.
    """

    name: str
    prefix: str
    service: str
    timeout_s: float
    idempotent: bool
    accounts: tuple[str, ...] = ()


class Upstream(NamedTuple):
    """A backend server of one service.

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
        Maximum number of concurrent requests, over all instances together.
    connections : int
        Maximum number of connections, over all instances together.
    draining : bool
        Whether it must not receive new requests.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int
    connections: int
    draining: bool = False


class Catalogue(NamedTuple):
    """All declared items in force after a release note has been applied.

    Parameters
    ----------
    revision : int
        Revision of the last applied note; 0 if there is none.
    digest : str
        Hexadecimal digest of that note; empty if there is none.
    accounts, keys, routes, upstreams : mapping
        Declared items by name, and keys by digest.
    seats : mapping of int to str
        Failure domain of each seat by its number.
    """

    revision: int
    digest: str
    accounts: Mapping[str, ClientAccount]
    keys: Mapping[str, Key]
    routes: Mapping[str, Route]
    upstreams: Mapping[str, Upstream]
    seats: Mapping[int, str]


EMPTY_CATALOGUE = Catalogue(0, "", {}, {}, {}, {}, {})
