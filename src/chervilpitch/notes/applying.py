"""Applies a release note to a catalogue and checks every reference."""

from collections.abc import Mapping
from functools import singledispatch
from typing import Any, NamedTuple

from result import Err, Ok, Result

from chervilpitch.model import Catalogue

from .canonical import digest
from .changes import Added, Change, Changed, ItemKind, ReleaseNote, Withdrawn
from .problems import NoteProblem, ProblemKind
from .references import check_references

__all__ = ["Tables", "apply"]


class Tables(NamedTuple):
    """The tables of a catalogue, by item kind.

    Parameters
    ----------
    account, key, route, upstream, seat : dict
        Items by name or number.
    """

    account: dict
    key: dict
    route: dict
    upstream: dict
    seat: dict


def apply(
    catalogue: Catalogue, note: ReleaseNote
) -> Result[Catalogue, tuple[NoteProblem, ...]]:
    """Return the catalogue after a release note.

    A withdrawn client account takes its keys with it. A route that names a
    withdrawn account must be changed or withdrawn by the same note.

    Parameters
    ----------
    catalogue : Catalogue
        The catalogue in force; it is not changed.
    note : ReleaseNote
        The note that follows it.

    Returns
    -------
    Result
        The next catalogue, or every problem. Tables that the note does not
        touch are shared with `catalogue`.

    Notes
    -----
    A touched table is copied once, in time linear in its length; reading stays
    a plain dictionary access.

    Examples
    --------
    >>> from chervilpitch.model import EMPTY_CATALOGUE
    >>> apply(EMPTY_CATALOGUE, ReleaseNote(2, "", ())).err_value[0].kind.value
    'wrong-revision'
    """
    problems = _order_problems(catalogue, note)
    if problems:
        return Err(problems)
    tables = _copied_tables(catalogue, note.changes)
    problems = [p for change in note.changes if (p := _put(change, tables, note.file))]
    if not problems:
        _withdraw_keys(tables, note.changes)
        problems = check_references(tables, note)
    if problems:
        return Err(tuple(problems))
    return Ok(
        Catalogue(
            note.revision,
            digest(note),
            tables.account,
            tables.key,
            tables.route,
            tables.upstream,
            tables.seat,
        )
    )


def _order_problems(catalogue: Catalogue, note: ReleaseNote) -> tuple[NoteProblem, ...]:
    problems = []
    if note.revision != catalogue.revision + 1:
        kind = ProblemKind.WRONG_REVISION
        seen, allowed = str(note.revision), str(catalogue.revision + 1)
        problems.append(
            NoteProblem(kind, note.file, 0, "note", "revision", seen, allowed)
        )
    if note.follows != catalogue.digest:
        kind = ProblemKind.WRONG_PREDECESSOR
        allowed = catalogue.digest or "empty"
        problems.append(
            NoteProblem(kind, note.file, 0, "note", "follows", note.follows, allowed)
        )
    return tuple(problems)


def _copied_tables(catalogue: Catalogue, changes: tuple[Change, ...]) -> Tables:
    """Return the tables of a catalogue, with copies of those that change."""
    touched = {change.kind for change in changes}
    if any(_is_account_withdrawal(change) for change in changes):
        touched.add(ItemKind.KEY)
    tables: dict[ItemKind, Mapping] = {
        ItemKind.ACCOUNT: catalogue.accounts,
        ItemKind.KEY: catalogue.keys,
        ItemKind.ROUTE: catalogue.routes,
        ItemKind.UPSTREAM: catalogue.upstreams,
        ItemKind.SEAT: catalogue.seats,
    }
    return Tables(
        **{
            kind.value: dict(table) if kind in touched else table
            for kind, table in tables.items()
        }
    )


def _is_account_withdrawal(change: Change) -> bool:
    return isinstance(change, Withdrawn) and change.kind is ItemKind.ACCOUNT


@singledispatch
def _put(change: Any, tables: Tables, file: str) -> NoteProblem | None:
    """Enter one change in the tables."""
    raise TypeError(type(change))


@_put.register
def _(change: Added, tables: Tables, file: str) -> NoteProblem | None:
    table, entry = _table(change, tables)
    if entry in table:
        return _problem(change, ProblemKind.ALREADY_EXISTS, "a new name", file)
    is_seat = change.kind is ItemKind.SEAT
    table[entry] = change.item.failure_domain if is_seat else change.item
    return None


@_put.register
def _(change: Changed, tables: Tables, file: str) -> NoteProblem | None:
    table, entry = _table(change, tables)
    if entry not in table:
        return _problem(change, ProblemKind.DOES_NOT_EXIST, "a declared name", file)
    fields = dict(change.fields)
    old = table[entry]
    is_seat = change.kind is ItemKind.SEAT
    new = fields["failure_domain"] if is_seat else old._replace(**fields)
    if new == old:
        return _problem(change, ProblemKind.NOTHING_CHANGED, "a new value", file)
    table[entry] = new
    return None


@_put.register
def _(change: Withdrawn, tables: Tables, file: str) -> NoteProblem | None:
    table, entry = _table(change, tables)
    if entry not in table:
        return _problem(change, ProblemKind.DOES_NOT_EXIST, "a declared name", file)
    del table[entry]
    return None


def _table(change: Change, tables: Tables) -> tuple[dict, str | int]:
    """Return the table of a change and its entry there."""
    is_seat = change.kind is ItemKind.SEAT
    entry = int(change.name) if is_seat else change.name
    return getattr(tables, change.kind.value), entry


def _problem(change: Change, kind: ProblemKind, allowed: str, file: str) -> NoteProblem:
    action = type(change).__name__.lower()
    section = f"{action} {change.kind} {change.name}"
    return NoteProblem(kind, file, change.line, section, "", change.name, allowed)


def _withdraw_keys(tables: Tables, changes: tuple[Change, ...]) -> None:
    """Withdraw the keys that belong to accounts withdrawn by the note."""
    gone = {change.name for change in changes if _is_account_withdrawal(change)}
    if not gone:
        return
    written = {change.name for change in changes if change.kind is ItemKind.KEY}
    keys = tables.key
    for name in [k for k, key in keys.items() if key.account in gone]:
        if name not in written:
            del keys[name]
