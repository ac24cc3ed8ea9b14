"""Items of the platform's key-value store."""

from typing import NamedTuple

__all__ = ["StoreItem"]


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
