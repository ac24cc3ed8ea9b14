"""How many requests may be sent once more."""

import collections

__all__ = ["RetryBudget"]

USED_SHARE_OF_RATIO = 0.9
USED_SHARE_OF_SLACK = 0.9
SLICES = 10


class RetryBudget:
    """Repeats of one service by one instance, in a sliding window.

    Answers overload by repeats: over all instances together they stay below a
    share of the requests and a fixed number. Each instance spends the share on
    its own requests, and its part of the fixed number.

    Parameters
    ----------
    ratio : float
        Repeats allowed per request.
    window_s : float
        Seconds over which both are counted.
    slack : float
        Repeats allowed besides, over all instances.
    """

    def __init__(self, ratio: float, window_s: float, slack: float):
        self._ratio = ratio * USED_SHARE_OF_RATIO
        self._slack = slack * USED_SHARE_OF_SLACK
        self._slice_s = window_s / SLICES
        self._slices = collections.deque(maxlen=SLICES + 1)

    def count_request(self, now_s: float) -> None:
        """Count a request that arrived."""
        self._slice(now_s)[1] += 1

    def count_retry(self, now_s: float) -> None:
        """Count a request that is sent once more."""
        self._slice(now_s)[2] += 1

    def allows_retry(self, now_s: float, instances: int) -> bool:
        """Return whether one more repeat stays within the budget.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        instances : int
            Instances that share the budget.
        """
        self._slice(now_s)
        requests = sum(item[1] for item in self._slices)
        repeats = sum(item[2] for item in self._slices)
        allowed = self._ratio * requests + self._slack / max(1, instances)
        return repeats + 1 <= allowed

    def _slice(self, now_s):
        number = int(now_s / self._slice_s)
        while self._slices and self._slices[0][0] < number - SLICES:
            self._slices.popleft()
        if not self._slices or self._slices[-1][0] != number:
            self._slices.append([number, 0, 0])
        return self._slices[-1]
