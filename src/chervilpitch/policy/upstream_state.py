"""State of one upstream as seen by one instance."""

import math
from typing import NamedTuple

from chervilpitch.model import UpstreamEntry

from .failure_estimate import FailureEstimate, lateness_log_odds, logistic
from .latency import LatencyBaseline
from .remote_loads import RemoteLoads

__all__ = ["PendingAttempt", "UpstreamReport", "UpstreamState"]

MAX_LATENESS_LOG_ODDS = 6.0
URGENT_LATENESS_LOG_ODDS = 1.5
REPORTED_LATENESS_STEP = 0.5
"""Increase in log-odds from which the evidence of late requests is reported again."""
REPORT_REFRESH_S = 0.5
"""Interval at which an unchanged load is reported again before it expires."""
REPORTED_LOAD_TTL_S = 0.25
SLOWNESS_GAIN = 0.25
MAX_SLOWNESS = 8.0
SLOWNESS_DECAY_S = 5.0
COLD_START_SLOWNESS = 2.0
CONNECT_BACKOFFS_S = (0.5, 1.0, 2.0, 4.0)


class UpstreamReport(NamedTuple):
    """Report on one upstream by one instance or a group, for other instances.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    in_flight : int
        Requests that are waiting for a response.
    lateness : float
        Evidence of failure from these requests, in log-odds.
    succeeded, failed : int
        Requests that succeeded and failed since the previous report.
    late : float
        Evidence of failure from requests abandoned since the previous report, in
        log-odds.
    """

    upstream: str
    in_flight: int
    lateness: float
    succeeded: int
    failed: int
    late: float


class PendingAttempt(NamedTuple):
    """An attempt that is waiting for a response.

    Parameters
    ----------
    baseline : LatencyBaseline
        Response times of its route.
    sent_at_s : float
        Monotonic time in seconds at which it was sent.
    """

    baseline: LatencyBaseline
    sent_at_s: float

    def lateness(self, now_s: float) -> float:
        """Return the evidence of failure from the wait so far, in log-odds."""
        return lateness_log_odds(self.baseline.survival(now_s - self.sent_at_s))


