"""Decoding of the entries that upstreams write to the store."""

import math
from typing import Any

from result import Result

from chervilpitch.model import UpstreamEntry

from .decoding import DecodeError, decode_json, parse_duration_s

__all__ = ["CONFIGURATION_KEY", "ENTRY_PREFIX", "decode_entry"]

CONFIGURATION_KEY = "op/config"
ENTRY_PREFIX = "servers/"
DRAINING_BY_STATE = {"ready": False, "draining": True}
MAX_PORT = 65_535


def decode_entry(key: str, content: bytes) -> Result[UpstreamEntry, DecodeError]:
    """Decode an entry; any deviation from the documented form is an error.

    Parameters
    ----------
    key : str
        Key of the entry; the only place that holds the upstream's id.
    content : bytes
        JSON as stored.

    Returns
    -------
    Result
        The upstream, or the DecodeError that says why the entry is malformed.
    """
    name = key.removeprefix(ENTRY_PREFIX)
    return decode_json(content, lambda body: _entry(name, body))


def _entry(name: str, body: dict[str, Any]) -> UpstreamEntry:
    return UpstreamEntry(
        name=name,
        service=_nonempty_text(body["service"]),
        address=_address(body["address"]),
        failure_domain=_nonempty_text(body["zone"]),
        slots=max(1, _integer(body["capacity"])),
        is_draining=DRAINING_BY_STATE[body["state"]],
        cold_for_s=parse_duration_s(body.get("cold_remaining") or "0ms"),
        born_ms=_integer(body.get("born", 0)),
        sequence=_integer(body["sequence"]),
    )


def _nonempty_text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise DecodeError("expected a non-empty text")
    return value


def _integer(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise DecodeError("expected a whole number")
    if not math.isfinite(value) or value != int(value):
        raise DecodeError("expected a whole number")
    return int(value)


def _address(value: object) -> str:
    host, _, port = _nonempty_text(value).rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise DecodeError("expected HOST:PORT with a port from 1 to 65535")
    return _nonempty_text(value)
