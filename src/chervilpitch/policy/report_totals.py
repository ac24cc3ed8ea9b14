"""Sums of the reports on upstreams by an aggregator and its group."""

from collections.abc import Iterable

from .remote_loads import RemoteLoads
from .upstream_records import UpstreamReport
from .upstream_state import (
    REPORT_REFRESH_S,
    REPORTED_LATENESS_STEP,
    URGENT_LATENESS_LOG_ODDS,
)

__all__ = ["ReportTotals"]


class _UpstreamTotals:
    """Sums on one upstream since the previous report."""

    def __init__(self) -> None:
        self.loads = RemoteLoads()
        self.succeeded = 0
        self.failed = 0
        self.late = 0.0
        self.sent_lateness = 0.0
        self.refresh_due_at_s = float("-inf")
        self.is_changed = False

    def is_urgent(self, now_s: float) -> bool:
        """Return whether the sums should be sent without delay."""
        if self.failed or self.late > URGENT_LATENESS_LOG_ODDS:
            return True
        increase = self.loads.lateness(now_s) - self.sent_lateness
        return increase > URGENT_LATENESS_LOG_ODDS

    def is_due(self, now_s: float) -> bool:
        """Return whether the sums changed or are to be sent again."""
        increase = self.loads.lateness(now_s) - self.sent_lateness
        is_later = increase > REPORTED_LATENESS_STEP
        return self.is_changed or is_later or now_s >= self.refresh_due_at_s


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
            Incarnation of an instance of the group, or of the aggregator itself.
        reports : iterable of UpstreamReport
            Its reports.
        now_s : float
            Monotonic time in seconds.
        """
        for report in reports:
            totals = self._totals.setdefault(report.upstream, _UpstreamTotals())
            previous = totals.loads.record(
                source, report.in_flight, report.lateness, now_s
            )
            totals.succeeded += report.succeeded
            totals.failed += report.failed
            totals.late += report.late
            has_ended = report.succeeded or report.failed or report.late
            if has_ended or report.in_flight != previous.in_flight:
                totals.is_changed = True

    def is_urgent(self, now_s: float) -> bool:
        """Return whether the sums should be sent without delay."""
        return any(totals.is_urgent(now_s) for totals in self._totals.values())

    def take(self, now_s: float) -> tuple[UpstreamReport, ...]:
        """Return the sums that changed or are to be sent again, and start new ones.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        """
        sums = (self._take_one(name, now_s) for name in list(self._totals))
        return tuple(report for report in sums if report is not None)

    def _take_one(self, name, now_s) -> UpstreamReport | None:
        totals = self._totals[name]
        in_flight = totals.loads.in_flight(now_s)
        if not totals.is_changed and not in_flight:
            del self._totals[name]
            return None
        if not totals.is_due(now_s):
            return None
        totals.refresh_due_at_s = now_s + REPORT_REFRESH_S
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
