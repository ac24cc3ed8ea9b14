"""Which upstreams are listed, from entries that may be late or missing for a while."""

from collections.abc import Iterable

from chervilpitch.model import UpstreamEntry

__all__ = ["UpstreamListing"]

MOST_REMEMBERED = 4_000


class UpstreamListing:
    """The newest entry of each upstream.

    An entry of an earlier incarnation, or with an earlier sequence number, that
    arrives late is ignored. While entries may be missing because the store was
    away, those known before stay listed.

    Examples
    --------
    >>> listing = UpstreamListing()
    >>> listing.update([], now_s=1.0, missing_until_s=0.0)
    ()
    """

    def __init__(self) -> None:
        self._listed: dict[str, UpstreamEntry] = {}
        self._removed: dict[str, UpstreamEntry] = {}

    def update(
        self, entries: Iterable[UpstreamEntry], now_s: float, missing_until_s: float
    ) -> tuple[UpstreamEntry, ...]:
        """Take in the entries that are in the store and return those that hold.

        Parameters
        ----------
        entries : iterable of UpstreamEntry
            Everything in the store.
        now_s : float
            Monotonic time in seconds.
        missing_until_s : float
            Time until which an entry that is not there may come back.
        """
        present = {}
        for entry in entries:
            known = self._listed.get(entry.name) or self._removed.get(entry.name)
            if known is None or _age(entry) >= _age(known):
                present[entry.name] = entry
            elif entry.name in self._listed:
                present[entry.name] = known
        for name, known in self._listed.items():
            if name in present:
                continue
            if now_s < missing_until_s:
                present[name] = known
            else:
                self._remember(known)
        self._listed = present
        return tuple(present.values())

    def _remember(self, entry):
        self._removed.pop(entry.name, None)
        self._removed[entry.name] = entry
        while len(self._removed) > MOST_REMEMBERED:
            del self._removed[next(iter(self._removed))]


def _age(entry: UpstreamEntry) -> tuple[int, int]:
    return entry.born_ms, entry.sequence
