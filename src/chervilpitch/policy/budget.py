"""Limit on the number of retries and hedges sent to a service."""

import collections

__all__ = ["RetryBudget"]

RATIO_SAFETY_FACTOR = 0.9
SLACK_SAFETY_FACTOR = 0.9
SLICES_PER_WINDOW = 10


class RetryBudget:
    """Retry budget of one service on one instance, over a sliding window.

    The budget keeps retries from amplifying an overload; hedges count as retries.
    Over all instances, the retries within a window stay below a ratio of the
    requests plus a fixed slack.
    Each instance applies the ratio to its own requests and uses an equal part of
    the slack.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    window_s : float
        Length in seconds of the window in which requests and retries are counted.
    slack : float
        Additional retries allowed per window, over all instances.
    """

    def __init__(self, ratio: float, window_s: float, slack: float):
        self._ratio = ratio * RATIO_SAFETY_FACTOR
        self._slack = slack * SLACK_SAFETY_FACTOR
        self._slice_s = window_s / SLICES_PER_WINDOW
        self._slices = collections.deque(maxlen=SLICES_PER_WINDOW + 1)

    def count_request(self, now_s: float) -> None:
        """Count a request from a caller."""
        self._slice(now_s)[1] += 1

    def count_retry(self, now_s: float) -> None:
        """Count a retry or a hedge."""
        self._slice(now_s)[2] += 1

    def allows_retry(self, now_s: float, instances: int) -> bool:
        """Return whether one more retry is within the budget.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        instances : int
            Number of instances that share the slack.
        """
        self._slice(now_s)
        requests = sum(item[1] for item in self._slices)
        retries = sum(item[2] for item in self._slices)
        allowed = self._ratio * requests + self._slack / max(1, instances)
        return retries + 1 <= allowed

    def _slice(self, now_s):
        """Return the current slice as ``[number, requests, retries]``."""
        number = int(now_s / self._slice_s)
        while self._slices and self._slices[0][0] < number - SLICES_PER_WINDOW:
            self._slices.popleft()
        if not self._slices or self._slices[-1][0] != number:
            self._slices.append([number, 0, 0])
        return self._slices[-1]
