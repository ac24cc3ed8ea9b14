"""What instances tell each other of client accounts' use of their rates."""

from chervilpitch.policy import AccountUsage, UsageTotals

from .messages import incarnation_of
from .state import GatewayState

__all__ = ["RateSharing"]

COUNTERS_YOUNG_FOR_S = 3.0
START_TOLERANCE_MS = 1_000


class RateSharing:
    """Counters of admitted requests, told by this instance and by the others.

    Parameters
    ----------
    state : GatewayState
        What the instance knows.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, state: GatewayState, clock):
        self._state = state
        self._members = state.members
        self._clock = clock
        self._totals = UsageTotals()
        self._told: dict[str, int] = {}
        self._started_at_s = clock()

    def take_instance(self, source: str, usages: tuple[AccountUsage, ...]) -> None:
        """Take in what an instance of the region has admitted.

        Parameters
        ----------
        source : str
            The incarnation, as :func:`source_of` names it.
        usages : tuple of AccountUsage
            Its counters.
        """
        began_after = self._began_after(source)
        self._totals.add(source, usages, began_after)
        self._take(source, usages, began_after)

    def take_region(self, source: str, usages: tuple[AccountUsage, ...]) -> None:
        """Take in what another region has admitted.

        Its counters count whole only where both have just started: one that adds up
        later has counted what an earlier one has told.

        Parameters
        ----------
        source : str
            The incarnation that has added up the counters.
        usages : tuple of AccountUsage
            The region's counters.
        """
        is_young = self._clock() < self._started_at_s + COUNTERS_YOUNG_FOR_S
        self._take(source, usages, is_young and self._began_after(source))

    def changed(self) -> tuple[AccountUsage, ...]:
        """Return own counters that have changed since they were told last."""
        changed = tuple(
            AccountUsage(name, bucket.admitted)
            for name, bucket in self._state.buckets.items()
            if bucket.admitted != self._told.get(name, 0)
        )
        self._told.update(changed)
        return changed

    def of_region(self) -> tuple[AccountUsage, ...]:
        """Return what the region has admitted, this instance included."""
        own = {name: bucket.admitted for name, bucket in self._state.buckets.items()}
        others = dict(self._totals.usages())
        names = own.keys() | others.keys()
        return tuple(
            AccountUsage(name, own.get(name, 0) + others.get(name, 0))
            for name in sorted(names)
        )

    def is_any_low(self) -> bool:
        """Return whether other regions should know of each admission at once."""
        now_s = self._clock()
        return any(bucket.is_low(now_s) for bucket in self._state.buckets.values())

    def is_urgent(self) -> bool:
        """Return whether admissions that weren't told could exceed a rate."""
        now_s = self._clock()
        return any(
            bucket.is_low(now_s) and bucket.admitted != self._told.get(name, 0)
            for name, bucket in self._state.buckets.items()
        )

    def _began_after(self, source) -> bool:
        """Return whether an instance started when this one did, or later."""
        earliest = self._members.own.incarnation - START_TOLERANCE_MS
        return incarnation_of(source) >= earliest

    def _take(self, source, usages, began_after):
        now_s = self._clock()
        for usage in usages:
            bucket = self._state.buckets.get(usage.account)
            if bucket is not None:
                bucket.add_report(source, usage.admitted, now_s, began_after)
