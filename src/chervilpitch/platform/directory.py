"""Questions of callers about addresses, and of the platform about readiness."""

import json
from typing import NamedTuple
from urllib.parse import parse_qs

__all__ = [
    "READY_PATH",
    "RESOLVE_PATH",
    "ResolveQuestion",
    "encode_addresses",
    "parse_resolve",
]

READY_PATH = "/api/readiness"
RESOLVE_PATH = "/api/resolve"


class ResolveQuestion(NamedTuple):
    """Where a caller is that asks for addresses.

    Parameters
    ----------
    host : str
        Host that it wants to reach.
    region, failure_domain : str
        Where it is; empty when it doesn't say.
    """

    host: str
    region: str
    failure_domain: str


def parse_resolve(query: str) -> ResolveQuestion:
    """Read the query of a caller.

    Examples
    --------
    >>> parse_resolve("name=a.example&region=north&zone=north-1").failure_domain
    'north-1'
    """
    fields = parse_qs(query)
    values = (fields.get(name, [""])[0] for name in ("name", "region", "zone"))
    return ResolveQuestion(*values)


def encode_addresses(addresses: tuple[str, ...], lifetime_s: float) -> bytes:
    """Return the body of an answer.

    Parameters
    ----------
    addresses : tuple of str
        Hosts and ports that callers may use.
    lifetime_s : float
        Seconds that callers may keep the answer.
    """
    body = {"addresses": list(addresses), "ttl": f"{round(lifetime_s * 1000)}ms"}
    return json.dumps(body, separators=(",", ":")).encode()
