"""Release notes: parsing, validation, application and comparison."""

from .applying import apply
from .canonical import canonical_text, digest
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
from .comparing import difference, format_changes
from .parsing import MAX_NOTE_BYTES, parse
from .problems import NoteProblem, ProblemKind
from .snapshot import (
    Snapshot,
    SnapshotHead,
    SnapshotProblem,
    SnapshotProblemKind,
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
    "SnapshotProblem",
    "SnapshotProblemKind",
    "Withdrawn",
    "apply",
    "canonical_text",
    "difference",
    "digest",
    "format_changes",
    "parse",
    "read_snapshot",
    "read_snapshot_head",
    "take_snapshot",
]
