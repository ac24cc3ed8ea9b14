"""Fleets and catalogues of a chosen part of the planned size."""

import hashlib

from chervilpitch.model import (
    Catalogue,
    ClientAccount,
    Instance,
    Key,
    Route,
    Upstream,
)

__all__ = [
    "DIGEST",
    "DOMAINS",
    "FULL",
    "SCALES",
    "catalogue",
    "fleet",
    "key_of",
    "sizes",
]

FULL = {
    "daemons": 3_700,
    "upstreams": 51_000,
    "services": 3_200,
    "routes": 11_000,
    "accounts": 100_000,
    "keys": 100_000,
}
SCALES = (0.125, 0.25, 0.5, 1.0)
DOMAINS = tuple(f"region-{r}/domain-{d}" for r in range(4) for d in range(3))
DIGEST = "d" * 64


def sizes(scale: float) -> dict[str, int]:
    """Return the counts at a part of the planned size."""
    return {name: round(count * scale) for name, count in FULL.items()}


def key_of(number: int) -> str:
    """Return the text of a key."""
    return f"key-of-a-caller-{number:06d}"


def fleet(count: int) -> dict[str, Instance]:
    """Return the instances of a fleet, by name.

    Parameters
    ----------
    count : int
        How many.

    Returns
    -------
    dict of str to Instance
        Spread evenly over `DOMAINS`.
    """
    made = (_instance(number) for number in range(count))
    return {instance.name: instance for instance in made}


def catalogue(scale: float) -> Catalogue:
    """Return a catalogue at a part of the planned size.

    Parameters
    ----------
    scale : float
        1.0 for the whole size.

    Returns
    -------
    Catalogue
        Every reference leads to an item.
    """
    counts = sizes(scale)
    accounts = [_account(n) for n in range(counts["accounts"])]
    keys = [_key(n) for n in range(counts["keys"])]
    routes = [_route(n, counts["services"]) for n in range(counts["routes"])]
    upstreams = [_upstream(n, counts["services"]) for n in range(counts["upstreams"])]
    return Catalogue(
        1,
        DIGEST,
        {item.name: item for item in accounts},
        {item.digest: item for item in keys},
        {item.name: item for item in routes},
        {item.name: item for item in upstreams},
        {n: DOMAINS[n % len(DOMAINS)] for n in range(counts["daemons"])},
    )


def _instance(number):
    domain = DOMAINS[number % len(DOMAINS)]
    host = f"10.{number // 65_536}.{number // 256 % 256}.{number % 256}"
    name = f"{domain.replace('/', '-')}-{number:04d}"
    return Instance(name, number, domain, f"{host}:8080", f"{host}:8081")


def _account(number):
    return ClientAccount(f"account-{number:06d}", 10.0, 20.0)


def _key(number):
    digest = hashlib.sha256(key_of(number).encode()).hexdigest()
    return Key(digest, f"account-{number:06d}")


def _route(number, services):
    service = f"service-{number % services:04d}"
    return Route(f"route-{number:05d}", f"/{service}/r{number}", service, 5.0, True)


def _upstream(number, services):
    host = f"10.{128 + number // 65_536}.{number // 256 % 256}.{number % 256}"
    domain = DOMAINS[number // services % len(DOMAINS)]
    service = f"service-{number % services:04d}"
    return Upstream(f"target-{number:05d}", service, f"{host}:9000", domain, 4, 330)
