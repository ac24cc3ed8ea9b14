"""What one instance knows of one upstream."""

import math
from typing import NamedTuple

from chervilpitch.model import UpstreamEntry

from .failure_estimate import Belief, lateness, probability
from .latency import LatencyBaseline

__all__ = ["RemoteLoad", "UpstreamReport", "UpstreamState", "Waiting"]

MOST_LATENESS = 6.0
URGENT_LATENESS = 1.5
REMOTE_FRESH_S = 1.2
TOLD_FRESH_S = 0.25
SLOWNESS_GAIN = 0.25
MOST_SLOWNESS = 8.0
SLOWNESS_FADE_S = 5.0
COLD_FACTOR = 2.0
PATH_WAITS_S = (0.5, 1.0, 2.0, 4.0)


class UpstreamReport(NamedTuple):
    """What an instance tells others of one upstream.

    Parameters
    ----------
    upstream : str
        Its name.
    in_flight : int
        Requests that wait for its answer now.
    lateness : float
        Evidence of these requests, in log-odds.
    succeeded, failed : int
        Answers since the report before.
    late : float
        Evidence of requests that were given up since the report before.
    """

    upstream: str
    in_flight: int
    lateness: float
    succeeded: int
    failed: int
    late: float


class RemoteLoad(NamedTuple):
    """What another instance has told last.

    Parameters
    ----------
    in_flight : int
        Requests that wait for an answer.
    lateness : float
        Evidence of these requests, in log-odds.
    at_s : float
        Monotonic time in seconds at which it came.
    """

    in_flight: int
    lateness: float
    at_s: float


class Waiting(NamedTuple):
    """A request that waits for an answer.

    Parameters
    ----------
    baseline : LatencyBaseline
        How long answers of its route take.
    sent_at_s : float
        Monotonic time in seconds at which it was sent.
    """

    baseline: LatencyBaseline
    sent_at_s: float

    def lateness(self, now_s: float) -> float:
        """Return the evidence of its silence, in log-odds."""
        return lateness(self.baseline.survival(now_s - self.sent_at_s))


