"""Application of release notes to a catalogue, with checks of all references."""

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
    """Tables of a catalogue by item kind.

    Parameters
    ----------
    account, key, route, upstream, seat : dict
        Items by name, digest or number.
    """

    account: dict
    key: dict
    route: dict
    upstream: dict
    seat: dict


def apply(
    catalogue: Catalogue, note: ReleaseNote
) -> Result[Catalogue, tuple[NoteProblem, ...]]:
    """Return the catalogue that results from a release note.

    Withdrawing a client account also withdraws its keys, except those that the
    same note lists. A route that names a withdrawn account must be changed or
    withdrawn by the same note.

    Parameters
    ----------
    catalogue : Catalogue
        The catalogue in force; not modified.
    note : ReleaseNote
        The note that follows it.

    Returns
    -------
    Result
        The next catalogue, or the problems found. Tables that the note does not
        change are shared with `catalogue`.

    Notes
    -----
    Each changed table is copied once, in time linear in its length, so that
    readers need no more than a dictionary access.

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
    problems = [
        p for change in note.changes if (p := _apply_change(change, tables, note.file))
    ]
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
    """Return the tables of a catalogue; those that the changes affect are copied."""
    affected = {change.kind for change in changes}
    if any(_is_account_withdrawal(change) for change in changes):
        affected.add(ItemKind.KEY)
    tables: dict[ItemKind, Mapping] = {
        ItemKind.ACCOUNT: catalogue.accounts,
        ItemKind.KEY: catalogue.keys,
        ItemKind.ROUTE: catalogue.routes,
        ItemKind.UPSTREAM: catalogue.upstreams,
        ItemKind.SEAT: catalogue.seats,
    }
    return Tables(
        **{
            kind.value: dict(table) if kind in affected else table
            for kind, table in tables.items()
        }
    )


def _is_account_withdrawal(change: Change) -> bool:
    return isinstance(change, Withdrawn) and change.kind is ItemKind.ACCOUNT


@singledispatch
def _apply_change(change: Any, tables: Tables, file: str) -> NoteProblem | None:
    """Apply one change to the tables; return its problem, if any."""
    raise TypeError(f"unsupported change: {type(change).__name__}")


@_apply_change.register
def _(change: Added, tables: Tables, file: str) -> NoteProblem | None:
    table, item_key = _table_and_key(change, tables)
    if item_key in table:
        return _problem(change, ProblemKind.ALREADY_EXISTS, "a new name", file)
    is_seat = change.kind is ItemKind.SEAT
    table[item_key] = change.item.failure_domain if is_seat else change.item
    return None


@_apply_change.register
def _(change: Changed, tables: Tables, file: str) -> NoteProblem | None:
    table, item_key = _table_and_key(change, tables)
    if item_key not in table:
        return _problem(change, ProblemKind.DOES_NOT_EXIST, "a declared name", file)
    fields = dict(change.fields)
    old = table[item_key]
    is_seat = change.kind is ItemKind.SEAT
    new = fields["failure_domain"] if is_seat else old._replace(**fields)
    if new == old:
        return _problem(change, ProblemKind.NOTHING_CHANGED, "a new value", file)
    table[item_key] = new
    return None


@_apply_change.register
def _(change: Withdrawn, tables: Tables, file: str) -> NoteProblem | None:
    table, item_key = _table_and_key(change, tables)
    if item_key not in table:
        return _problem(change, ProblemKind.DOES_NOT_EXIST, "a declared name", file)
    del table[item_key]
    return None


def _table_and_key(change: Change, tables: Tables) -> tuple[dict, str | int]:
    """Return the table that a change affects and the key of its item."""
    is_seat = change.kind is ItemKind.SEAT
    item_key = int(change.name) if is_seat else change.name
    return getattr(tables, change.kind.value), item_key


def _problem(change: Change, kind: ProblemKind, allowed: str, file: str) -> NoteProblem:
    action = type(change).__name__.lower()
    section = f"{action} {change.kind} {change.name}"
    return NoteProblem(kind, file, change.line, section, "", change.name, allowed)


def _withdraw_keys(tables: Tables, changes: tuple[Change, ...]) -> None:
    """Withdraw the keys of withdrawn accounts, except those that the note lists."""
    withdrawn = {change.name for change in changes if _is_account_withdrawal(change)}
    if not withdrawn:
        return
    listed = {change.name for change in changes if change.kind is ItemKind.KEY}
    keys = tables.key
    for name in [k for k, key in keys.items() if key.account in withdrawn]:
        if name not in listed:
            del keys[name]
