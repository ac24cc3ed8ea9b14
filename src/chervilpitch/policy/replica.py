"""Replica of store items that the instances of a region pass on to each other."""

import zlib
from collections.abc import Iterable

from chervilpitch.model import FIRST_ERA, StoreItem, StorePosition

__all__ = ["ItemReplica"]

MAX_TOMBSTONES = 2_000


class ItemReplica:
    """Items under one prefix, with tombstones of recently removed ones.

    Examples
    --------
    >>> from chervilpitch.model import FIRST_ERA, StoreItem, StorePosition
    >>> replica = ItemReplica()
    >>> replica.apply([StoreItem("a", b"1", 5, False)], 7)
    ('a',)
    >>> [item.key for item in replica.changes_since(4)], replica.revision
    (['a'], 7)
    """

    def __init__(self) -> None:
        self._items: dict[str, StoreItem] = {}
        self._tombstones: dict[str, StoreItem] = {}
        self._position = StorePosition()
        self._complete_since = 0
        self._copied_until = 0
        self._digest: int | None = None

    @property
    def revision(self) -> int:
        """Store revision up to which all changes are known; 0 for none."""
        return self._position.revision

    @property
    def era(self) -> int:
        """Era of the store to which the items and revisions belong."""
        return self._position.era

    @property
    def copied_until(self) -> int:
        """Revision up to which items may come from an older copy of the store.

        It is 0 in the first era that this replica knows.
        """
        return self._copied_until

    @property
    def items(self) -> tuple[StoreItem, ...]:
        """Items that exist."""
        return tuple(self._items.values())

    @property
    def digest(self) -> int:
        """Checksum of the keys and revisions; equal for equal replicas of an era."""
        if self._digest is None:
            versions = sorted((key, item.revision) for key, item in self._items.items())
            self._digest = zlib.crc32(repr(versions).encode())
        return self._digest

    def apply(
        self, items: Iterable[StoreItem], revision: int, era: int = FIRST_ERA
    ) -> tuple[str, ...]:
        """Apply the changes up to a revision and return the keys that changed.

        Changes in another era than that of this replica are ignored.
        """
        if era != self._position.era:
            return ()
        changed = tuple(item.key for item in items if self._apply_item(item))
        self._position = max(self._position, StorePosition(era, revision))
        return changed

    def replace(
        self, items: Iterable[StoreItem], revision: int, era: int = FIRST_ERA
    ) -> tuple[str, ...]:
        """Apply a complete list and return the keys that changed.

        A list older than this replica is ignored: an item that it names and that is
        unknown here was removed since, perhaps without a tombstone here. A list of a
        later era replaces everything, as its revisions can't be compared.
        """
        position = StorePosition(era, revision)
        if position < self._position:
            return ()
        if era != self._position.era:
            return self._replace_era(tuple(items), position)
        listed = tuple(items)
        present = {item.key for item in listed}
        missing = [
            StoreItem(key, b"", revision, True)
            for key, item in self._items.items()
            if key not in present and item.revision <= revision
        ]
        self._complete_since = max(self._complete_since, self.revision)
        return self.apply((*listed, *missing), revision, era)

    def _replace_era(self, listed, position) -> tuple[str, ...]:
        before = {key: item.value for key, item in self._items.items()}
        after = {item.key: item.value for item in listed}
        is_first = self._position == StorePosition()
        self._items = {item.key: item for item in listed}
        self._tombstones.clear()
        self._position = position
        self._complete_since = position.revision
        self._copied_until = 0 if is_first else position.revision
        self._digest = None
        return tuple(key for key in before | after if before.get(key) != after.get(key))

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
