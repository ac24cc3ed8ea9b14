"""Snapshots: parts below the size limit, read back or refused with a type."""

import hashlib
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chervilpitch.model import EMPTY_CATALOGUE, ClientAccount
from chervilpitch.notes import (
    Snapshot,
    SnapshotKind,
    apply,
    read_snapshot,
    take_snapshot,
)
from chervilpitch.notes.snapshot import MAX_PART_BYTES
from tests.notes.helpers import FIRST, first_notes


def large_catalogue():
    """Return a catalogue that needs several parts."""
    accounts = {f"a-{n}": ClientAccount(f"a-{n}", 1.5, 2.0) for n in range(60_000)}
    return FIRST._replace(accounts=FIRST.accounts | accounts)


@given(first_notes())
def test_snapshot_reads_back_to_the_same_catalogue(note):
    catalogue = apply(EMPTY_CATALOGUE, note).unwrap()
    snapshot = take_snapshot(catalogue)
    assert read_snapshot(snapshot.head, snapshot.parts).unwrap() == catalogue


def test_large_catalogue_is_cut_into_parts_below_the_limit():
    snapshot = take_snapshot(large_catalogue())
    assert len(snapshot.parts) > 1
    assert all(len(part) <= MAX_PART_BYTES for part in snapshot.parts)
    assert read_snapshot(snapshot.head, snapshot.parts).unwrap() == large_catalogue()


def test_missing_and_swapped_parts_are_refused():
    snapshot = take_snapshot(large_catalogue())
    missing = read_snapshot(snapshot.head, snapshot.parts[1:])
    swapped = read_snapshot(snapshot.head, snapshot.parts[::-1])
    assert missing.err_value.kind is SnapshotKind.WRONG_PART_COUNT
    assert swapped.err_value.kind is SnapshotKind.WRONG_DIGEST


@pytest.mark.parametrize("rate", [float("nan"), float("inf"), -1.0])
def test_impossible_number_is_refused(rate):
    accounts = {"fitters": ClientAccount("fitters", rate, 1.0)}
    snapshot = take_snapshot(FIRST._replace(accounts=accounts))
    assert read_snapshot(*snapshot).is_err()


def test_key_of_an_unknown_account_is_refused():
    snapshot = take_snapshot(FIRST._replace(accounts={}))
    assert read_snapshot(*snapshot).err_value.kind is SnapshotKind.BAD_ITEM


@given(st.binary(max_size=200))
def test_any_head_gives_typed_failure(head):
    assert read_snapshot(head, ()).is_err()


@given(st.binary(max_size=60), st.integers(0, 10_000))
def test_damaged_part_gives_typed_failure(garbage, where):
    snapshot = take_snapshot(FIRST)
    part = snapshot.parts[0]
    where %= len(part)
    damaged = part[:where] + garbage
    head = json.loads(snapshot.head)
    digests = take_digest(damaged)
    forged = Snapshot(json.dumps(head | {"parts": [digests]}).encode(), (damaged,))
    outcome = read_snapshot(*forged)
    assert outcome.is_err() or damaged == part


def take_digest(part):
    """Return the digest that a head lists for a part."""
    return hashlib.sha256(part).hexdigest()
