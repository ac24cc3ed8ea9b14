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
from .parsing import MAX_NOTE_BYTES, parse
from .problems import NoteProblem, ProblemKind

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
    "Withdrawn",
    "apply",
    "canonical",
    "digest",
    "parse",
]
