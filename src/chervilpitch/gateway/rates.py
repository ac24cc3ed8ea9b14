"""Exchange of client accounts' usage counters between instances."""

from chervilpitch.policy import AccountUsage, UsageTotals

from .messages import incarnation_of
from .state import GatewayState

__all__ = ["RateSharing"]

COUNTER_STARTUP_PERIOD_S = 3.0
START_TIME_TOLERANCE_MS = 1_000


class RateSharing:
    """Counters of admitted requests of this instance and of the others.

    Parameters
    ----------
    state : GatewayState
        State of the instance.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, state: GatewayState, clock):
        self._state = state
        self._members = state.members
        self._clock = clock
        self._totals = UsageTotals()
        self._sent: dict[str, int] = {}
        self._started_at_s = clock()

    def record_instance_usage(
        self, source: str, usages: tuple[AccountUsage, ...]
    ) -> None:
        """Record the counters of an instance in this region.

        Parameters
        ----------
        source : str
            Incarnation that counts, as :func:`source_of` names it.
        usages : tuple of AccountUsage
            Counters of that incarnation.
        """
        started_no_earlier = self._started_no_earlier(source)
        self._totals.add(source, usages, started_no_earlier)
        self._record_usage(source, usages, started_no_earlier)

    def record_region_usage(
        self, source: str, usages: tuple[AccountUsage, ...]
    ) -> None:
        """Record the counters of another region.

        They are charged in full only if both this instance and the source have just
        started: counters of a source that takes over later include requests that an
        earlier source has already reported.

        Parameters
        ----------
        source : str
            Incarnation that added up the counters, as :func:`source_of` names it.
        usages : tuple of AccountUsage
            Counters of the region.
        """
        is_starting = self._clock() < self._started_at_s + COUNTER_STARTUP_PERIOD_S
        self._record_usage(
            source, usages, is_starting and self._started_no_earlier(source)
        )

    def take_unsent_usage(self) -> tuple[AccountUsage, ...]:
        """Return own counters that changed since the last call, and mark them sent."""
        changed = tuple(
            AccountUsage(name, bucket.admitted)
            for name, bucket in self._state.buckets.items()
            if bucket.admitted != self._sent.get(name, 0)
        )
        self._sent.update(changed)
        return changed

    def region_usage(self) -> tuple[AccountUsage, ...]:
        """Return the requests admitted in the region, this instance included."""
        own = {name: bucket.admitted for name, bucket in self._state.buckets.items()}
        others = dict(self._totals.usages())
        names = own.keys() | others.keys()
        return tuple(
            AccountUsage(name, own.get(name, 0) + others.get(name, 0))
            for name in sorted(names)
        )

    def is_any_bucket_low(self) -> bool:
        """Return whether a bucket is low, so that each admission is to be reported."""
        now_s = self._clock()
        return any(bucket.is_low(now_s) for bucket in self._state.buckets.values())

    def is_report_urgent(self) -> bool:
        """Return whether unsent admissions could lead to an exceeded rate."""
        now_s = self._clock()
        return any(
            bucket.is_low(now_s) and bucket.admitted != self._sent.get(name, 0)
            for name, bucket in self._state.buckets.items()
        )

    def _started_no_earlier(self, source) -> bool:
        """Return whether a source started no earlier than this instance.

        Start times count as equal within ``START_TIME_TOLERANCE_MS``.
        """
        earliest_ms = self._members.own.incarnation - START_TIME_TOLERANCE_MS
        return incarnation_of(source) >= earliest_ms

    def _record_usage(self, source, usages, started_no_earlier):
        now_s = self._clock()
        for usage in usages:
            bucket = self._state.buckets.get(usage.account)
            if bucket is not None:
                bucket.add_report(source, usage.admitted, now_s, started_no_earlier)
