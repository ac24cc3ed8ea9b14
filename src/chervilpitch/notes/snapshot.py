"""Snapshots of a catalogue, in parts that each fit into one platform value."""

import hashlib
import json
import math
import zlib
from collections.abc import Iterator, Sequence
from enum import StrEnum
from typing import Any, NamedTuple

from pydantic import BaseModel, ConfigDict, ValidationError
from result import Err, Ok, Result

from chervilpitch.model import Catalogue, ClientAccount, Key, Route, Upstream

__all__ = [
    "MAX_PART_BYTES",
    "Snapshot",
    "SnapshotHead",
    "SnapshotProblem",
    "SnapshotProblemKind",
    "read_snapshot",
    "read_snapshot_head",
    "take_snapshot",
]

MAX_PART_BYTES = 900_000
MAX_PARTS = 200
PART_OVERHEAD_BYTES = 200
DIGEST_HEX_DIGITS = 64


class SnapshotProblemKind(StrEnum):
    """Kinds of problems of a snapshot."""

    BAD_HEAD = "bad-head"
    WRONG_PART_COUNT = "wrong-part-count"
    WRONG_DIGEST = "wrong-digest"
    BAD_PART = "bad-part"
    BAD_ITEM = "bad-item"


class SnapshotProblem(NamedTuple):
    """Reason why a snapshot could not be decoded.

    Parameters
    ----------
    kind : SnapshotProblemKind
        Kind of the problem.
    part : int
        Number of the part from 0; -1 for the head or the whole snapshot.
    """

    kind: SnapshotProblemKind
    part: int


class SnapshotHead(NamedTuple):
    """Head of a snapshot, which identifies its parts.

    Parameters
    ----------
    revision : int
        Revision of the catalogue.
    digest : str
        Digest of the note that led to the catalogue.
    parts : tuple of str
        SHA-256 digest of each part, in order.
    """

    revision: int
    digest: str
    parts: tuple[str, ...]


class Snapshot(NamedTuple):
    """An encoded snapshot, ready to be published or sent.

    Parameters
    ----------
    head : bytes
        Encoded `SnapshotHead`.
    parts : tuple of bytes
        Encoded parts.
    """

    head: bytes
    parts: tuple[bytes, ...]


class _HeadModel(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)
    revision: int
    digest: str
    parts: list[str]


class _PartModel(BaseModel):
    model_config = ConfigDict(extra="forbid")
    accounts: list[ClientAccount] = []
    keys: list[Key] = []
    routes: list[Route] = []
    upstreams: list[Upstream] = []
    seats: list[tuple[int, str]] = []


def take_snapshot(catalogue: Catalogue) -> Snapshot:
    """Encode a catalogue as a snapshot.

    Parameters
    ----------
    catalogue : Catalogue
        The catalogue.

    Returns
    -------
    Snapshot
        Head in JSON, and parts in JSON compressed with zlib; equal for equal
        catalogues.

    Examples
    --------
    >>> from chervilpitch.model import EMPTY_CATALOGUE
    >>> snapshot = take_snapshot(EMPTY_CATALOGUE)
    >>> read_snapshot(snapshot.head, snapshot.parts).ok_value == EMPTY_CATALOGUE
    True
    """
    parts = tuple(zlib.compress(text.encode()) for text in _part_texts(catalogue))
    head = {
        "revision": catalogue.revision,
        "digest": catalogue.digest,
        "parts": [_sha256(part) for part in parts],
    }
    return Snapshot(json.dumps(head).encode(), parts)


def _rows(catalogue: Catalogue) -> Iterator[tuple[str, Any]]:
    """Yield each item with the name of its table, in a stable order."""
    for table in ("accounts", "keys", "routes", "upstreams"):
        items = getattr(catalogue, table)
        yield from ((table, items[name]) for name in sorted(items))
    yield from (("seats", seat) for seat in sorted(catalogue.seats.items()))


def _part_texts(catalogue: Catalogue) -> Iterator[str]:
    """Yield the JSON texts of the parts, each within `MAX_PART_BYTES`."""
    tables: dict[str, list[str]] = {}
    size = PART_OVERHEAD_BYTES
    for table, row in _rows(catalogue):
        text = json.dumps(row, separators=(",", ":"))
        if size + len(text) + 1 > MAX_PART_BYTES:
            yield _part_text(tables)
            tables, size = {}, PART_OVERHEAD_BYTES
        tables.setdefault(table, []).append(text)
        size += len(text) + 1
    if tables:
        yield _part_text(tables)


