"""Sums of the reports on upstreams that a group of instances sends its aggregator."""

from collections.abc import Iterable

from .remote_loads import RemoteLoads
from .upstream_state import URGENT_LATENESS_LOG_ODDS, UpstreamReport

__all__ = ["ReportTotals"]


class _UpstreamTotals:
    """Sums on one upstream since the previous report."""

    def __init__(self) -> None:
        self.loads = RemoteLoads()
        self.succeeded = 0
        self.failed = 0
        self.late = 0.0
        self.sent_lateness = 0.0
        self.is_changed = False

    def is_urgent(self, now_s: float) -> bool:
        """Return whether the sums should be sent without delay."""
        if self.failed or self.late > URGENT_LATENESS_LOG_ODDS:
            return True
        increase = self.loads.lateness(now_s) - self.sent_lateness
        return increase > URGENT_LATENESS_LOG_ODDS


class ReportTotals:
    """Sums of the reports of a group, by upstream.

    A report is counted once, whether the group's reports arrive one by one or
    together. A load that an instance has reported counts until its next report or
    until it expires.
    """

    def __init__(self) -> None:
        self._totals: dict[str, _UpstreamTotals] = {}

    def add(self, source: str, reports: Iterable[UpstreamReport], now_s: float) -> None:
        """Add the reports of an instance of the group.

        Parameters
        ----------
        source : str
            Incarnation of the instance.
        reports : iterable of UpstreamReport
            Its reports.
        now_s : float
            Monotonic time in seconds.
        """
        for report in reports:
            totals = self._totals.setdefault(report.upstream, _UpstreamTotals())
            totals.loads.record(source, report.in_flight, report.lateness, now_s)
            totals.succeeded += report.succeeded
            totals.failed += report.failed
            totals.late += report.late
            totals.is_changed = True

    def is_urgent(self, now_s: float) -> bool:
        """Return whether the sums should be sent without delay."""
        return any(totals.is_urgent(now_s) for totals in self._totals.values())

    def take(
        self, own_reports: Iterable[UpstreamReport], now_s: float
    ) -> tuple[UpstreamReport, ...]:
        """Return the sums of the group and this instance, and start new ones.

        Parameters
        ----------
        own_reports : iterable of UpstreamReport
            Reports of this instance since the previous call.
        now_s : float
            Monotonic time in seconds.
        """
        own = {report.upstream: report for report in own_reports}
        sums = []
        for name in list(self._totals):
            total = self._take_one(name, now_s)
            if total is not None:
                sums.append(_sum(total, own.pop(name, None)))
        return (*sums, *own.values())

    def _take_one(self, name, now_s) -> UpstreamReport | None:
        totals = self._totals[name]
        in_flight = totals.loads.in_flight(now_s)
        if not totals.is_changed and not in_flight:
            del self._totals[name]
            return None
        lateness = totals.loads.lateness(now_s)
        report = UpstreamReport(
            name,
            in_flight,
            round(lateness, 2),
            totals.succeeded,
            totals.failed,
            round(totals.late, 2),
        )
        totals.succeeded = 0
        totals.failed = 0
        totals.late = 0.0
        totals.sent_lateness = lateness
        totals.is_changed = False
        return report


def _sum(first: UpstreamReport, second: UpstreamReport | None) -> UpstreamReport:
    if second is None:
        return first
    numbers = (one + other for one, other in zip(first[1:], second[1:], strict=True))
    return UpstreamReport(first.upstream, *numbers)
