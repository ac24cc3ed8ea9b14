"""Items of the platform's key-value store."""

from typing import NamedTuple

__all__ = ["FIRST_ERA", "StoreItem", "StorePosition"]

FIRST_ERA = 0
"""Era of a store that states none."""


class StoreItem(NamedTuple):
    """State of an item after its last change.

    Parameters
    ----------
    key : str
        Key of the item.
    value : bytes
        Value of the item; empty if it was removed.
    revision : int
        Revision of the store at which the item was last changed.
    is_removed : bool
        Whether the item was removed.
    """

    key: str
    value: bytes
    revision: int
    is_removed: bool = False


class StorePosition(NamedTuple):
    """Point in the history of the store; earlier ones compare as less.

    Parameters
    ----------
    era : int
        Era of the store; it rises each time that the store is restored from a copy.
    revision : int
        Revision within the era; a later era gives out the same revisions again.

    Examples
    --------
    >>> StorePosition(2, 7) > StorePosition(1, 40)
    True
    """

    era: int = FIRST_ERA
    revision: int = 0
