"""Entries of the upstreams in the store, and the upstreams that they list."""

from chervilpitch import platform
from chervilpitch.model import FIRST_ERA, StoreItem
from chervilpitch.observe import part_logger
from chervilpitch.policy import ItemReplica, UpstreamListing, UpstreamTable

from .decoded_entries import DecodedEntries

__all__ = ["UpstreamEntries"]

log = part_logger("state")

MISSING_ENTRY_GRACE_S = 2.2


class UpstreamEntries:
    """Replica of the upstreams' entries, which keeps the table of upstreams up to date.

    Parameters
    ----------
    upstreams : UpstreamTable
        State of all upstreams.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, upstreams: UpstreamTable, clock):
        self._upstreams = upstreams
        self._clock = clock
        self._replica = ItemReplica()
        self._decoded = DecodedEntries(self._replica)
        self._listing = UpstreamListing()
        self._is_removal_pending = False

    @property
    def replica(self) -> ItemReplica:
        """Replica of the entries as stored."""
        return self._replica

    @property
    def malformed_count(self) -> int:
        """Number of entries that could not be decoded so far."""
        return self._decoded.malformed_count

    def apply(
        self,
        items: tuple[StoreItem, ...],
        revision: int,
        is_complete: bool,
        outage_ended_at_s: float,
        era: int = FIRST_ERA,
    ) -> None:
        """Apply entries that were read from the store.

        Parameters
        ----------
        items : tuple of StoreItem
            The entries that have changed, or all of them.
        revision : int
            Revision of the store that the items reach up to.
        is_complete : bool
            Whether the items are all entries; they then replace the earlier ones.
        outage_ended_at_s : float
            Monotonic time in seconds of the end of the store's latest outage.
        era : int
            Era of the store to which the revisions belong.
        """
        update = self._replica.replace if is_complete else self._replica.apply
        changed = update(items, revision, era)
        if changed:
            self._update(changed, outage_ended_at_s)

    def remove_missing(self, outage_ended_at_s: float) -> None:
        """Remove upstreams whose entries are still missing after an outage.

        Parameters
        ----------
        outage_ended_at_s : float
            Monotonic time in seconds of the end of the store's latest outage.
        """
        if self._is_removal_pending:
            self._update((), outage_ended_at_s)

    def _update(self, keys, outage_ended_at_s):
        """Decode the entries of the keys that changed, and update the upstreams."""
        self._decoded.update(keys)
        now_s = self._clock()
        missing_until_s = outage_ended_at_s + MISSING_ENTRY_GRACE_S
        listed = self._listing.update(
            self._decoded.entries, now_s, missing_until_s, self._copied_names()
        )
        self._is_removal_pending = now_s < missing_until_s
        self._upstreams.update_entries(listed, now_s)
        if keys:
            log.info("Upstreams changed.", changed=len(keys), listed=len(listed))

    def _copied_names(self) -> set[str]:
        """Return the upstreams whose entries may come from a copy of the store."""
        return {
            item.key.removeprefix(platform.ENTRY_PREFIX)
            for item in self._replica.items
            if item.revision <= self._replica.copied_until
        }
