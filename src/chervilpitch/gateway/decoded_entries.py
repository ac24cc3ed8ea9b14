"""Decoding of the upstreams' entries in the replica of the store."""

from collections.abc import Collection, Iterable

from chervilpitch import platform
from chervilpitch.model import StoreItem, UpstreamEntry
from chervilpitch.observe import part_logger
from chervilpitch.policy import ItemReplica

__all__ = ["DecodedEntries"]

log = part_logger("state")


class DecodedEntries:
    """Entries of a replica that name an upstream, decoded once for each change.

    The content of a malformed entry is dropped from the replica. It may be larger
    than all other entries, which are passed on to other instances in one datagram.

    Parameters
    ----------
    replica : ItemReplica
        Replica of the entries in the store.
    """

    def __init__(self, replica: ItemReplica):
        self._replica = replica
        self._entries: dict[str, UpstreamEntry] = {}
        self._malformed = 0

    @property
    def malformed_count(self) -> int:
        """Number of entries that could not be decoded so far."""
        return self._malformed

    @property
    def entries(self) -> Collection[UpstreamEntry]:
        """Entries that name an upstream."""
        return self._entries.values()

    def update(self, keys: Iterable[str]) -> None:
        """Decode the entries of the keys that changed.

        Parameters
        ----------
        keys : iterable of str
            Keys whose items were added, replaced or removed.
        """
        items = {item.key: item for item in self._replica.items}
        for key in keys:
            self._entries.pop(key, None)
            if key in items:
                self._decode(items[key])

    def _decode(self, item: StoreItem) -> None:
        try:
            decoded = platform.decode_entry(item.key, item.value)
        except Exception:
            log.exception("Decoding of an upstream entry failed.", entry=item.key)
            self._drop(item)
            return
        if decoded.is_ok():
            self._entries[item.key] = decoded.unwrap()
            return
        log.warning(
            "Upstream entry could not be decoded; ignored it.",
            entry=item.key,
            cause=str(decoded.unwrap_err()),
        )
        self._drop(item)

    def _drop(self, item):
        self._malformed += 1
        self._replica.drop_content(item.key)
