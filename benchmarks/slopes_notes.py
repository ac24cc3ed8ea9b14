"""Slopes of release notes: held, parsed, applied, and as snapshots."""

import gc
import tracemalloc
from collections.abc import Iterator

from chervilpitch.model import Catalogue
from chervilpitch.notes import apply, parse, read_snapshot, take_snapshot

from .slopes_fleet import DIGEST, catalogue
from .slopes_measure import Point, timed, value

__all__ = ["CHANGES", "collections", "measure", "note_text"]

TOPIC = "notes"
CHANGES = {
    "change an account": "[changed account account-000007]\nrate-per-s = 11\n",
    "withdraw a key": "[withdrawn key {key}]\n",
    "drain an upstream": "[changed upstream target-00007]\ndraining = yes\n",
    "change a route": "[changed route route-00007]\ntimeout-s = 6\n",
    "withdraw an account": "[withdrawn account account-000007]\n",
}
TABLES = ("accounts", "keys", "routes", "upstreams", "seats")


def note_text(change: str, before: Catalogue) -> str:
    """Return the text of a note that makes one of `CHANGES`."""
    key = next(iter(before.keys))
    head = f"[note]\nrevision = {before.revision + 1}\nfollows = {DIGEST}\n"
    return head + CHANGES[change].format(key=key)


def measure(scale: float) -> Iterator[Point]:
    """Yield the points of release notes at a part of the planned size."""
    before = catalogue(scale)
    size = len(before.accounts)
    for change in CHANGES:
        text = note_text(change, before)
        note = parse(text, "note").unwrap()
        yield timed(TOPIC, f"parse: {change}", "accounts", size, _parsing(text))
        call = _applying(before, note)
        yield timed(TOPIC, f"apply: {change}", "accounts", size, call)
    yield from _snapshots(before)


def _parsing(text):
    return lambda: parse(text, "note").unwrap()


def _applying(before, note):
    return lambda: apply(before, note).unwrap()


def _snapshots(before) -> Iterator[Point]:
    size = len(before.accounts)
    taken = take_snapshot(before)
    taking = timed(TOPIC, "take a snapshot", "accounts", size, lambda: _take(before))
    yield taking
    yield timed(
        TOPIC,
        "read a snapshot",
        "accounts",
        size,
        lambda: read_snapshot(taken.head, taken.parts).unwrap(),
    )
    length = len(taken.head) + sum(map(len, taken.parts))
    yield value(TOPIC, "snapshot length", "bytes", "accounts", size, length)
    parts = len(taken.parts)
    yield value(TOPIC, "snapshot parts", "parts", "accounts", size, parts)
    yield from _held(taken)


def _take(before):
    return take_snapshot(before)


def _held(taken) -> Iterator[Point]:
    """Yield the bytes of each table of a catalogue that came as a snapshot."""
    gc.collect()
    tracemalloc.start()
    held = read_snapshot(taken.head, taken.parts).unwrap()
    gc.collect()
    count = len(held.accounts)
    whole, peak = tracemalloc.get_traced_memory()
    yield value(TOPIC, "catalogue", "bytes", "accounts", count, whole)
    yield value(TOPIC, "peak while read", "bytes", "accounts", count, peak)
    for table in TABLES:
        size = len(getattr(held, table))
        whole, _ = tracemalloc.get_traced_memory()
        held = held._replace(**{table: {}})
        gc.collect()
        left, _ = tracemalloc.get_traced_memory()
        yield value(TOPIC, f"catalogue: {table}", "bytes", table, size, whole - left)
    tracemalloc.stop()


def collections(scale: float) -> Iterator[Point]:
    """Yield the processor time of one full garbage collection."""
    held = catalogue(scale)
    size = len(held.accounts)
    yield timed(TOPIC, "full garbage collection", "accounts", size, gc.collect)