class UpstreamState:
    """Load, evidence of failure and reachability of one upstream.

    Parameters
    ----------
    entry : UpstreamEntry
        Entry that the upstream has written to the store.
    now_s : float
        Monotonic time in seconds.
    unreported : set of UpstreamState
        The state adds itself when it has something to report to other instances.
    """

    def __init__(
        self, entry: UpstreamEntry, now_s: float, unreported: "set[UpstreamState]"
    ):
        self._entry = entry
        self._unreported = unreported
        self._cold_until_s = now_s + entry.cold_for_s
        self._estimate = FailureEstimate()
        self._pending: dict[int, PendingAttempt] = {}
        self._remote = RemoteLoads()
        self._reported_load = 0
        self._reported_at_s = float("-inf")
        self._slowness = 1.0
        self._slowness_at_s = now_s
        self._connect_failures = 0
        self._connect_blocked_until_s = float("-inf")
        self._is_misdirected = False
        self._is_leaving = False
        self._succeeded = 0
        self._failed = 0
        self._late = 0.0
        self._sent_lateness = 0.0
        self._refresh_due_at_s = float("-inf")
        self._is_reported = True
        self._tried_at_s = -math.inf

    @property
    def entry(self) -> UpstreamEntry:
        """Latest entry of the upstream."""
        return self._entry

    @property
    def tried_at_s(self) -> float:
        """Monotonic time in seconds at which the upstream was last tried.

        This is the latest request sent by this instance, or the latest report of
        another instance that shows a new request or a response.
        """
        return self._tried_at_s

    @property
    def is_leaving(self) -> bool:
        """Whether the upstream has stated in a response that it is leaving."""
        return self._is_leaving

    def update_entry(self, entry: UpstreamEntry) -> None:
        """Replace the entry by a newer one of the same incarnation."""
        self._entry = entry

    def mark_misdirected(self) -> None:
        """Record that a different upstream responds at the address."""
        self._is_misdirected = True

    def mark_leaving(self) -> None:
        """Record that the upstream is leaving, whatever its entry in the store says.

        An incarnation that has begun to leave does not come back.
        """
        self._is_leaving = True

    def is_usable(self, now_s: float) -> bool:
        """Return whether requests may be sent to the upstream."""
        if self._is_leaving or self._entry.is_draining or self._is_misdirected:
            return False
        return now_s >= self._connect_blocked_until_s

    def start_attempt(
        self, attempt: int, baseline: LatencyBaseline, now_s: float
    ) -> None:
        """Record that a request is being sent.

        Parameters
        ----------
        attempt : int
            Number of the attempt, unique on this instance.
        baseline : LatencyBaseline
            Response times of the route.
        now_s : float
            Monotonic time in seconds.
        """
        self._pending[attempt] = PendingAttempt(baseline, now_s)
        self._tried_at_s = now_s
        self._mark_unreported()

    def record_success(self, attempt: int, now_s: float) -> None:
        """Record a good response."""
        pending = self._remove_pending(attempt)
        latency_s = now_s - pending.sent_at_s
        ratio = latency_s / pending.baseline.median_s
        pending.baseline.observe(latency_s)
        self._observe_slowness(min(ratio, MAX_SLOWNESS), now_s)
        self._estimate.add_successes(now_s)
        self._succeeded += 1
        self._connect_failures = 0

    def record_failure(self, attempt: int, now_s: float) -> None:
        """Record a failure caused by the upstream."""
        self._remove_pending(attempt)
        self._estimate.add_failures(now_s)
        self._failed += 1

    def record_abandoned(self, attempt: int, now_s: float) -> None:
        """Record that a request was abandoned without a response."""
        evidence = self._remove_pending(attempt).lateness(now_s)
        self._estimate.add_lateness(now_s, evidence)
        self._late += evidence

    def record_not_run(self, attempt: int) -> None:
        """Record that the upstream did not get the request, or rejected it unrun."""
        self._remove_pending(attempt)

    def record_shed(self, attempt: int, now_s: float) -> None:
        """Record that the upstream shed the request because it is overloaded.

        An upstream that sheds requests although it reports free slots is failing.
        """
        if self._reported_load < self._entry.slots:
            self.record_failure(attempt, now_s)
        else:
            self._remove_pending(attempt)

    def record_unreachable(self, attempt: int, now_s: float) -> None:
        """Record that no connection to the upstream could be opened.

        This blocks the upstream for a backoff time on this instance. It is no
        evidence that the upstream is failing, as only this network path is known to
        be affected.
        """
        self._remove_pending(attempt)
        backoff_s = CONNECT_BACKOFFS_S[
            min(self._connect_failures, len(CONNECT_BACKOFFS_S) - 1)
        ]
        self._connect_failures += 1
        self._connect_blocked_until_s = now_s + backoff_s

    def record_load(self, running: int, waiting: int, now_s: float) -> None:
        """Record the numbers of running and waiting requests that it reports."""
        self._reported_load = running + waiting
        self._reported_at_s = now_s

    def add_report(self, report: UpstreamReport, source: str, now_s: float) -> bool:
        """Add the report of another instance or group of instances.

        Returns
        -------
        bool
            Whether it holds new evidence of failure that others should know at once.
        """
        previous = self._remote.record(source, report.in_flight, report.lateness, now_s)
        is_new_attempt = report.in_flight > previous.in_flight
        if is_new_attempt or report.succeeded or report.failed:
            self._tried_at_s = now_s
        if report.succeeded:
            self._estimate.add_successes(now_s, report.succeeded)
        if report.failed:
            self._estimate.add_failures(now_s, report.failed)
        if report.late:
            self._estimate.add_lateness(now_s, report.late)
        increase = report.lateness + report.late - previous.lateness
        return report.failed > 0 or increase > URGENT_LATENESS_LOG_ODDS

    def forget_reported_loads(self) -> None:
        """Forget the loads that other instances have reported."""
        self._remote.clear()

    def load(self, now_s: float) -> int:
        """Return the estimated number of requests at the upstream."""
        known = self._remote.in_flight(now_s) + len(self._pending)
        if now_s - self._reported_at_s < REPORTED_LOAD_TTL_S:
            return max(known, self._reported_load)
        return known

    def failure_probability(self, now_s: float) -> float:
        """Return the probability that the upstream is failing."""
        return logistic(self._estimate.log_odds(now_s) + self._total_lateness(now_s))

    def slowness(self, now_s: float) -> float:
        """Return the factor by which its responses are slower than usual."""
        cold = COLD_START_SLOWNESS if now_s < self._cold_until_s else 1.0
        return max(self._current_slowness(now_s), cold)

    def is_report_urgent(self, now_s: float) -> bool:
        """Return whether the next report should be sent without delay."""
        if self._failed or self._late > URGENT_LATENESS_LOG_ODDS:
            return True
        increase = self._own_lateness(now_s) - self._sent_lateness
        return increase > URGENT_LATENESS_LOG_ODDS

    def next_report(self, now_s: float) -> UpstreamReport | None:
        """Return the report for other instances and start a new one.

        Returns
        -------
        UpstreamReport or None
            None if nothing has changed and the load reported last is still valid.
        """
        if self._is_reported and not self._pending:
            self._unreported.discard(self)
            return None
        lateness = self._own_lateness(now_s)
        if self._is_reported and not self._is_refresh_due(lateness, now_s):
            return None
        self._sent_lateness = lateness
        self._refresh_due_at_s = now_s + REPORT_REFRESH_S
        report = UpstreamReport(
            self._entry.name,
            len(self._pending),
            round(self._sent_lateness, 2),
            self._succeeded,
            self._failed,
            round(self._late, 2),
        )
        self._succeeded = 0
        self._failed = 0
        self._late = 0.0
        self._is_reported = True
        return report

    def _is_refresh_due(self, lateness, now_s):
        increase = lateness - self._sent_lateness
        return now_s >= self._refresh_due_at_s or increase > REPORTED_LATENESS_STEP

    def _observe_slowness(self, ratio, now_s):
        slowness = self._current_slowness(now_s)
        self._slowness = slowness + SLOWNESS_GAIN * (ratio - slowness)
        self._slowness_at_s = now_s

    def _current_slowness(self, now_s):
        if self._slowness == 1.0:
            return 1.0
        decay = math.exp(-max(0.0, now_s - self._slowness_at_s) / SLOWNESS_DECAY_S)
        return 1 + (self._slowness - 1) * decay

    def _remove_pending(self, attempt) -> PendingAttempt:
        self._mark_unreported()
        return self._pending.pop(attempt)

    def _mark_unreported(self):
        self._is_reported = False
        self._unreported.add(self)

    def _own_lateness(self, now_s):
        if not self._pending:
            return 0.0
        return sum(item.lateness(now_s) for item in self._pending.values())

    def _total_lateness(self, now_s):
        lateness = self._remote.lateness(now_s) + self._own_lateness(now_s)
        return min(MAX_LATENESS_LOG_ODDS, lateness)
