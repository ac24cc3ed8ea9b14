"""Canonical text and digest of release notes."""

import hashlib
from functools import singledispatch
from typing import Any

from .changes import Added, Change, Changed, ReleaseNote, Withdrawn
from .options import ALL_ACCOUNTS, option_name

__all__ = ["canonical_text", "digest", "value_text"]

NAME_FIELDS = {"name", "digest", "number"}


def canonical_text(note: ReleaseNote) -> str:
    """Return the canonical text of a note.

    Parameters
    ----------
    note : ReleaseNote
        The note.

    Returns
    -------
    str
        The canonical text, which `parse` accepts. Notes with the same meaning have
        the same text.

    Examples
    --------
    >>> print(canonical_text(ReleaseNote(1, "", ())), end="")
    [note]
    revision = 1
    follows =
    items = 0
    """
    head = [
        "[note]",
        f"revision = {note.revision}",
        f"follows = {note.follows}".rstrip(),
    ]
    if note.replaces:
        head.append("replaces = " + ", ".join(sorted(note.replaces)))
    head.append(f"items = {len(note.changes)}")
    ordered = sorted(note.changes, key=lambda change: (change.kind, change.name))
    lines = [line for change in ordered for line in ("", *_section_lines(change))]
    return "\n".join([*head, *lines]) + "\n"


def digest(note: ReleaseNote) -> str:
    """Return the SHA-256 digest of the canonical text.

    Parameters
    ----------
    note : ReleaseNote
        The note.

    Returns
    -------
    str
        64 hexadecimal digits. The digest covers `follows` and thereby all earlier
        notes.

    Examples
    --------
    >>> len(digest(ReleaseNote(1, "", ())))
    64
    """
    return hashlib.sha256(canonical_text(note).encode()).hexdigest()


def value_text(value: Any) -> str:
    """Return the text of a field's value in an option.

    Parameters
    ----------
    value : object
        Value of a field.

    Returns
    -------
    str
        Canonical text of the value.

    Examples
    --------
    >>> value_text(True), value_text(50.0), value_text(())
    ('yes', '50.0', '*')
    """
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, tuple):
        return ", ".join(value) or ALL_ACCOUNTS
    return str(value)


@singledispatch
def _section_lines(change: Change) -> list[str]:
    """Return the lines of the section for one change."""
    raise TypeError(f"unsupported change: {type(change).__name__}")


@_section_lines.register
def _(change: Added) -> list[str]:
    fields = change.item._asdict().items()
    options = [
        f"{option_name(field)} = {value_text(value)}"
        for field, value in fields
        if field not in NAME_FIELDS
    ]
    return [f"[added {change.kind} {change.name}]", *options]


@_section_lines.register
def _(change: Changed) -> list[str]:
    options = [f"{option_name(f)} = {value_text(value)}" for f, value in change.fields]
    return [f"[changed {change.kind} {change.name}]", *options]


@_section_lines.register
def _(change: Withdrawn) -> list[str]:
    return [f"[withdrawn {change.kind} {change.name}]"]
