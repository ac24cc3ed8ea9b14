"""Snapshots: round trip, size of parts and rejection of invalid parts."""

import hashlib
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chervilpitch.model import EMPTY_CATALOGUE, ClientAccount
from chervilpitch.notes import (
    Snapshot,
    SnapshotProblemKind,
    apply,
    read_snapshot,
    take_snapshot,
)
from chervilpitch.notes.snapshot import MAX_PART_BYTES
from tests.notes.helpers import FIRST, first_notes


def large_catalogue():
    """Return a catalogue whose snapshot has several parts."""
    accounts = {f"a-{n}": ClientAccount(f"a-{n}", 1.5, 2.0) for n in range(60_000)}
    return FIRST._replace(accounts=FIRST.accounts | accounts)


@given(first_notes())
def test_snapshot_decodes_to_the_same_catalogue(note):
    catalogue = apply(EMPTY_CATALOGUE, note).unwrap()
    snapshot = take_snapshot(catalogue)
    assert read_snapshot(snapshot.head, snapshot.parts).unwrap() == catalogue


def test_large_catalogue_is_split_into_parts_within_the_limit():
    snapshot = take_snapshot(large_catalogue())
    assert len(snapshot.parts) > 1
    assert all(len(part) <= MAX_PART_BYTES for part in snapshot.parts)
    assert read_snapshot(snapshot.head, snapshot.parts).unwrap() == large_catalogue()


def test_missing_and_swapped_parts_are_rejected():
    snapshot = take_snapshot(large_catalogue())
    missing = read_snapshot(snapshot.head, snapshot.parts[1:])
    swapped = read_snapshot(snapshot.head, snapshot.parts[::-1])
    assert missing.err_value.kind is SnapshotProblemKind.WRONG_PART_COUNT
    assert swapped.err_value.kind is SnapshotProblemKind.WRONG_DIGEST


@pytest.mark.parametrize("rate", [float("nan"), float("inf"), -1.0])
def test_invalid_number_is_rejected(rate):
    accounts = {"fitters": ClientAccount("fitters", rate, 1.0)}
    snapshot = take_snapshot(FIRST._replace(accounts=accounts))
    assert read_snapshot(*snapshot).is_err()


def test_key_of_an_unknown_account_is_rejected():
    snapshot = take_snapshot(FIRST._replace(accounts={}))
    assert read_snapshot(*snapshot).err_value.kind is SnapshotProblemKind.BAD_ITEM


@given(st.binary(max_size=200))
def test_arbitrary_head_without_parts_returns_a_problem(head):
    assert read_snapshot(head, ()).is_err()


@given(st.binary(max_size=60), st.integers(0, 10_000))
def test_damaged_part_returns_a_problem(garbage, where):
    snapshot = take_snapshot(FIRST)
    part = snapshot.parts[0]
    where %= len(part)
    damaged = part[:where] + garbage
    head = json.loads(snapshot.head)
    digests = part_digest(damaged)
    forged = Snapshot(json.dumps(head | {"parts": [digests]}).encode(), (damaged,))
    outcome = read_snapshot(*forged)
    assert outcome.is_err() or damaged == part


def part_digest(part):
    """Return the digest of a part as listed in the head."""
    return hashlib.sha256(part).hexdigest()
