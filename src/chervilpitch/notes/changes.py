"""A release note as data: what is added, changed and withdrawn."""

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
    """A place of the fleet.

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
    """An item that the note adds.

    Parameters
    ----------
    kind : ItemKind
        Kind of the item.
    name : str
        Name of the item; the digest of a key, the number of a seat.
    item : Item
        The whole item.
    line : int
        Line of its section; 0 when it was not read from a text.
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
        Its new value, of the type of the field.
    """

    field: str
    value: object


class Changed(NamedTuple):
    """An item that the note changes in some fields.

    Parameters
    ----------
    kind : ItemKind
        Kind of the item.
    name : str
        Name of the item.
    fields : tuple of FieldChange
        The fields that change, ordered by field name.
    line : int
        Line of its section; 0 when it was not read from a text.
    """

    kind: ItemKind
    name: str
    fields: tuple[FieldChange, ...]
    line: int = 0


class Withdrawn(NamedTuple):
    """An item that the note withdraws.

    Parameters
    ----------
    kind : ItemKind
        Kind of the item.
    name : str
        Name of the item.
    line : int
        Line of its section; 0 when it was not read from a text.
    """

    kind: ItemKind
    name: str
    line: int = 0


Change = Added | Changed | Withdrawn


class ReleaseNote(NamedTuple):
    """One step from a catalogue to the next.

    Parameters
    ----------
    revision : int
        Revision after the note, from 1.
    follows : str
        Digest of the note before it; empty for the first.
    changes : tuple of Change
        Each item at most once.
    file : str
        Name of the file or value that was read.
    replaces : tuple of str
        Digests of notes in force on a part of the fleet after a conflict, which
        the operators give up.
    """

    revision: int
    follows: str
    changes: tuple[Change, ...]
    file: str = ""
    replaces: tuple[str, ...] = ()
