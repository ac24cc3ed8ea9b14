"""Records on the requests at one upstream: attempts in progress, and reports."""

from typing import NamedTuple

from .failure_estimate import lateness_log_odds
from .latency import LatencyBaseline
from .work import PendingWork

__all__ = ["PendingAttempt", "UpstreamReport"]


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
    expected_s : float
        Expected response time at an upstream of usual speed.
    has_free_slot : bool
        Whether a slot was known to be free when it was sent.
    work : PendingWork
        Its estimated cost and the start of its work.
    """

    baseline: LatencyBaseline
    sent_at_s: float
    expected_s: float
    has_free_slot: bool
    work: PendingWork

    def lateness(self, now_s: float) -> float:
        """Return the evidence of failure from the wait so far, in log-odds.

        The time expected in the queue and the learned share of requests that cost as
        much are no evidence.
        """
        survival = self.baseline.survival(now_s - self.sent_at_s)
        return lateness_log_odds(max(survival, self.work.survival(now_s)))
