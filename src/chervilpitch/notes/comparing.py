"""The difference of two catalogues, as changes and as text."""

from collections.abc import Iterator, Mapping
from functools import singledispatch
from typing import Any

from chervilpitch.model import Catalogue

from .canonical import value_text
from .changes import Added, Change, Changed, FieldChange, ItemKind, Seat, Withdrawn
from .options import option_name

__all__ = ["format_changes", "difference"]


def difference(before: Catalogue, after: Catalogue) -> tuple[Change, ...]:
    """Return the changes that lead from one catalogue to another.

    Parameters
    ----------
    before, after : Catalogue
        The catalogues to compare; their revisions do not matter.

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
        changes.extend(_differences(kind, _items(before, kind), _items(after, kind)))
    return tuple(changes)


def format_changes(changes: tuple[Change, ...]) -> str:
    """Return changes as lines for an operator.

    Parameters
    ----------
    changes : tuple of Change
        Changes of a note or a difference.

    Returns
    -------
    str
        One line for each item, then one for each changed option.

    Examples
    --------
    >>> print(format_changes((Withdrawn(ItemKind.ACCOUNT, "fitters"),)))
    - account fitters
    """
    return "\n".join(line for change in changes for line in _lines(change))


def _items(catalogue: Catalogue, kind: ItemKind) -> Mapping[str, Any]:
    """Return the items of a kind by the names used in notes."""
    if kind is ItemKind.SEAT:
        return {str(n): Seat(n, domain) for n, domain in catalogue.seats.items()}
    return {
        ItemKind.ACCOUNT: catalogue.accounts,
        ItemKind.KEY: catalogue.keys,
        ItemKind.ROUTE: catalogue.routes,
        ItemKind.UPSTREAM: catalogue.upstreams,
    }[kind]


def _differences(
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
def _lines(change: Change) -> list[str]:
    """Return the lines that show one change."""
    raise TypeError(type(change))


@_lines.register
def _(change: Added) -> list[str]:
    fields = list(change.item._asdict().items())[1:]
    shown = ", ".join(f"{option_name(f)} = {value_text(v)}" for f, v in fields)
    return [f"+ {change.kind} {change.name}: {shown}"]


@_lines.register
def _(change: Changed) -> list[str]:
    shown = ", ".join(f"{option_name(f)} = {value_text(v)}" for f, v in change.fields)
    return [f"~ {change.kind} {change.name}: {shown}"]


@_lines.register
def _(change: Withdrawn) -> list[str]:
    return [f"- {change.kind} {change.name}"]
