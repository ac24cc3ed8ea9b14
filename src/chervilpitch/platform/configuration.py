"""Decoding of the configuration that operators publish."""

import hashlib
import re
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

from .decoding import DecodeError, decode_json, parse_duration_s, whole_number

__all__ = ["decode_configuration"]

DEFAULT_ATTEMPTS = 1
DEFAULT_PRIORITY = 1
DEFAULT_TIMEOUT = "60s"
MAX_COUNT = 2**53 - 1
"""Largest version, priority, number of attempts and size in bytes."""
MAX_AMOUNT = 1e12
"""Largest weight, rate in requests per second and burst in requests."""
HEADER_VALUE_PATTERN = re.compile(r"[!-~](?:[ -~]*[!-~])?")


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
    entries = [
        (_text(entry["host"]).lower(), route)
        for entry in _list(body["virtual_hosts"])
        for route in _list(entry.get("path_routes") or [])
    ]
    return Configuration(
        version=_count(body["version"]),
        routes=tuple(_route(host, route, bool(accounts)) for host, route in entries),
        accounts={item["name"]: _account(item) for item in accounts},
        account_of_key={
            hashlib.sha256(key.encode()).hexdigest(): item["name"]
            for item in accounts
            for key in _list(item.get("api_keys") or [])
        },
        limits=_limits(body.get("limits") or {}),
        unknown_kind_routes=tuple(
            route["name"] for _, route in entries if not _is_known_kind(route["kind"])
        ),
    )


def _route(host: str, route: dict[str, Any], has_accounts: bool) -> HostRoute:
    timeout_s = parse_duration_s(route.get("timeout") or DEFAULT_TIMEOUT)
    return HostRoute(
        name=_text(route["name"]),
        host=host,
        prefix=_text(route["prefix"]),
        kind=_kind(route["kind"]),
        timeout_s=timeout_s,
        aim_s=parse_duration_s(route["aim"]) if route.get("aim") else timeout_s,
        priority=_count(route.get("priority", DEFAULT_PRIORITY)),
        services=_services(route),
        max_attempts=max(1, _count(route.get("max_attempts") or DEFAULT_ATTEMPTS)),
        needs_key=has_accounts and not _flag(route.get("no_auth", False)),
    )


def _kind(value: object) -> RequestKind:
    """Return a kind; requests of an unknown one may not be repeated."""
    text = _text(value)
    return RequestKind(text) if _is_known_kind(text) else RequestKind.UNSAFE


def _is_known_kind(value: str) -> bool:
    return value in RequestKind.__members__.values()


def _services(route: dict[str, Any]) -> tuple[WeightedService, ...]:
    split = route.get("traffic_split")
    if not split:
        return (WeightedService(_text(route["service"]), 1.0),)
    return tuple(
        WeightedService(_text(part["service"]), _amount(part["weight"]))
        for part in split
    )


def _account(item: dict[str, Any]) -> AccountQuota:
    priority = item.get("priority")
    return AccountQuota(
        name=_header_value(item["name"]),
        priority=None if priority is None else _count(priority),
        rate_per_s=_amount(item.get("rate_per_s") or 0),
        burst=_amount(item.get("burst") or 0),
    )


def _limits(item: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        max_header_bytes=_count(
            item.get("max_header_bytes") or default.max_header_bytes
        ),
        max_body_bytes=_count(item.get("max_body_bytes") or default.max_body_bytes),
        header_timeout_s=_duration_s(item, "header_timeout", default.header_timeout_s),
        idle_timeout_s=_duration_s(item, "idle_timeout", default.idle_timeout_s),
    )


def _duration_s(item: dict[str, Any], name: str, default_s: float) -> float:
    return parse_duration_s(item[name]) if item.get(name) else default_s


def _text(value: object) -> str:
    if not isinstance(value, str) or not value or not value.isprintable():
        raise DecodeError("expected a printable text")
    return value


def _header_value(value: object) -> str:
    """Return a text that may be sent to upstreams as the value of a header."""
    if not HEADER_VALUE_PATTERN.fullmatch(_text(value)):
        raise DecodeError("expected a text of ASCII characters")
    return _text(value)


def _list(value: object) -> list[Any]:
    if not isinstance(value, list):
        raise DecodeError("expected a list")
    return value


def _flag(value: object) -> bool:
    if not isinstance(value, bool):
        raise DecodeError("expected true or false")
    return value


def _count(value: object) -> int:
    return whole_number(value, MAX_COUNT)


def _amount(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise DecodeError("expected a number")
    if not 0 <= value <= MAX_AMOUNT:
        raise DecodeError(f"expected a number from 0 to {MAX_AMOUNT}")
    return float(value)
