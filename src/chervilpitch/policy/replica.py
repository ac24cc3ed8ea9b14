"""A copy of the store's items that instances of a region pass on."""

import zlib
from collections.abc import Iterable

from chervilpitch.model import StoreItem

__all__ = ["ItemReplica"]

HISTORY_ITEMS = 2_000


class ItemReplica:
    """Items under one prefix, with what was removed lately.

    Examples
    --------
    >>> from chervilpitch.model import StoreItem
    >>> replica = ItemReplica()
    >>> replica.apply([StoreItem("a", b"1", 5, False)], 7)
    ('a',)
    >>> [item.key for item in replica.changes_since(4)], replica.revision
    (['a'], 7)
    """

    def __init__(self) -> None:
        self._items: dict[str, StoreItem] = {}
        self._removed: dict[str, StoreItem] = {}
        self._revision = 0
        self._complete_since = 0
        self._digest: int | None = None

    @property
    def revision(self) -> int:
        """Revision of the store up to which changes are known; 0 for none."""
        return self._revision

    @property
    def items(self) -> tuple[StoreItem, ...]:
        """Items that are there."""
        return tuple(self._items.values())

    @property
    def digest(self) -> int:
        """Checksum of what is there; equal copies have equal ones."""
        if self._digest is None:
            words = sorted((key, item.revision) for key, item in self._items.items())
            self._digest = zlib.crc32(repr(words).encode())
        return self._digest

    def apply(self, items: Iterable[StoreItem], revision: int) -> tuple[str, ...]:
        """Take in changes up to a revision and return the keys that changed."""
        changed = tuple(item.key for item in items if self._put(item))
        self._revision = max(self._revision, revision)
        return changed

    def replace(self, items: Iterable[StoreItem], revision: int) -> tuple[str, ...]:
        """Take in a complete list and return the keys that changed."""
        listed = tuple(items)
        present = {item.key for item in listed}
        missing = [
            StoreItem(key, b"", revision, True)
            for key, item in self._items.items()
            if key not in present and item.revision <= revision
        ]
        self._complete_since = max(self._complete_since, self._revision)
        return self.apply((*listed, *missing), revision)

    def changes_since(self, revision: int) -> tuple[StoreItem, ...] | None:
        """Return what changed after a revision.

        Returns
        -------
        tuple of StoreItem or None
            None when removals that far back are no longer known, so that only
            the complete list tells.
        """
        if revision < self._complete_since:
            return None
        known = (*self._items.values(), *self._removed.values())
        return tuple(item for item in known if item.revision > revision)

    def _put(self, item) -> bool:
        known = self._items.get(item.key) or self._removed.get(item.key)
        if known is not None and known.revision >= item.revision:
            return False
        self._digest = None
        self._items.pop(item.key, None)
        self._removed.pop(item.key, None)
        if item.is_removed:
            self._removed[item.key] = item
            self._trim()
        else:
            self._items[item.key] = item
        return True

    def _trim(self):
        while len(self._removed) > HISTORY_ITEMS:
            oldest = self._removed.pop(next(iter(self._removed)))
            self._complete_since = max(self._complete_since, oldest.revision)
