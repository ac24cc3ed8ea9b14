"""Decodes what upstreams write about themselves in the store."""

import math
from typing import Any

from result import Result

from chervilpitch.model import UpstreamEntry

from .units import DecodeError, decode_json, seconds

__all__ = ["CONFIGURATION_KEY", "ENTRY_PREFIX", "decode_entry"]

CONFIGURATION_KEY = "op/config"
ENTRY_PREFIX = "servers/"
IS_DRAINING = {"ready": False, "draining": True}
MAX_PORT = 65_535


def decode_entry(key: str, content: bytes) -> Result[UpstreamEntry, DecodeError]:
    """Decode one entry; anything that is not in the documented form is an error.

    Parameters
    ----------
    key : str
        Key of the entry; the upstream's id stands in it alone.
    content : bytes
        JSON as it lies in the store.

    Returns
    -------
    Result
        The upstream, or why the entry names none.
    """
    name = key.removeprefix(ENTRY_PREFIX)
    return decode_json(content, lambda body: _entry(name, body))


def _entry(name: str, body: dict[str, Any]) -> UpstreamEntry:
    return UpstreamEntry(
        name=name,
        service=_text(body["service"]),
        address=_address(body["address"]),
        failure_domain=_text(body["zone"]),
        slots=max(1, _whole(body["capacity"])),
        is_draining=IS_DRAINING[body["state"]],
        cold_for_s=seconds(body.get("cold_remaining") or "0ms"),
        born_ms=_whole(body.get("born", 0)),
        sequence=_whole(body["sequence"]),
    )


def _text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise DecodeError("a name was expected")
    return value


def _whole(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise DecodeError("a whole number was expected")
    if not math.isfinite(value) or value != int(value):
        raise DecodeError("a whole number was expected")
    return int(value)


def _address(value: object) -> str:
    host, _, port = _text(value).rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise DecodeError("a host and port were expected")
    return _text(value)
