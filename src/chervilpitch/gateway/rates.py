"""Exchange of client accounts' usage counters between instances."""

from collections.abc import Iterable

from chervilpitch.policy import (
    AccountUsage,
    ContinuedUsage,
    GroupUsage,
    OwnUsage,
    ReportedUsage,
    UsageCounters,
)

from .messages import incarnation_of, region_of, region_source_of
from .state import GatewayState

__all__ = ["RateSharing"]

COUNTER_STARTUP_PERIOD_S = 3.0
CONFIRMATION_WAIT_S = 0.5
"""Time that an earlier aggregator has to confirm tokens before they are left to the
next one. Its messages come every 0.28 s, and one may be lost."""
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
        self._region = UsageCounters()
        self._group = GroupUsage(including=self._region)
        self._others = UsageCounters(including=self._region)
        self._own = OwnUsage(including=self._region)
        self._own.enter(self._group)
        own = state.members.own
        self._continued_region = ContinuedUsage(
            self._region, region_source_of(own.name, own.region, own.incarnation)
        )
        self._group_reports = ReportedUsage(self._group)
        self._others_reports = ReportedUsage(self._others)
        state.set_admission_counters(self._own)
        self._receivers: frozenset[str] = frozenset()
        self._aggregator = ""
        self._aggregator_incarnation = 0
        self._is_continued = False
        self._has_moved = False
        self._relayed_sources: set[str] = set()
        self._relayed_pairs: set[tuple[str, str]] = set()
        self._relayed_at_s = float("-inf")
        self._join_due_at_s: float | None = None
        self._ended_pairs: dict[tuple[str, str], float] = {}
        self._started_at_s = clock()

    @property
    def is_continued(self) -> bool:
        """Whether a part of the counters was counted under another source.

        This is so after a change of the aggregator, or of this instance's own role.
        """
        return self._is_continued

    @property
    def aggregator_incarnation(self) -> int:
        """Incarnation of this instance's aggregator; 0 if it is one itself."""
        return self._aggregator_incarnation

    def set_receivers(
        self, names: Iterable[str], aggregator: str, incarnation: int = 0
    ) -> None:
        """Set who receives the counters; new receivers are to get all of them.

        Parameters
        ----------
        names : iterable of str
            This instance's aggregator, or the other aggregators if it is one itself.
        aggregator : str
            Name of this instance's aggregator; empty if it is one itself.
        incarnation : int
            Incarnation of that aggregator.
        """
        if (aggregator, incarnation) != self._aggregator_identity():
            self._is_continued = self._is_continued or self._own.has_sent
            self._has_moved = self._has_moved or not self._is_starting()
            self._record_aggregator_change(aggregator)
            self._end_known_sources()
            self._leave_aggregator(aggregator)
        self._aggregator = aggregator
        self._aggregator_incarnation = incarnation
        receivers = frozenset(names)
        if receivers - self._receivers:
            self._own.mark_all_unsent()
            self._group.mark_all_unsent()
        self._receivers = receivers

    def record_instance_usage(
        self,
        source: str,
        usages: tuple[AccountUsage, ...],
        is_continued: bool = False,
        aggregator_incarnation: int = 0,
    ) -> tuple[AccountUsage, ...]:
        """Record the counters of an instance whose aggregator this one is.

        Parameters
        ----------
        source : str
            Incarnation that counts, as :func:`source_of` names it.
        usages : tuple of AccountUsage
            Counters of that incarnation.
        is_continued : bool
            Whether another aggregator has counted a part of them.
        aggregator_incarnation : int
            Incarnation of this instance that they are meant for; 0 if not stated.

        Returns
        -------
        tuple of AccountUsage
            The counters as they are passed on to the group, with what was added. They
            are empty if meant for an earlier incarnation, as the source then states
            as counted less than it will once it knows this one.
        """
        if aggregator_incarnation not in (0, self._members.own.incarnation):
            return ()
        if aggregator_incarnation:
            usages = tuple(
                usage._replace(gained=usage.admitted - usage.counted)
                for usage in usages
            )
        is_new = self._started_no_earlier(source) and not is_continued
        is_new = is_new and not aggregator_incarnation
        added = self._group_reports.add(source, usages, is_new)
        self._record_usage(source, added, is_new)
        return added

    def record_aggregate_usage(
        self, source: str, usages: tuple[AccountUsage, ...], is_continued: bool
    ) -> None:
        """Record the counters of another aggregator and its group.

        Parameters
        ----------
        source : str
            Group that counts, as :func:`group_source_of` names it.
        usages : tuple of AccountUsage
            Sums of the group's counters.
        is_continued : bool
            Whether a part of them was counted under another source.
        """
        if self._aggregator:
            # Its aggregator reports the same tokens to this instance.
            return
        self._charge_ended_sources()
        is_new = self._started_no_earlier(source)
        is_new = is_new and not is_continued and not self._is_continued
        is_new = is_new and not self._has_moved
        self._others_reports.add(source, usages, is_new)
        self._record_usage(source, usages, is_new)

    def record_relayed_usage(
        self, source: str, usages: tuple[AccountUsage, ...], is_continued: bool
    ) -> None:
        """Record counters of an instance that is in the same group.

        Parameters
        ----------
        source : str
            Incarnation that counts.
        usages : tuple of AccountUsage
            Its counters.
        is_continued : bool
            Whether a part of them may have been counted under another source.
        """
        is_new = self._started_no_earlier(source)
        is_new = is_new and not is_continued and not self._has_moved
        self._relayed_sources.add(source)
        self._record_relayed(source, usages, is_new)

    def confirm_own_usage(self, usages: Iterable[AccountUsage]) -> None:
        """Record that an aggregator of this instance has counted its tokens."""
        self._own.confirm(usages)

    def send_unconfirmed_usage_again(self) -> None:
        """Return the own counters that are not confirmed at the next call."""
        self._own.send_unconfirmed_again()

    def record_relay(self) -> None:
        """Record that this instance's aggregator was heard.

        What it does not mention of its group has not changed.
        """
        self._charge_ended_sources()
        now_s = self._clock()
        self._relayed_at_s = now_s
        self._state.report_loss.record_aggregator(now_s)
        for source in self._relayed_sources:
            self._state.record_usage_source(source, now_s)

    def record_region_usage(
        self, source: str, usages: tuple[AccountUsage, ...]
    ) -> None:
        """Record the sums of another region; see :meth:`record_summed_usage`."""
        region = region_of(source) or source
        self._state.report_loss.record_region(region, self._clock())
        is_new = self._is_starting() and self._started_no_earlier(source)
        self._record_usage(source, usages, is_new)

    def record_summed_usage(
        self, source: str, usages: tuple[AccountUsage, ...]
    ) -> None:
        """Record the sums of the other groups.

        They are charged in full only if both this instance and the source have just
        started: counters of a source that takes over later include requests that an
        earlier source has already reported.

        Parameters
        ----------
        source : str
            Source that added up the counters; see :func:`source_of`.
        usages : tuple of AccountUsage
            The sums.
        """
        is_new = self._is_starting() and self._started_no_earlier(source)
        self._record_relayed(source, usages, is_new)

    def take_unsent_usage(self) -> tuple[AccountUsage, ...]:
        """Return own counters that changed since the last call, and mark them sent.

        While an earlier aggregator may confirm tokens, there are none, unless a bucket
        is low.
        """
        if self._join_due_at_s is not None:
            is_early = self._clock() < self._join_due_at_s
            if is_early and not any(map(self.is_low, self._own.unsent)):
                return ()
            self._own.join()
            self._join_due_at_s = None
        usages = self._own.take_unsent()
        self._record_use(usages)
        return usages

    def take_unsent_group_usage(self) -> tuple[AccountUsage, ...]:
        """Return the group's counters that changed since the last call.

        They include this instance's counters, and are marked as sent.
        """
        usages = self._group.take_unsent()
        if self._receivers:
            self._own.confirm_all()
        return usages

    def take_unsent_others_usage(self) -> tuple[AccountUsage, ...]:
        """Return the other groups' counters that changed since the last call."""
        return self._others.take_unsent()

    def send_others_usage_again(self) -> None:
        """Return all of the other groups' counters at the next call."""
        self._others.mark_all_unsent()

    @property
    def region_source(self) -> str:
        """Name under which the counters of the region are reported."""
        return self._continued_region.source

    @property
    def is_following_region(self) -> bool:
        """Whether this instance could go on reporting in the place of another."""
        return self._continued_region.is_following

    def follow_region_usage(
        self, source: str, usages: tuple[AccountUsage, ...]
    ) -> None:
        """Continue the counters that another instance reports for this region."""
        self._continued_region.follow(source, usages)

    def take_unsent_region_usage(self) -> tuple[AccountUsage, ...]:
        """Return the counters of the region that changed since the last call."""
        return self._continued_region.take_unsent()

    def send_region_usage_again(self) -> None:
        """Return all counters of the region at the next call."""
        self._region.mark_all_unsent()

    def is_low(self, account: str) -> bool:
        """Return whether a client account's bucket is low."""
        bucket = self._state.buckets.get(account)
        return bucket is not None and bucket.is_low(self._clock())

    def is_report_urgent(self) -> bool:
        """Return whether unsent admissions could lead to an exceeded rate."""
        counters = self._own if self._aggregator else self._group
        return any(self.is_low(account) for account in counters.unsent)

    def is_region_report_urgent(self) -> bool:
        """Return whether admissions that other regions don't know could do so."""
        return any(self.is_low(account) for account in self._region.unsent)

    def is_in_use(self) -> bool:
        """Return whether tokens were taken recently, here or elsewhere."""
        return self._state.report_loss.is_in_use(self._clock())

    def _aggregator_identity(self) -> tuple[str, int]:
        return self._aggregator, self._aggregator_incarnation

    def _leave_aggregator(self, aggregator):
        """Leave the tokens that are not confirmed to another aggregator."""
        self._own.leave()
        self._join_due_at_s = None
        if not aggregator:
            self._own.enter(self._group)
        elif self._aggregator:
            self._join_due_at_s = self._clock() + CONFIRMATION_WAIT_S
        else:
            self._own.join()

    def _end_known_sources(self):
        """Forget the sources of this instance's region.

        If they are known under the same name later, what other sources reported in
        the meantime is not charged again. While instances start, all counters begin
        at zero and are charged in full.
        """
        self._relayed_sources.clear()
        if self._is_starting():
            return
        self._ended_pairs |= dict.fromkeys(self._relayed_pairs, self._relayed_at_s)
        for reports in (self._group_reports, self._others_reports):
            self._ended_pairs |= dict.fromkeys(reports.pairs(), float("-inf"))
        self._relayed_pairs.clear()
        self._others_reports.forget()

    def _charge_ended_sources(self):
        """Charge what ended sources are likely to have taken until now."""
        now_s = self._clock()
        for (source, account), last_report_at_s in self._ended_pairs.items():
            bucket = self._state.buckets.get(account)
            if bucket is not None:
                bucket.end_source(source, now_s, last_report_at_s)
        self._ended_pairs.clear()

    def _record_relayed(self, source, usages, is_new):
        self._relayed_pairs.update((source, usage.account) for usage in usages)
        self._record_usage(source, usages, is_new)

    def _record_aggregator_change(self, aggregator):
        if not aggregator:
            self._state.report_loss.end_aggregator()
        elif not self._aggregator:
            self._state.report_loss.record_aggregator(self._clock())

    def _record_use(self, usages):
        if usages:
            self._state.report_loss.record_use(self._clock())

    def _is_starting(self) -> bool:
        return self._clock() < self._started_at_s + COUNTER_STARTUP_PERIOD_S

    def _started_no_earlier(self, source) -> bool:
        """Return whether a source started no earlier than this instance.

        Start times count as equal within ``START_TIME_TOLERANCE_MS``.
        """
        earliest_ms = self._members.own.incarnation - START_TIME_TOLERANCE_MS
        return incarnation_of(source) >= earliest_ms

    def _record_usage(self, source, usages, started_no_earlier):
        now_s = self._clock()
        self._record_use(usages)
        for usage in usages:
            bucket = self._state.buckets.get(usage.account)
            if bucket is not None:
                bucket.add_report(
                    source,
                    usage.admitted,
                    now_s,
                    started_no_earlier,
                    usage.counted,
                    usage.gained,
                )
        self._state.record_usage_source(source, now_s)
