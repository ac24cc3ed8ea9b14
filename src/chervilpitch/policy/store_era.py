"""Era of the store, and whether what the store shows in it proves anything."""

from chervilpitch.model import FIRST_ERA

__all__ = ["StoreEra"]

ORIGINAL_ERA = 1
SETTLING_S = 2.0


class StoreEra:
    """Newest era of the store that is known, and the configuration shown in it.

    A store that is restored from a copy loses what it acknowledged since, until its
    writers write it again. It then shows an older configuration, which proves nothing.
    Where it shows the configuration in force, a newer one may be lost and unknown to
    this instance. That is a proof only if the configuration was written again or the
    era began ``SETTLING_S`` ago.

    Examples
    --------
    >>> era = StoreEra()
    >>> era.observe(1, now_s=10.0), era.observe(2, now_s=20.0), era.observe(1, 21.0)
    (False, True, False)
    >>> era.number, era.changed_at_s
    (2, 20.0)
    """

    def __init__(self) -> None:
        self._number: int | None = None
        self._changed_at_s = float("-inf")
        self._shown_version: int | None = None
        self._is_rewritten = False

    @property
    def number(self) -> int:
        """The newest era known."""
        return FIRST_ERA if self._number is None else self._number

    @property
    def shown_version(self) -> int | None:
        """Version that the store last showed; None before the first one."""
        return self._shown_version

    @property
    def changed_at_s(self) -> float:
        """Monotonic time in seconds of the latest change; -inf before the first."""
        return self._changed_at_s

    @property
    def is_restored_once(self) -> bool:
        """Whether the store was restored exactly once since it was created.

        Only then has each version a single revision in all copies.
        """
        return self._number == ORIGINAL_ERA + 1

    def observe(self, number: int, now_s: float) -> bool:
        """Record an era that the store or another instance states.

        Parameters
        ----------
        number : int
            The era; one that is earlier than a known one is ignored.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether it follows another era, so that the store was restored.
        """
        if self._number is not None and number <= self._number:
            return False
        is_change = self._number is not None
        self._number = number
        if is_change:
            self._changed_at_s = now_s
            self._shown_version = 0
            self._is_rewritten = False
        return is_change

    def record_shown(self, version: int, is_rewritten: bool) -> None:
        """Record the version of the configuration that the store shows.

        Parameters
        ----------
        version : int
            Its version.
        is_rewritten : bool
            Whether it is known to have been written in this era; this holds for later
            versions too.
        """
        self._shown_version = version
        self._is_rewritten = self._is_rewritten or is_rewritten

    def shows(self, version: int) -> bool:
        """Return whether the store last showed the given version or a newer one.

        This is assumed as long as it has shown nothing in the first era known.

        Parameters
        ----------
        version : int
            Version of the configuration in force.
        """
        return self._shown_version is None or self._shown_version >= version

    def proves(self, version: int, now_s: float) -> bool:
        """Return whether the store shows that no version is newer than the given one.

        Parameters
        ----------
        version : int
            Version of the configuration in force.
        now_s : float
            Monotonic time in seconds.
        """
        if self._shown_version is None:
            return True
        if not self.shows(version):
            return False
        return self._is_rewritten or now_s - self._changed_at_s >= SETTLING_S
