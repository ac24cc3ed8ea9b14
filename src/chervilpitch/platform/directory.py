"""Requests of callers for addresses, and of the platform for readiness."""

import json
from typing import NamedTuple
from urllib.parse import parse_qs

__all__ = [
    "READY_PATH",
    "RESOLVE_PATH",
    "ResolveQuery",
    "encode_addresses",
    "parse_resolve",
]

READY_PATH = "/api/readiness"
RESOLVE_PATH = "/api/resolve"


class ResolveQuery(NamedTuple):
    """A caller's query for addresses.

    Parameters
    ----------
    host : str
        Host that the caller wants to reach.
    region, failure_domain : str
        Location of the caller; empty when it is not stated.
    """

    host: str
    region: str
    failure_domain: str


def parse_resolve(query: str) -> ResolveQuery:
    """Parse the query string of a caller's request.

    Examples
    --------
    >>> parse_resolve("name=a.example&region=north&zone=north-1").failure_domain
    'north-1'
    """
    fields = parse_qs(query)
    values = (fields.get(name, [""])[0] for name in ("name", "region", "zone"))
    return ResolveQuery(*values)


def encode_addresses(addresses: tuple[str, ...], lifetime_s: float) -> bytes:
    """Return the body of a response with addresses.

    Parameters
    ----------
    addresses : tuple of str
        Hosts and ports that callers may use.
    lifetime_s : float
        Seconds that callers may cache the response.
    """
    body = {"addresses": list(addresses), "ttl": f"{round(lifetime_s * 1000)}ms"}
    return json.dumps(body, separators=(",", ":")).encode()
