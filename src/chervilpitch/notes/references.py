"""Checks of references between items, and of unique prefixes and addresses."""

from collections import Counter
from collections.abc import Mapping
from functools import singledispatch
from typing import Any, NamedTuple

from .changes import Added, Change, Changed, ItemKind, ReleaseNote, Withdrawn
from .problems import NoteProblem, ProblemKind

__all__ = ["check_references"]


class _BrokenReference(NamedTuple):
    """A broken reference, or a repeated prefix or address, of one item."""

    problem: ProblemKind
    kind: ItemKind
    name: str
    option: str
    seen: str
    allowed: str


def check_references(tables: Any, note: ReleaseNote) -> list[NoteProblem]:
    """Check the references and unique values that a note may break.

    Parameters
    ----------
    tables : Tables
        Tables after the note; all references were valid before it.
    note : ReleaseNote
        The note that was applied.

    Returns
    -------
    list of NoteProblem
        One problem for each broken reference and for each item with a repeated
        prefix or address.
    """
    lines = {(change.kind, change.name): change.line for change in note.changes}
    broken = [
        *_keys_without_account(tables, note),
        *_routes_without_account(tables, note),
        *_routes_without_upstreams(tables, note),
        *_repeated_prefixes(tables, note),
        *_repeated_addresses(tables, note),
    ]
    return [
        NoteProblem(
            found.problem,
            note.file,
            lines.get((found.kind, found.name), 0),
            f"{found.kind} {found.name}",
            found.option,
            found.seen,
            found.allowed,
        )
        for found in broken
    ]


@singledispatch
def _modifies(change: Change, field: str) -> bool:
    """Whether a change sets, changes or removes the value of a field."""
    raise TypeError(f"unsupported change: {type(change).__name__}")


@_modifies.register
def _(change: Added, field: str) -> bool:
    return True


@_modifies.register
def _(change: Changed, field: str) -> bool:
    return any(changed.field == field for changed in change.fields)


@_modifies.register
def _(change: Withdrawn, field: str) -> bool:
    return True


def _modifies_any(note: ReleaseNote, kind: ItemKind, field: str) -> bool:
    return any(c.kind is kind and _modifies(c, field) for c in note.changes)


def _keys_without_account(tables: Any, note: ReleaseNote) -> list[_BrokenReference]:
    names = [change.name for change in note.changes if change.kind is ItemKind.KEY]
    keys = [tables.key[name] for name in names if name in tables.key]
    return [
        _BrokenReference(
            ProblemKind.UNKNOWN_ACCOUNT,
            ItemKind.KEY,
            key.digest,
            "account",
            key.account,
            "a declared account",
        )
        for key in keys
        if key.account not in tables.account
    ]


def _routes_without_account(tables: Any, note: ReleaseNote) -> list[_BrokenReference]:
    if not (
        _modifies_any(note, ItemKind.ROUTE, "accounts")
        or _modifies_any(note, ItemKind.ACCOUNT, "name")
    ):
        return []
    return [
        _BrokenReference(
            ProblemKind.UNKNOWN_ACCOUNT,
            ItemKind.ROUTE,
            name,
            "accounts",
            account,
            "declared accounts",
        )
        for name, route in tables.route.items()
        for account in route.accounts
        if account not in tables.account
    ]


def _routes_without_upstreams(tables: Any, note: ReleaseNote) -> list[_BrokenReference]:
    if not (
        _modifies_any(note, ItemKind.ROUTE, "service")
        or _modifies_any(note, ItemKind.UPSTREAM, "service")
    ):
        return []
    services = {upstream.service for upstream in tables.upstream.values()}
    return [
        _BrokenReference(
            ProblemKind.SERVICE_WITHOUT_UPSTREAMS,
            ItemKind.ROUTE,
            name,
            "service",
            route.service,
            "a service with upstreams",
        )
        for name, route in tables.route.items()
        if route.service not in services
    ]


def _repeated_prefixes(tables: Any, note: ReleaseNote) -> list[_BrokenReference]:
    if not _modifies_any(note, ItemKind.ROUTE, "prefix"):
        return []
    allowed = "a prefix of no other route"
    return [
        _BrokenReference(
            ProblemKind.REPEATED_PREFIX, ItemKind.ROUTE, name, "prefix", value, allowed
        )
        for name, value in _items_sharing_value(tables.route, "prefix")
    ]


def _repeated_addresses(tables: Any, note: ReleaseNote) -> list[_BrokenReference]:
    if not _modifies_any(note, ItemKind.UPSTREAM, "address"):
        return []
    allowed = "an address of no other upstream"
    kind = ProblemKind.REPEATED_ADDRESS
    return [
        _BrokenReference(kind, ItemKind.UPSTREAM, name, "address", value, allowed)
        for name, value in _items_sharing_value(tables.upstream, "address")
    ]


def _items_sharing_value(table: Mapping, field: str) -> list[tuple[str, str]]:
    """Return the names and values of items that share a field's value."""
    counts = Counter(getattr(item, field) for item in table.values())
    if len(counts) == len(table):
        return []
    return [
        (name, getattr(item, field))
        for name, item in table.items()
        if counts[getattr(item, field)] > 1
    ]
