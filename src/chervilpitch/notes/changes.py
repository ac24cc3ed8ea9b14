"""Data model of release notes: items added, changed and withdrawn."""

from enum import StrEnum
from typing import NamedTuple

from chervilpitch.model import ClientAccount, Key, Route, Upstream

__all__ = [
    "Added",
    "Change",
    "Changed",
    "FieldChange",
    "Item",
    "ItemKind",
    "ReleaseNote",
    "Seat",
    "Withdrawn",
]


class ItemKind(StrEnum):
    """Kinds of declared items."""

    ACCOUNT = "account"
    KEY = "key"
    ROUTE = "route"
    UPSTREAM = "upstream"
    SEAT = "seat"


class Seat(NamedTuple):
    """A seat: a numbered place for an instance in a failure domain.

    Parameters
    ----------
    number : int
        Number of the seat.
    failure_domain : str
        Failure domain, written ``"region/domain"``.
    """

    number: int
    failure_domain: str


Item = ClientAccount | Key | Route | Upstream | Seat


class Added(NamedTuple):
    """Addition of an item.

    Parameters
    ----------
    kind : ItemKind
        Kind of the item.
    name : str
        Name of the item; digest of a key, number of a seat.
    item : Item
        The new item with all fields.
    line : int
        Line number of the section from 1; 0 if not parsed from a text.
    """

    kind: ItemKind
    name: str
    item: Item
    line: int = 0


class FieldChange(NamedTuple):
    """The new value of one field.

    Parameters
    ----------
    field : str
        Field name of the item.
    value : object
        New value, of the type of the field.
    """

    field: str
    value: object


class Changed(NamedTuple):
    """Change of some fields of an item.

    Parameters
    ----------
    kind : ItemKind
        Kind of the item.
    name : str
        Name of the item.
    fields : tuple of FieldChange
        New values, ordered by field name.
    line : int
        Line number of the section from 1; 0 if not parsed from a text.
    """

    kind: ItemKind
    name: str
    fields: tuple[FieldChange, ...]
    line: int = 0


class Withdrawn(NamedTuple):
    """Withdrawal of an item.

    Parameters
    ----------
    kind : ItemKind
        Kind of the item.
    name : str
        Name of the item.
    line : int
        Line number of the section from 1; 0 if not parsed from a text.
    """

    kind: ItemKind
    name: str
    line: int = 0


Change = Added | Changed | Withdrawn


class ReleaseNote(NamedTuple):
    """A revision of the configuration: the step from one catalogue to the next.

    Parameters
    ----------
    revision : int
        Revision of the resulting catalogue, from 1.
    follows : str
        Digest of the preceding note; empty for the first.
    changes : tuple of Change
        Changes, at most one for each item.
    file : str
        Name of the file or value that the note was parsed from.
    replaces : tuple of str
        Digests of conflicting notes, in force on a part of the fleet, that this
        note replaces.
    """

    revision: int
    follows: str
    changes: tuple[Change, ...]
    file: str = ""
    replaces: tuple[str, ...] = ()
