"""The one canonical text of a release note, and its digest."""

import hashlib
from functools import singledispatch
from typing import Any

from .changes import Added, Change, Changed, ReleaseNote, Withdrawn
from .options import EVERY_ACCOUNT, option_name

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
        The same text for every note with the same meaning; `parse` reads it.

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
    lines = [line for change in ordered for line in ("", *_section(change))]
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
        64 hexadecimal digits. It covers `follows`, hence every note before.

    Examples
    --------
    >>> len(digest(ReleaseNote(1, "", ())))
    64
    """
    return hashlib.sha256(canonical_text(note).encode()).hexdigest()


def value_text(value: Any) -> str:
    """Return a field's value as an option is written.

    Parameters
    ----------
    value : object
        Value of a field.

    Returns
    -------
    str
        Its canonical spelling.

    Examples
    --------
    >>> value_text(True), value_text(50.0), value_text(())
    ('yes', '50.0', '*')
    """
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, tuple):
        return ", ".join(value) or EVERY_ACCOUNT
    return str(value)


@singledispatch
def _section(change: Change) -> list[str]:
    """Return the lines of one section."""
    raise TypeError(type(change))


@_section.register
def _(change: Added) -> list[str]:
    fields = change.item._asdict().items()
    options = [
        f"{option_name(field)} = {value_text(value)}"
        for field, value in fields
        if field not in NAME_FIELDS
    ]
    return [f"[added {change.kind} {change.name}]", *options]


@_section.register
def _(change: Changed) -> list[str]:
    options = [f"{option_name(f)} = {value_text(value)}" for f, value in change.fields]
    return [f"[changed {change.kind} {change.name}]", *options]


@_section.register
def _(change: Withdrawn) -> list[str]:
    return [f"[withdrawn {change.kind} {change.name}]"]
