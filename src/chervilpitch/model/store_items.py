"""Items of the platform's store."""

from typing import NamedTuple

__all__ = ["StoreItem"]


class StoreItem(NamedTuple):
    """An item as it was last written or removed.

    Parameters
    ----------
    key : str
        Its key.
    value : bytes
        Its content; empty when removed.
    revision : int
        Revision of the store at this change.
    is_removed : bool
        Whether the change removed it.
    """

    key: str
    value: bytes
    revision: int
    is_removed: bool = False
