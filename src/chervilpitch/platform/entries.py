"""Decoding of the entries that upstreams write to the store."""

import ipaddress
import re
from typing import Any

from result import Err, Result

from chervilpitch.model import UpstreamEntry

from .decoding import DecodeError, decode_json, parse_duration_s, whole_number

__all__ = ["CONFIGURATION_KEY", "ENTRY_PREFIX", "decode_entry"]

CONFIGURATION_KEY = "op/config"
ENTRY_PREFIX = "servers/"
DRAINING_BY_STATE = {"ready": False, "draining": True}
MAX_ENTRY_BYTES = 4_096
MAX_NAME_CHARACTERS = 200
MAX_TEXT_CHARACTERS = 200
MAX_PORT = 65_535
MAX_SLOTS = 1_000_000
MAX_COLD_S = 3_600.0
MAX_BORN_MS = 9_999_999_999_999
"""Unix milliseconds, in the year 2286."""
MAX_SEQUENCE = 999_999_999_999
NAME_PATTERN = re.compile(r"[!-~]+")
PORT_PATTERN = re.compile(r"[0-9]{1,5}")


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
    if len(content) > MAX_ENTRY_BYTES:
        return Err(DecodeError(f"longer than {MAX_ENTRY_BYTES} bytes"))
    name = key.removeprefix(ENTRY_PREFIX)
    return decode_json(content, lambda body: _entry(name, body))


def _entry(name: str, body: dict[str, Any]) -> UpstreamEntry:
    return UpstreamEntry(
        name=_name(name),
        service=_text(body["service"]),
        address=_address(body["address"]),
        failure_domain=_text(body["zone"]),
        slots=max(1, whole_number(body["capacity"], MAX_SLOTS)),
        is_draining=DRAINING_BY_STATE[body["state"]],
        cold_for_s=_cold_for_s(body.get("cold_remaining", "0ms")),
        born_ms=whole_number(body.get("born", 0), MAX_BORN_MS),
        sequence=whole_number(body["sequence"], MAX_SEQUENCE),
    )


def _name(value: str) -> str:
    """Return an id that may be sent as the value of a header."""
    if len(value) > MAX_NAME_CHARACTERS or not NAME_PATTERN.fullmatch(value):
        raise DecodeError("expected an id of visible ASCII characters")
    return value


def _text(value: object) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_CHARACTERS:
        raise DecodeError(f"expected a text of 1 to {MAX_TEXT_CHARACTERS} characters")
    if not value.isprintable():
        raise DecodeError("expected a printable text")
    return value


def _cold_for_s(value: object) -> float:
    seconds = parse_duration_s(value)
    if seconds > MAX_COLD_S:
        raise DecodeError(f"expected a duration of up to {MAX_COLD_S} s")
    return seconds


def _address(value: object) -> str:
    """Return the address of one host; a host name is refused, as it blocks."""
    text = _text(value)
    host, _, port = text.rpartition(":")
    if not PORT_PATTERN.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise DecodeError(f"expected HOST:PORT with a port from 1 to {MAX_PORT}")
    address = ipaddress.IPv4Address(host)
    if address.is_unspecified or address.is_multicast or address.is_reserved:
        raise DecodeError("expected the IPv4 address of one host")
    return text
