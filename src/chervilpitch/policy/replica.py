"""Replica of store items that the instances of a region pass on to each other."""

import zlib
from collections.abc import Iterable

from chervilpitch.model import StoreItem

__all__ = ["ItemReplica"]

MAX_TOMBSTONES = 2_000


class ItemReplica:
    """Items under one prefix, with tombstones of recently removed ones.

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
        self._tombstones: dict[str, StoreItem] = {}
        self._revision = 0
        self._complete_since = 0
        self._digest: int | None = None

    @property
    def revision(self) -> int:
        """Store revision up to which all changes are known; 0 for none."""
        return self._revision

    @property
    def items(self) -> tuple[StoreItem, ...]:
        """Items that exist."""
        return tuple(self._items.values())

    @property
    def digest(self) -> int:
        """Checksum of the keys and revisions; equal for equal replicas."""
        if self._digest is None:
            versions = sorted((key, item.revision) for key, item in self._items.items())
            self._digest = zlib.crc32(repr(versions).encode())
        return self._digest

    def apply(self, items: Iterable[StoreItem], revision: int) -> tuple[str, ...]:
        """Apply the changes up to a revision and return the keys that changed."""
        changed = tuple(item.key for item in items if self._apply_item(item))
        self._revision = max(self._revision, revision)
        return changed

    def replace(self, items: Iterable[StoreItem], revision: int) -> tuple[str, ...]:
        """Apply a complete list and return the keys that changed.

        A list older than this replica is ignored: an item that it names and that is
        unknown here was removed since, perhaps without a tombstone here.
        """
        if revision < self._revision:
            return ()
        listed = tuple(items)
        present = {item.key for item in listed}
        missing = [
            StoreItem(key, b"", revision, True)
            for key, item in self._items.items()
            if key not in present and item.revision <= revision
        ]
        self._complete_since = max(self._complete_since, self._revision)
        return self.apply((*listed, *missing), revision)

    def drop_content(self, key: str) -> None:
        """Keep the key and the revision of an item, but not its content."""
        self._items[key] = self._items[key]._replace(value=b"")

    def changes_since(self, revision: int) -> tuple[StoreItem, ...] | None:
        """Return the items that changed after a revision, including removed ones.

        Returns
        -------
        tuple of StoreItem or None
            None if the tombstones do not reach back that far, so that a complete
            list is needed.
        """
        if revision < self._complete_since:
            return None
        known = (*self._items.values(), *self._tombstones.values())
        return tuple(item for item in known if item.revision > revision)

    def _apply_item(self, item) -> bool:
        known = self._items.get(item.key) or self._tombstones.get(item.key)
        if known is not None and known.revision >= item.revision:
            return False
        self._digest = None
        self._items.pop(item.key, None)
        self._tombstones.pop(item.key, None)
        if item.is_removed:
            self._tombstones[item.key] = item
            self._trim_tombstones()
        else:
            self._items[item.key] = item
        return True

    def _trim_tombstones(self):
        while len(self._tombstones) > MAX_TOMBSTONES:
            oldest = self._tombstones.pop(next(iter(self._tombstones)))
            self._complete_since = max(self._complete_since, oldest.revision)