def _part_text(tables: dict[str, list[str]]) -> str:
    members = [f'"{table}":[{",".join(rows)}]' for table, rows in tables.items()]
    return "{" + ",".join(members) + "}"


def read_snapshot_head(head: bytes) -> Result[SnapshotHead, SnapshotProblem]:
    """Decode the head of a snapshot.

    Parameters
    ----------
    head : bytes
        The encoded head.

    Returns
    -------
    Result
        The head, or its problem.

    Examples
    --------
    >>> read_snapshot_head(b"{").err_value.kind.value
    'bad-head'
    """
    problem = SnapshotProblem(SnapshotProblemKind.BAD_HEAD, -1)
    if len(head) > MAX_PART_BYTES:
        return Err(problem)
    try:
        model = _HeadModel.model_validate_json(head)
    except ValidationError:
        return Err(problem)
    digests = (*model.parts, model.digest or "0" * DIGEST_HEX_DIGITS)
    if model.revision < 0 or len(model.parts) > MAX_PARTS:
        return Err(problem)
    if any(len(digest) != DIGEST_HEX_DIGITS for digest in digests):
        return Err(problem)
    return Ok(SnapshotHead(model.revision, model.digest, tuple(model.parts)))


def read_snapshot(
    head: bytes, parts: Sequence[bytes]
) -> Result[Catalogue, SnapshotProblem]:
    """Decode a snapshot.

    Parameters
    ----------
    head : bytes
        The encoded head.
    parts : sequence of bytes
        The encoded parts, in order.

    Returns
    -------
    Result
        The catalogue, or the first problem.
    """
    decoded = read_snapshot_head(head)
    if decoded.is_err():
        return decoded
    listed = decoded.ok_value
    if len(listed.parts) != len(parts):
        return Err(SnapshotProblem(SnapshotProblemKind.WRONG_PART_COUNT, -1))
    catalogue = Catalogue(listed.revision, listed.digest, {}, {}, {}, {}, {})
    for number, (digest, part) in enumerate(zip(listed.parts, parts)):
        if _sha256(part) != digest:
            return Err(SnapshotProblem(SnapshotProblemKind.WRONG_DIGEST, number))
        if not _add_part(catalogue, part):
            return Err(SnapshotProblem(SnapshotProblemKind.BAD_PART, number))
    if not _is_consistent(catalogue):
        return Err(SnapshotProblem(SnapshotProblemKind.BAD_ITEM, -1))
    return Ok(catalogue)


def _add_part(catalogue: Catalogue, part: bytes) -> bool:
    """Add the items of a part to the catalogue; return whether it was valid."""
    try:
        decoder = zlib.decompressobj()
        text = decoder.decompress(part, MAX_PART_BYTES)
        model = _PartModel.model_validate_json(text)
    except (zlib.error, ValidationError):
        return False
    catalogue.accounts.update((item.name, item) for item in model.accounts)
    catalogue.keys.update((item.digest, item) for item in model.keys)
    catalogue.routes.update((item.name, item) for item in model.routes)
    catalogue.upstreams.update((item.name, item) for item in model.upstreams)
    catalogue.seats.update(model.seats)
    return decoder.eof


def _is_consistent(catalogue: Catalogue) -> bool:
    """Whether all numbers are positive and finite and all references resolve."""
    accounts = catalogue.accounts
    services = {upstream.service for upstream in catalogue.upstreams.values()}
    return (
        all(_is_positive_finite(a.rate_per_s, a.burst) for a in accounts.values())
        and all(key.account in accounts for key in catalogue.keys.values())
        and all(_is_positive_finite(r.timeout_s) for r in catalogue.routes.values())
        and all(r.service in services for r in catalogue.routes.values())
        and all(a in accounts for r in catalogue.routes.values() for a in r.accounts)
        and all(_is_positive_finite(u.slots) for u in catalogue.upstreams.values())
        and all(
            _is_positive_finite(u.connections) for u in catalogue.upstreams.values()
        )
    )


def _is_positive_finite(*numbers: float) -> bool:
    return all(0 < number < math.inf for number in numbers)


def _sha256(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()
