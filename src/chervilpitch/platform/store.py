"""Calls to the platform's store and their responses."""

import base64
import json
from enum import StrEnum
from typing import NamedTuple
from urllib.parse import urlencode

from result import Err, Ok, Result

from chervilpitch.model import FIRST_ERA, StoreItem

from .decoding import MALFORMED_ERRORS, DecodeError, whole_number
from .upstreams import Headers, header_value

__all__ = [
    "StoreResponse",
    "StoreProblem",
    "key_target",
    "parse_era",
    "parse_key",
    "parse_range",
    "parse_watch",
    "range_target",
    "watch_target",
]

KEY_PATH = "/api/kv-key"
RANGE_PATH = "/api/kv-range"
WATCH_PATH = "/api/kv-watch"
ERA = b"store-era"
OK_STATUS = 200
NOT_FOUND_STATUS = 404
GONE_STATUS = 410
MAX_ERA_DIGITS = 18
MAX_KEY_BYTES = 200
MAX_REVISION = 2**63 - 1


class StoreProblem(StrEnum):
    """Reason why a call failed."""

    REFUSED = "refused"
    HISTORY_GONE = "history-gone"
    UNREADABLE = "unreadable"
    ERA_CHANGED = "era-changed"
    EARLIER_ERA = "earlier-era"


class StoreResponse(NamedTuple):
    """Items of one response of the store.

    Parameters
    ----------
    items : tuple of StoreItem
        Items that were read or have changed.
    revision : int
        Revision of the store at the time of the response.
    has_more : bool
        Whether the list continues after the last item.
    era : int
        Era of the store, in which the revisions are ordered.
    """

    items: tuple[StoreItem, ...]
    revision: int
    has_more: bool = False
    era: int = FIRST_ERA


def key_target(key: str) -> str:
    """Return the request target that reads one item."""
    return f"{KEY_PATH}?{urlencode({'key': key})}"


def range_target(prefix: str, after: str) -> str:
    """Return the request target that lists items.

    Parameters
    ----------
    prefix : str
        Prefix of their keys.
    after : str
        Last key of the previous page; empty for the first page.
    """
    fields = {"prefix": prefix} | ({"after": after} if after else {})
    return f"{RANGE_PATH}?{urlencode(fields)}"


def watch_target(prefix: str, revision: int, wait_ms: int) -> str:
    """Return the request target that waits for changes.

    Parameters
    ----------
    prefix : str
        Prefix of the keys.
    revision : int
        Revision after which changes are returned.
    wait_ms : int
        Maximum wait in milliseconds.
    """
    fields = {"prefix": prefix, "after": revision, "wait_ms": wait_ms}
    return f"{WATCH_PATH}?{urlencode(fields)}"


def parse_era(headers: Headers) -> Result[int, StoreProblem]:
    """Parse the era that each response of the store states, also one of an error.

    The era rises each time that the store loses acknowledged writes because it is
    restored from a copy. Revisions are ordered within one era only.

    Parameters
    ----------
    headers : sequence of pairs of bytes
        Lower-case names and values.

    Returns
    -------
    Result
        The era, which is the first one if none is stated, or UNREADABLE.
    """
    value = header_value(headers, ERA).strip()
    if not value:
        return Ok(FIRST_ERA)
    if not value.isdigit() or len(value) > MAX_ERA_DIGITS:
        return Err(StoreProblem.UNREADABLE)
    return Ok(int(value))


def parse_key(status: int, body: bytes) -> Result[StoreResponse, StoreProblem]:
    """Parse the response for one item; a missing item yields no items."""
    if status == NOT_FOUND_STATUS:
        return Ok(StoreResponse((), 0))
    return _parse(status, body, lambda fields: [fields])


def parse_range(status: int, body: bytes) -> Result[StoreResponse, StoreProblem]:
    """Parse a page of a list."""
    return _parse(status, body, lambda fields: fields["items"])


def parse_watch(status: int, body: bytes) -> Result[StoreResponse, StoreProblem]:
    """Parse the changes that a watch returned."""
    if status == GONE_STATUS:
        return Err(StoreProblem.HISTORY_GONE)
    return _parse(status, body, lambda fields: fields["events"])


def _parse(status, body, items_of):
    """Parse a response; unreadable items are left out unless all of them are."""
    if status != OK_STATUS:
        return Err(StoreProblem.REFUSED)
    try:
        fields = json.loads(body)
        sent = _list(items_of(fields))
        items = tuple(item for item in map(_item, sent) if item is not None)
        revision = whole_number(fields["current_rev"], MAX_REVISION)
        has_more = bool(fields.get("has_more"))
    except MALFORMED_ERRORS:
        return Err(StoreProblem.UNREADABLE)
    if sent and not items:
        return Err(StoreProblem.UNREADABLE)
    return Ok(StoreResponse(items, revision, has_more))


def _list(value) -> list:
    if not isinstance(value, list):
        raise DecodeError("expected a list")
    return value


def _item(fields) -> StoreItem | None:
    """Return an item, or None if its key or revision can't be read."""
    try:
        key = _key(fields["key"])
        revision = whole_number(fields["revision"], MAX_REVISION)
        is_removed = bool(fields.get("is_removed"))
    except MALFORMED_ERRORS:
        return None
    return StoreItem(key, b"" if is_removed else _value(fields), revision, is_removed)


def _key(value) -> str:
    if len(value.encode()) > MAX_KEY_BYTES:
        raise DecodeError(f"expected a key of up to {MAX_KEY_BYTES} bytes")
    return value


def _value(fields) -> bytes:
    """Return the value of an item, empty if it can't be read."""
    try:
        return base64.b64decode(fields["value"], validate=True)
    except MALFORMED_ERRORS:
        return b""
