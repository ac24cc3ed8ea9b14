"""State of one upstream as seen by one instance."""

import math

from chervilpitch.model import UpstreamEntry

from .failure_estimate import FailureEstimate
from .latency import LatencyBaseline
from .remote_loads import RemoteLoads
from .upstream_records import PendingAttempt, UpstreamReport
from .work import OwnWork, PendingWork, RequestCost, SpeedEstimate, unlearned_cost

__all__ = ["UpstreamState"]

MAX_LATENESS_LOG_ODDS = 6.0
URGENT_LATENESS_LOG_ODDS = 1.5
REPORTED_LATENESS_STEP = 0.5
"""Increase in log-odds from which the evidence of late requests is reported again."""
REPORT_REFRESH_S = 0.5
"""Interval at which an unchanged load is reported again before it expires."""
REPORTED_LOAD_TTL_S = 0.25
COLD_START_SLOWNESS = 2.0
CONNECT_BACKOFFS_S = (0.5, 1.0, 2.0, 4.0)


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
        self._work = OwnWork()
        self._reported_load = 0
        self._reported_waiting = 0
        self._slots = entry.slots
        self._reported_at_s = float("-inf")
        self._speed = SpeedEstimate()
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
        another instance that shows a new request. A response alone does not count: it
        may be that of a request sent long before.
        """
        return self._tried_at_s

    @property
    def slots(self) -> int:
        """Maximum number of concurrent requests, as it stated last or in its entry."""
        return self._slots

    @property
    def is_leaving(self) -> bool:
        """Whether the upstream has stated in a response that it is leaving."""
        return self._is_leaving

    def update_entry(self, entry: UpstreamEntry) -> None:
        """Replace the entry by a newer one of the same incarnation."""
        if entry.slots != self._entry.slots:
            self._slots = entry.slots
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
        self,
        attempt: int,
        baseline: LatencyBaseline,
        now_s: float,
        cost: RequestCost | None = None,
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
        cost : RequestCost or None
            Estimated cost; None if only the response times of the route are known.
        """
        if cost is None:
            cost = unlearned_cost(baseline)
        load, slowness = self.load(now_s), self.slowness(now_s)
        queue = self._work.forecast(
            load, self.slots, cost.service_mean_s, slowness, now_s
        )
        work = PendingWork(cost, now_s + queue.wait_s * slowness)
        self._pending[attempt] = PendingAttempt(
            baseline, now_s, queue.wait_s + cost.mean_s, load < self.slots, work
        )
        self._work.add(attempt, work)
        self._tried_at_s = now_s
        self._mark_unreported()

    def record_success(self, attempt: int, now_s: float) -> float | None:
        """Record a good response.

        Returns
        -------
        float or None
            Cost of the request in seconds; None if it may have waited for a slot.
        """
        pending = self._remove_pending(attempt)
        latency_s = now_s - pending.sent_at_s
        pending.baseline.observe(latency_s)
        self._speed.observe(latency_s / pending.expected_s, now_s)
        self._estimate.add_successes(now_s)
        self._succeeded += 1
        self._connect_failures = 0
        is_queue_stated = self._reported_waiting and self._is_load_fresh(now_s)
        return latency_s if pending.has_free_slot and not is_queue_stated else None

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
        if self._reported_load < self.slots:
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

    def record_load(
        self, running: int, waiting: int, now_s: float, slots: int = 0
    ) -> None:
        """Record what the upstream states of itself in a response.

        Parameters
        ----------
        running, waiting : int
            Numbers of its running and waiting requests.
        now_s : float
            Monotonic time in seconds.
        slots : int
            Maximum number of concurrent requests; 0 if it isn't stated.
        """
        self._reported_load = running + waiting
        self._reported_waiting = waiting
        self._slots = slots or self._entry.slots
        self._reported_at_s = now_s

    def add_report(self, report: UpstreamReport, source: str, now_s: float) -> bool:
        """Add the report of another instance or group of instances.

        Returns
        -------
        bool
            Whether it holds new evidence of failure that others should know at once.
        """
        previous = self._remote.record(source, report.in_flight, report.lateness, now_s)
        ended = report.succeeded + report.failed
        if report.in_flight + ended > previous.in_flight:
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
        if self._is_load_fresh(now_s):
            return max(known, self._reported_load)
        return known

    def expect(self, cost: RequestCost, now_s: float) -> tuple[float, float]:
        """Return what to expect of a request that is sent to the upstream now.

        This is the one place where the expected time is computed.

        Returns
        -------
        expected_s : float
            Expected response time in seconds, the wait for a slot included.
        work_left_s : float
            Work left of all known requests, in seconds at usual speed.
        """
        load, slowness, slots = self.load(now_s), self.slowness(now_s), self._slots
        mean_s = cost.service_mean_s
        if not self._pending:
            queued = load + 1 - slots
            wait_s = queued * mean_s / slots if queued > 0 else 0.0
            return slowness * (wait_s + cost.own_s), load * mean_s
        queue = self._work.forecast(load, slots, mean_s, slowness, now_s)
        return slowness * (queue.wait_s + cost.own_s), queue.work_left_s

    def failure_probability(self, now_s: float) -> float:
        """Return the probability that the upstream is failing."""
        probability = self._estimate.probability(now_s)
        lateness = self._total_lateness(now_s)
        if not lateness:
            return probability
        return probability / (probability + (1 - probability) * math.exp(-lateness))

    def slowness(self, now_s: float) -> float:
        """Return the factor by which its responses are slower than usual."""
        slowness = self._speed.slowness(now_s)
        if now_s < self._cold_until_s:
            return max(slowness, COLD_START_SLOWNESS)
        return slowness

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

    def _is_load_fresh(self, now_s):
        return now_s - self._reported_at_s < REPORTED_LOAD_TTL_S

    def _remove_pending(self, attempt) -> PendingAttempt:
        self._mark_unreported()
        self._work.remove(attempt)
        return self._pending.pop(attempt)

    def _mark_unreported(self):
        self._is_reported = False
        self._unreported.add(self)

    def _own_lateness(self, now_s):
        if not self._pending:
            return 0.0
        return sum(item.lateness(now_s) for item in self._pending.values())

    def _total_lateness(self, now_s):
        lateness = self._remote.lateness(now_s)
        if self._pending:
            lateness += self._own_lateness(now_s)
        return min(MAX_LATENESS_LOG_ODDS, lateness)
