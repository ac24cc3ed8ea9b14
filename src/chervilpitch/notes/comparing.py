"""Comparison of two catalogues, as changes and as text."""

from collections.abc import Iterator, Mapping
from functools import singledispatch
from typing import Any

from chervilpitch.model import Catalogue

from .canonical import value_text
from .changes import Added, Change, Changed, FieldChange, ItemKind, Seat, Withdrawn
from .options import option_name

__all__ = ["format_changes", "difference"]


def difference(before: Catalogue, after: Catalogue) -> tuple[Change, ...]:
    """Return the changes that turn one catalogue into another.

    Parameters
    ----------
    before, after : Catalogue
        The catalogues to compare; their revisions are ignored.

    Returns
    -------
    tuple of Change
        Changes ordered by kind and name; empty when the items are equal.

    Examples
    --------
    >>> from chervilpitch.model import EMPTY_CATALOGUE
    >>> difference(EMPTY_CATALOGUE, EMPTY_CATALOGUE)
    ()
    """
    changes = []
    for kind in sorted(ItemKind):
        changes.extend(
            _changes_of_kind(kind, _items(before, kind), _items(after, kind))
        )
    return tuple(changes)


def format_changes(changes: tuple[Change, ...]) -> str:
    """Return a text that lists changes for an operator.

    Parameters
    ----------
    changes : tuple of Change
        Changes of a note or from `difference`.

    Returns
    -------
    str
        One line for each change, with the options that it sets.

    Examples
    --------
    >>> print(format_changes((Withdrawn(ItemKind.ACCOUNT, "fitters"),)))
    - account fitters
    """
    return "\n".join(line for change in changes for line in _change_lines(change))


def _items(catalogue: Catalogue, kind: ItemKind) -> Mapping[str, Any]:
    """Return the items of a kind by their names in notes."""
    if kind is ItemKind.SEAT:
        return {str(n): Seat(n, domain) for n, domain in catalogue.seats.items()}
    return {
        ItemKind.ACCOUNT: catalogue.accounts,
        ItemKind.KEY: catalogue.keys,
        ItemKind.ROUTE: catalogue.routes,
        ItemKind.UPSTREAM: catalogue.upstreams,
    }[kind]


def _changes_of_kind(
    kind: ItemKind, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[Change]:
    if before is after:
        return
    for name in sorted({*before, *after}):
        if name not in before:
            yield Added(kind, name, after[name])
        elif name not in after:
            yield Withdrawn(kind, name)
        elif before[name] != after[name]:
            yield Changed(kind, name, _field_changes(before[name], after[name]))


def _field_changes(before: Any, after: Any) -> tuple[FieldChange, ...]:
    old = before._asdict()
    new = after._asdict()
    return tuple(FieldChange(f, new[f]) for f in sorted(new) if old[f] != new[f])


@singledispatch
def _change_lines(change: Change) -> list[str]:
    """Return the lines that describe one change."""
    raise TypeError(f"unsupported change: {type(change).__name__}")


@_change_lines.register
def _(change: Added) -> list[str]:
    fields = list(change.item._asdict().items())[1:]
    shown = ", ".join(f"{option_name(f)} = {value_text(v)}" for f, v in fields)
    return [f"+ {change.kind} {change.name}: {shown}"]


@_change_lines.register
def _(change: Changed) -> list[str]:
    shown = ", ".join(f"{option_name(f)} = {value_text(v)}" for f, v in change.fields)
    return [f"~ {change.kind} {change.name}: {shown}"]


@_change_lines.register
def _(change: Withdrawn) -> list[str]:
    return [f"- {change.kind} {change.name}"]