class UpstreamState:
    """Load, evidence and reachability of one upstream.

    Parameters
    ----------
    entry : UpstreamEntry
        What the upstream says of itself.
    now_s : float
        Monotonic time in seconds.
    """

    def __init__(self, entry: UpstreamEntry, now_s: float):
        self._entry = entry
        self._cold_until_s = now_s + entry.cold_for_s
        self._belief = Belief()
        self._waiting: dict[int, Waiting] = {}
        self._remote: dict[str, RemoteLoad] = {}
        self._told_load = 0
        self._told_at_s = float("-inf")
        self._slowness = 1.0
        self._slowness_at_s = now_s
        self._path_failures = 0
        self._path_blocked_until_s = float("-inf")
        self._is_elsewhere = False
        self._succeeded = 0
        self._failed = 0
        self._late = 0.0
        self._told_lateness = 0.0
        self._is_reported = True
        self._tried_at_s = now_s - math.inf

    @property
    def entry(self) -> UpstreamEntry:
        """What the upstream says of itself."""
        return self._entry

    @property
    def tried_at_s(self) -> float:
        """Monotonic time in seconds at which a request was last there, or ended."""
        return self._tried_at_s

    def update_entry(self, entry: UpstreamEntry) -> None:
        """Take in a newer entry of the same incarnation."""
        self._entry = entry

    def mark_misdirected(self) -> None:
        """Note that another upstream answers at the address."""
        self._is_elsewhere = True

    def is_usable(self, now_s: float) -> bool:
        """Return whether a request may be sent there."""
        if self._entry.is_draining or self._is_elsewhere:
            return False
        return now_s >= self._path_blocked_until_s

    def start_attempt(
        self, number: int, baseline: LatencyBaseline, now_s: float
    ) -> None:
        """Note a request that is sent now."""
        self._waiting[number] = Waiting(baseline, now_s)
        self._tried_at_s = now_s
        self._is_reported = False

    def record_success(self, number: int, now_s: float) -> None:
        """Note a good answer."""
        waiting = self._end(number)
        latency_s = now_s - waiting.sent_at_s
        ratio = latency_s / waiting.baseline.median_s
        waiting.baseline.observe(latency_s)
        self._observe_slowness(min(ratio, MOST_SLOWNESS), now_s)
        self._belief.succeeded(now_s)
        self._succeeded += 1
        self._path_failures = 0

    def record_failure(self, number: int, now_s: float) -> None:
        """Note a failure that the upstream is to blame for."""
        self._end(number)
        self._belief.failed(now_s)
        self._failed += 1

    def record_abandoned(self, number: int, now_s: float) -> None:
        """Note that a request is no longer waited for."""
        evidence = self._end(number).lateness(now_s)
        self._belief.was_late(now_s, evidence)
        self._late += evidence

    def record_not_run(self, number: int) -> None:
        """Note that the upstream did not get the request, or turned it away."""
        self._end(number)

    def record_shed(self, number: int, now_s: float) -> None:
        """Note that the upstream turned the request away for want of room.

        One that has free slots by its own word is failing.
        """
        if self._told_load < self._entry.slots:
            self.record_failure(number, now_s)
        else:
            self._end(number)

    def record_unreachable(self, number: int, now_s: float) -> None:
        """Note that no connection could be made, a matter of this path alone."""
        self._end(number)
        wait_s = PATH_WAITS_S[min(self._path_failures, len(PATH_WAITS_S) - 1)]
        self._path_failures += 1
        self._path_blocked_until_s = now_s + wait_s

    def record_load(self, running: int, waiting: int, now_s: float) -> None:
        """Note the load that the upstream tells."""
        self._told_load = running + waiting
        self._told_at_s = now_s

    def add_report(self, report: UpstreamReport, source: str, now_s: float) -> None:
        """Take in what another instance tells."""
        before = self._remote.get(source)
        self._remote[source] = RemoteLoad(report.in_flight, report.lateness, now_s)
        has_begun = report.in_flight > (before.in_flight if before else 0)
        if has_begun or report.succeeded or report.failed:
            self._tried_at_s = now_s
        if report.succeeded:
            self._belief.succeeded(now_s, report.succeeded)
        if report.failed:
            self._belief.failed(now_s, report.failed)
        if report.late:
            self._belief.was_late(now_s, report.late)

    def load(self, now_s: float) -> int:
        """Return the requests that the upstream has, as far as is known."""
        remote = sum(
            item.in_flight
            for item in self._remote.values()
            if now_s - item.at_s < REMOTE_FRESH_S
        )
        known = remote + len(self._waiting)
        if now_s - self._told_at_s < TOLD_FRESH_S:
            return max(known, self._told_load)
        return known

    def failure_probability(self, now_s: float) -> float:
        """Return the probability that the upstream is failing."""
        return probability(self._belief.odds(now_s) + self._lateness(now_s))

    def slowness(self, now_s: float) -> float:
        """Return by how much its answers are slower than usual."""
        cold = COLD_FACTOR if now_s < self._cold_until_s else 1.0
        return max(self._current_slowness(now_s), cold)

    def is_report_urgent(self, now_s: float) -> bool:
        """Return whether others should know at once what happened here."""
        if self._failed or self._late > URGENT_LATENESS:
            return True
        gained = self._own_lateness(now_s) - self._told_lateness
        return gained > URGENT_LATENESS

    def next_report(self, now_s: float) -> UpstreamReport | None:
        """Return what is to be told to others, and begin the next report."""
        if self._is_reported and not self._waiting:
            return None
        self._told_lateness = self._own_lateness(now_s)
        report = UpstreamReport(
            self._entry.name,
            len(self._waiting),
            round(self._told_lateness, 2),
            self._succeeded,
            self._failed,
            round(self._late, 2),
        )
        self._succeeded = 0
        self._failed = 0
        self._late = 0.0
        self._is_reported = True
        return report

    def _observe_slowness(self, ratio, now_s):
        slowness = self._current_slowness(now_s)
        self._slowness = slowness + SLOWNESS_GAIN * (ratio - slowness)
        self._slowness_at_s = now_s

    def _current_slowness(self, now_s):
        kept = math.exp(-max(0.0, now_s - self._slowness_at_s) / SLOWNESS_FADE_S)
        return 1 + (self._slowness - 1) * kept

    def _end(self, number) -> Waiting:
        self._is_reported = False
        return self._waiting.pop(number)

    def _own_lateness(self, now_s):
        return sum(item.lateness(now_s) for item in self._waiting.values())

    def _lateness(self, now_s):
        remote = sum(
            item.lateness
            for item in self._remote.values()
            if now_s - item.at_s < REMOTE_FRESH_S
        )
        return min(MOST_LATENESS, remote + self._own_lateness(now_s))
