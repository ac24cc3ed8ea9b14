"""Decoding of the configuration that operators publish."""

import hashlib
from typing import Any

from result import Result

from chervilpitch.model import (
    AccountQuota,
    CallerLimits,
    Configuration,
    HostRoute,
    RequestKind,
    WeightedService,
)

from .decoding import DecodeError, decode_json, parse_duration_s

__all__ = ["decode_configuration"]

DEFAULT_ATTEMPTS = 1
DEFAULT_PRIORITY = 1
DEFAULT_TIMEOUT = "60s"


def decode_configuration(content: bytes) -> Result[Configuration, DecodeError]:
    """Decode a version of the configuration.

    Parameters
    ----------
    content : bytes
        JSON as stored.

    Returns
    -------
    Result
        The configuration, or the DecodeError that says why it is malformed.
    """
    return decode_json(content, _configuration)


def _configuration(body: dict[str, Any]) -> Configuration:
    accounts = body.get("tenants") or []
    return Configuration(
        version=int(body["version"]),
        routes=tuple(
            _route(entry["host"].lower(), route, bool(accounts))
            for entry in body.get("virtual_hosts") or []
            for route in entry.get("path_routes") or []
        ),
        accounts={item["name"]: _account(item) for item in accounts},
        account_of_key={
            hashlib.sha256(key.encode()).hexdigest(): item["name"]
            for item in accounts
            for key in item.get("api_keys") or []
        },
        limits=_limits(body.get("limits") or {}),
    )


def _route(host: str, route: dict[str, Any], has_accounts: bool) -> HostRoute:
    timeout_s = parse_duration_s(route.get("timeout") or DEFAULT_TIMEOUT)
    return HostRoute(
        name=route["name"],
        host=host,
        prefix=route["prefix"],
        kind=RequestKind(route["kind"]),
        timeout_s=timeout_s,
        aim_s=parse_duration_s(route["aim"]) if route.get("aim") else timeout_s,
        priority=int(route.get("priority", DEFAULT_PRIORITY)),
        services=_services(route),
        max_attempts=max(1, int(route.get("max_attempts") or DEFAULT_ATTEMPTS)),
        needs_key=has_accounts and not route.get("no_auth", False),
    )


def _services(route: dict[str, Any]) -> tuple[WeightedService, ...]:
    split = route.get("traffic_split")
    if not split:
        return (WeightedService(route["service"], 1.0),)
    return tuple(
        WeightedService(part["service"], float(part["weight"])) for part in split
    )


def _account(item: dict[str, Any]) -> AccountQuota:
    priority = item.get("priority")
    return AccountQuota(
        name=item["name"],
        priority=None if priority is None else int(priority),
        rate_per_s=float(item.get("rate_per_s") or 0),
        burst=float(item.get("burst") or 0),
    )


def _limits(item: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        max_header_bytes=int(item.get("max_header_bytes") or default.max_header_bytes),
        max_body_bytes=int(item.get("max_body_bytes") or default.max_body_bytes),
        header_timeout_s=_duration_s(item, "header_timeout", default.header_timeout_s),
        idle_timeout_s=_duration_s(item, "idle_timeout", default.idle_timeout_s),
    )


def _duration_s(item: dict[str, Any], name: str, default_s: float) -> float:
    return parse_duration_s(item[name]) if item.get(name) else default_s
