"""Release notes: parse, validate, apply and compare."""

from .applying import apply
from .canonical import canonical, digest
from .changes import (
    Added,
    Change,
    Changed,
    FieldChange,
    ItemKind,
    ReleaseNote,
    Seat,
    Withdrawn,
)
from .comparing import as_text, difference
from .parsing import MAX_NOTE_BYTES, parse
from .problems import NoteProblem, ProblemKind
from .snapshot import (
    Snapshot,
    SnapshotHead,
    SnapshotKind,
    SnapshotProblem,
    read_snapshot,
    read_snapshot_head,
    take_snapshot,
)

__all__ = [
    "Added",
    "Change",
    "Changed",
    "FieldChange",
    "ItemKind",
    "MAX_NOTE_BYTES",
    "NoteProblem",
    "ProblemKind",
    "ReleaseNote",
    "Seat",
    "Snapshot",
    "SnapshotHead",
    "SnapshotKind",
    "SnapshotProblem",
    "Withdrawn",
    "apply",
    "as_text",
    "canonical",
    "difference",
    "digest",
    "parse",
    "read_snapshot",
    "read_snapshot_head",
    "take_snapshot",
]
