"""List of upstreams from store entries that may be outdated or missing."""

from collections.abc import Collection, Iterable

from chervilpitch.model import UpstreamEntry

__all__ = ["UpstreamListing"]

MAX_TOMBSTONES = 4_000


class UpstreamListing:
    """The newest entry of each upstream.

    An entry of an earlier incarnation, or with a lower sequence number, is ignored
    when it arrives late. While entries may be missing because of an outage of the
    store, upstreams that were listed before it stay listed.

    Examples
    --------
    >>> listing = UpstreamListing()
    >>> listing.update([], now_s=1.0, missing_until_s=0.0)
    ()
    """

    def __init__(self) -> None:
        self._listed: dict[str, UpstreamEntry] = {}
        self._tombstones: dict[str, UpstreamEntry] = {}

    def update(
        self,
        entries: Iterable[UpstreamEntry],
        now_s: float,
        missing_until_s: float,
        copied: Collection[str] = (),
    ) -> tuple[UpstreamEntry, ...]:
        """Apply the store's current entries and return the listed ones.

        Parameters
        ----------
        entries : iterable of UpstreamEntry
            Every entry in the store.
        now_s : float
            Monotonic time in seconds.
        missing_until_s : float
            Monotonic time in seconds until which a missing entry may reappear.
        copied : collection of str
            Upstreams whose entries may come from an older copy of the store. Such an
            entry doesn't restore an upstream that was removed with the same one.
        """
        present = {}
        for entry in entries:
            listed = self._listed.get(entry.name)
            known = listed or self._tombstones.get(entry.name)
            if known is None or _version(entry) > _version(known):
                present[entry.name] = entry
            elif listed is not None and _version(entry) < _version(known):
                present[entry.name] = listed
            elif _version(entry) == _version(known) and (
                listed is not None or entry.name not in copied
            ):
                present[entry.name] = entry
        for name, known in self._listed.items():
            if name in present:
                continue
            if now_s < missing_until_s:
                present[name] = known
            else:
                self._add_tombstone(known)
        self._listed = present
        return tuple(present.values())

    def _add_tombstone(self, entry):
        self._tombstones.pop(entry.name, None)
        self._tombstones[entry.name] = entry
        while len(self._tombstones) > MAX_TOMBSTONES:
            del self._tombstones[next(iter(self._tombstones))]


def _version(entry: UpstreamEntry) -> tuple[int, int]:
    return entry.born_ms, entry.sequence
