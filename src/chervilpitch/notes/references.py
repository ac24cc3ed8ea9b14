"""Checks of references between the items of a catalogue."""

from collections import Counter
from typing import Any

from chervilpitch.model import Catalogue

from .changes import ItemKind, ReleaseNote
from .problems import NoteProblem, ProblemKind

__all__ = ["check_references"]


def check_references(
    tables: Any, catalogue: Catalogue, note: ReleaseNote
) -> list[NoteProblem]:
    """Check the references that a note may have broken.

    Parameters
    ----------
    tables : Tables
        The tables after the note.
    catalogue : Catalogue
        The catalogue before it, whose references hold.
    note : ReleaseNote
        The note.

    Returns
    -------
    list of NoteProblem
        One problem for each broken reference.
    """
    lines = {(change.kind, change.name): change.line for change in note.changes}
    problems = []

    def refuse(
        kind: ProblemKind,
        item: ItemKind,
        name: str,
        option: str,
        seen: str,
        allowed: str,
    ) -> None:
        line = lines.get((item, name), 0)
        section = f"{item} {name}"
        problems.append(
            NoteProblem(kind, note.file, line, section, option, seen, allowed)
        )

    accounts = tables.account
    for name, key in _changed(tables.key, catalogue.keys):
        if key.account not in accounts:
            problem = ProblemKind.UNKNOWN_ACCOUNT
            allowed = "a declared account"
            refuse(problem, ItemKind.KEY, name, "account", key.account, allowed)
    if tables.route is not catalogue.routes or accounts is not catalogue.accounts:
        for name, account in _unknown_accounts(tables.route, accounts):
            problem = ProblemKind.UNKNOWN_ACCOUNT
            allowed = "declared accounts"
            refuse(problem, ItemKind.ROUTE, name, "accounts", account, allowed)
    if tables.route is not catalogue.routes:
        for name, prefix in _repeated(tables.route, "prefix"):
            problem = ProblemKind.REPEATED_PREFIX
            allowed = "a prefix of no other route"
            refuse(problem, ItemKind.ROUTE, name, "prefix", prefix, allowed)
    if tables.upstream is not catalogue.upstreams:
        for name, address in _repeated(tables.upstream, "address"):
            problem = ProblemKind.REPEATED_ADDRESS
            allowed = "an address of no other upstream"
            refuse(problem, ItemKind.UPSTREAM, name, "address", address, allowed)
    if _is_either_touched(tables, catalogue):
        services = {upstream.service for upstream in tables.upstream.values()}
        for name, route in tables.route.items():
            if route.service not in services:
                problem = ProblemKind.SERVICE_WITHOUT_UPSTREAMS
                allowed = "a service with upstreams"
                refuse(problem, ItemKind.ROUTE, name, "service", route.service, allowed)
    return problems


def _is_either_touched(tables: Any, catalogue: Catalogue) -> bool:
    """Whether the note touches routes or upstreams."""
    is_routes_same = tables.route is catalogue.routes
    return not (is_routes_same and tables.upstream is catalogue.upstreams)


def _changed(table: dict, before: Any) -> list[tuple[str, Any]]:
    """Return the entries that are new or differ."""
    if table is before:
        return []
    return [(name, item) for name, item in table.items() if before.get(name) != item]


def _unknown_accounts(routes: dict, accounts: dict) -> list[tuple[str, str]]:
    return [
        (name, account)
        for name, route in routes.items()
        for account in route.accounts
        if account not in accounts
    ]


def _repeated(table: dict, field: str) -> list[tuple[str, str]]:
    """Return the items that share the value of a field with another one."""
    counts = Counter(getattr(item, field) for item in table.values())
    if len(counts) == len(table):
        return []
    return [
        (name, getattr(item, field))
        for name, item in table.items()
        if counts[getattr(item, field)] > 1
    ]
