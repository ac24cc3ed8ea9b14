"""Calls of the platform's store and their answers."""

import base64
import json
from enum import StrEnum
from typing import NamedTuple
from urllib.parse import urlencode

from result import Err, Ok, Result

from chervilpitch.model import StoreItem

__all__ = [
    "StoreChanges",
    "StoreProblem",
    "key_target",
    "parse_key",
    "parse_range",
    "parse_watch",
    "range_target",
    "watch_target",
]

KEY_PATH = "/api/kv-key"
RANGE_PATH = "/api/kv-range"
WATCH_PATH = "/api/kv-watch"
FOUND = 200
MISSING = 404
HISTORY_GONE = 410


class StoreProblem(StrEnum):
    """Why a call gave nothing."""

    REFUSED = "refused"
    HISTORY_GONE = "history-gone"
    UNREADABLE = "unreadable"


class StoreChanges(NamedTuple):
    """Items of one answer.

    Parameters
    ----------
    items : tuple of StoreItem
        What was read or has changed.
    revision : int
        Revision of the store when it answered.
    has_more : bool
        Whether a list goes on after the last item.
    """

    items: tuple[StoreItem, ...]
    revision: int
    has_more: bool = False


def key_target(key: str) -> str:
    """Return the request target that reads one item."""
    return f"{KEY_PATH}?{urlencode({'key': key})}"


def range_target(prefix: str, after: str) -> str:
    """Return the request target that lists items.

    Parameters
    ----------
    prefix : str
        How their keys begin.
    after : str
        Last key of the page before; empty for the first page.
    """
    fields = {"prefix": prefix} | ({"after": after} if after else {})
    return f"{RANGE_PATH}?{urlencode(fields)}"


def watch_target(prefix: str, revision: int, wait_ms: int) -> str:
    """Return the request target that waits for changes.

    Parameters
    ----------
    prefix : str
        How the keys begin.
    revision : int
        Changes after this revision are meant.
    wait_ms : int
        Longest wait in milliseconds.
    """
    fields = {"prefix": prefix, "after": revision, "wait_ms": wait_ms}
    return f"{WATCH_PATH}?{urlencode(fields)}"


def parse_key(status: int, body: bytes) -> Result[StoreChanges, StoreProblem]:
    """Read the answer about one item; a missing one gives no items."""
    if status == MISSING:
        return Ok(StoreChanges((), 0))
    return _parse(status, body, lambda fields: [fields])


def parse_range(status: int, body: bytes) -> Result[StoreChanges, StoreProblem]:
    """Read a page of a list."""
    return _parse(status, body, lambda fields: fields["items"])


def parse_watch(status: int, body: bytes) -> Result[StoreChanges, StoreProblem]:
    """Read the changes that a watch has seen."""
    if status == HISTORY_GONE:
        return Err(StoreProblem.HISTORY_GONE)
    return _parse(status, body, lambda fields: fields["events"])


def _parse(status, body, items_of):
    if status != FOUND:
        return Err(StoreProblem.REFUSED)
    try:
        fields = json.loads(body)
        items = tuple(_item(item) for item in items_of(fields))
        revision = int(fields["current_rev"])
        return Ok(StoreChanges(items, revision, bool(fields.get("has_more"))))
    except (KeyError, TypeError, ValueError, AttributeError):
        return Err(StoreProblem.UNREADABLE)


def _item(fields) -> StoreItem:
    if fields.get("is_removed"):
        return StoreItem(fields["key"], b"", int(fields["revision"]), True)
    value = base64.b64decode(fields["value"], validate=True)
    return StoreItem(fields["key"], value, int(fields["revision"]))
