"""Synthetic fleets and catalogues at a fraction of the planned size."""

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
    "PLANNED_COUNTS",
    "SCALES",
    "make_catalogue",
    "make_fleet",
    "make_key_text",
    "scaled_counts",
]

PLANNED_COUNTS = {
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


def scaled_counts(scale: float) -> dict[str, int]:
    """Return the planned counts multiplied by a scale."""
    return {name: round(count * scale) for name, count in PLANNED_COUNTS.items()}


def make_key_text(number: int) -> str:
    """Return the secret text of a synthetic key."""
    return f"key-of-a-caller-{number:06d}"


def make_fleet(count: int) -> dict[str, Instance]:
    """Return the instances of a fleet, spread evenly over `DOMAINS`, by name."""
    instances = (_make_instance(number) for number in range(count))
    return {instance.name: instance for instance in instances}


def make_catalogue(scale: float) -> Catalogue:
    """Return a catalogue at a fraction of the planned size.

    Parameters
    ----------
    scale : float
        Fraction of the planned size; 1.0 is the planned size.

    Returns
    -------
    Catalogue
        Every reference between its items can be resolved.
    """
    counts = scaled_counts(scale)
    accounts = [_make_account(n) for n in range(counts["accounts"])]
    keys = [_make_key(n) for n in range(counts["keys"])]
    routes = [_make_route(n, counts["services"]) for n in range(counts["routes"])]
    upstreams = [
        _make_upstream(n, counts["services"]) for n in range(counts["upstreams"])
    ]
    return Catalogue(
        1,
        DIGEST,
        {item.name: item for item in accounts},
        {item.digest: item for item in keys},
        {item.name: item for item in routes},
        {item.name: item for item in upstreams},
        {n: DOMAINS[n % len(DOMAINS)] for n in range(counts["daemons"])},
    )


def _make_instance(number):
    domain = DOMAINS[number % len(DOMAINS)]
    host = f"10.{number // 65_536}.{number // 256 % 256}.{number % 256}"
    name = f"{domain.replace('/', '-')}-{number:04d}"
    return Instance(name, number, domain, f"{host}:8080", f"{host}:8081")


def _make_account(number):
    return ClientAccount(f"account-{number:06d}", 10.0, 20.0)


def _make_key(number):
    digest = hashlib.sha256(make_key_text(number).encode()).hexdigest()
    return Key(digest, f"account-{number:06d}")


def _make_route(number, services):
    service = f"service-{number % services:04d}"
    return Route(f"route-{number:05d}", f"/{service}/r{number}", service, 5.0, True)


def _make_upstream(number, services):
    host = f"10.{128 + number // 65_536}.{number // 256 % 256}.{number % 256}"
    domain = DOMAINS[number // services % len(DOMAINS)]
    service = f"service-{number % services:04d}"
    return Upstream(f"target-{number:05d}", service, f"{host}:9000", domain, 4, 330)
