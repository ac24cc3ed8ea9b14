"""Measure how the cost of release notes and snapshots grows with the catalogue."""

import gc
import tracemalloc
from collections.abc import Iterator

from chervilpitch.model import Catalogue
from chervilpitch.notes import apply, parse, read_snapshot, take_snapshot

from .slopes_fleet import DIGEST, make_catalogue
from .slopes_measure import Point, make_point, time_call

__all__ = ["CHANGES", "measure_garbage_collection", "measure", "make_note_text"]

TOPIC = "notes"
CHANGES = {
    "change an account": "[changed account account-000007]\nrate-per-s = 11\n",
    "withdraw a key": "[withdrawn key {key}]\n",
    "drain an upstream": "[changed upstream target-00007]\ndraining = yes\n",
    "change a route": "[changed route route-00007]\ntimeout-s = 6\n",
    "withdraw an account": "[withdrawn account account-000007]\n",
}
TABLES = ("accounts", "keys", "routes", "upstreams", "seats")


def make_note_text(change: str, catalogue: Catalogue) -> str:
    """Return the text of the next release note with one of `CHANGES`."""
    key = next(iter(catalogue.keys))
    head = f"[note]\nrevision = {catalogue.revision + 1}\nfollows = {DIGEST}\n"
    return head + CHANGES[change].format(key=key)


def measure(scale: float) -> Iterator[Point]:
    """Yield the points of release notes at a fraction of the planned size."""
    catalogue = make_catalogue(scale)
    size = len(catalogue.accounts)
    for change in CHANGES:
        text = make_note_text(change, catalogue)
        note = parse(text, "note").unwrap()
        yield time_call(
            TOPIC, f"parse: {change}", "accounts", size, _make_parse_call(text)
        )
        call = _make_apply_call(catalogue, note)
        yield time_call(TOPIC, f"apply: {change}", "accounts", size, call)
    yield from _measure_snapshots(catalogue)


def _make_parse_call(text):
    return lambda: parse(text, "note").unwrap()


def _make_apply_call(catalogue, note):
    return lambda: apply(catalogue, note).unwrap()


def _measure_snapshots(catalogue) -> Iterator[Point]:
    size = len(catalogue.accounts)
    snapshot = take_snapshot(catalogue)
    point = time_call(
        TOPIC, "take a snapshot", "accounts", size, lambda: _take_snapshot(catalogue)
    )
    yield point
    yield time_call(
        TOPIC,
        "read a snapshot",
        "accounts",
        size,
        lambda: read_snapshot(snapshot.head, snapshot.parts).unwrap(),
    )
    length = len(snapshot.head) + sum(map(len, snapshot.parts))
    yield make_point(TOPIC, "snapshot length", "bytes", "accounts", size, length)
    parts = len(snapshot.parts)
    yield make_point(TOPIC, "snapshot parts", "parts", "accounts", size, parts)
    yield from _measure_tables(snapshot)


def _take_snapshot(catalogue):
    return take_snapshot(catalogue)


def _measure_tables(snapshot) -> Iterator[Point]:
    """Yield the memory of each table of a catalogue decoded from a snapshot.

    Each table is dropped in turn; its size is the memory that this frees.
    """
    gc.collect()
    tracemalloc.start()
    loaded = read_snapshot(snapshot.head, snapshot.parts).unwrap()
    gc.collect()
    count = len(loaded.accounts)
    total_bytes, peak_bytes = tracemalloc.get_traced_memory()
    yield make_point(TOPIC, "catalogue", "bytes", "accounts", count, total_bytes)
    yield make_point(TOPIC, "peak while read", "bytes", "accounts", count, peak_bytes)
    for table in TABLES:
        size = len(getattr(loaded, table))
        total_bytes, _ = tracemalloc.get_traced_memory()
        loaded = loaded._replace(**{table: {}})
        gc.collect()
        remaining_bytes, _ = tracemalloc.get_traced_memory()
        yield make_point(
            TOPIC,
            f"catalogue: {table}",
            "bytes",
            table,
            size,
            total_bytes - remaining_bytes,
        )
    tracemalloc.stop()


def measure_garbage_collection(scale: float) -> Iterator[Point]:
    """Yield the processor time of a full garbage collection with a catalogue held."""
    catalogue = make_catalogue(scale)
    size = len(catalogue.accounts)
    yield time_call(TOPIC, "full garbage collection", "accounts", size, gc.collect)
