"""Share of the other instances' use of rates for which reports arrive.

While rates are in use, every source sends reports at short intervals, even without new
use. An instance without reports from its aggregator does not know the use of any other
instance; one without reports from a region does not know the use in that region.
"""

__all__ = ["ReportLoss"]

USE_MEMORY_S = 5.0
"""Time after which the last use of a token, or a region's last report, is forgotten."""
MAX_AGGREGATOR_STALENESS_S = 0.4
MAX_REGION_STALENESS_S = 0.7
SHARE_WITHOUT_AGGREGATOR = 0.1


class ReportLoss:
    """When reports on the use of rates were heard, and from where.

    Examples
    --------
    >>> reports = ReportLoss()
    >>> reports.record_use(10.0)
    >>> reports.record_region("south", 10.5)
    >>> reports.share(11.1), reports.share(11.3)
    (1.0, 0.5)
    """

    def __init__(self) -> None:
        self._used_at_s = float("-inf")
        self._in_use_from_s = float("-inf")
        self._last_relay_at_s: float | None = None
        self._last_region_reports_at_s: dict[str, float] = {}

    @property
    def in_use_from_s(self) -> float:
        """Monotonic time in seconds from which tokens were taken again."""
        return self._in_use_from_s

    def record_use(self, now_s: float) -> None:
        """Record that tokens were taken, here or elsewhere."""
        if not self.is_in_use(now_s):
            self._in_use_from_s = now_s
        self._used_at_s = now_s

    def record_aggregator(self, now_s: float) -> None:
        """Record that this instance's aggregator was heard, or has just been chosen."""
        self._last_relay_at_s = now_s

    def end_aggregator(self) -> None:
        """Record that this instance has no aggregator, as it is one itself."""
        self._last_relay_at_s = None

    def record_region(self, region: str, now_s: float) -> None:
        """Record that the sums of another region were heard."""
        self._last_region_reports_at_s[region] = now_s

    def is_in_use(self, now_s: float) -> bool:
        """Return whether tokens were taken recently, here or elsewhere.

        Others then need to hear from this instance also if it has nothing new to
        report.
        """
        return now_s < self._used_at_s + USE_MEMORY_S

    def share(self, now_s: float) -> float:
        """Return the share of the others' use for which reports arrive."""
        if not self.is_in_use(now_s):
            return 1.0
        last_relay_at_s = self._last_relay_at_s
        if (
            last_relay_at_s is not None
            and self._staleness_s(last_relay_at_s, now_s) > MAX_AGGREGATOR_STALENESS_S
        ):
            return SHARE_WITHOUT_AGGREGATOR
        known = [
            last_report_at_s
            for last_report_at_s in self._last_region_reports_at_s.values()
            if now_s - last_report_at_s < USE_MEMORY_S
        ]
        silent = sum(
            self._staleness_s(last_report_at_s, now_s) > MAX_REGION_STALENESS_S
            for last_report_at_s in known
        )
        return 1.0 - silent / (len(known) + 1)

    def _staleness_s(self, last_report_at_s, now_s) -> float:
        """Return the seconds of silence, which is none while no rate is in use."""
        return now_s - max(last_report_at_s, self._in_use_from_s)
