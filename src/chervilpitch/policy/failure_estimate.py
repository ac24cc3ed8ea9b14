"""How likely an upstream is failing gray, as log-odds that fade with time."""

import math

__all__ = ["Belief", "lateness", "probability"]

RESTING_SHARE = 0.15
FADE_S = 2.0
FAILING_ANSWERS = 0.22
GOOD_ANSWERS = 0.985
SUCCESS_STEP = math.log(FAILING_ANSWERS / GOOD_ANSWERS)
FAILURE_STEP = 3.0
LEAST_SHARE = 0.004
MOST_SHARE = 0.995


def lateness(survival: float) -> float:
    """Return the evidence, in log-odds, of a request without an answer yet.

    Parameters
    ----------
    survival : float
        Share of good answers that take as long as this one already has.

    Examples
    --------
    >>> lateness(1.0)
    0.0
    >>> lateness(0.01) > 4
    True
    """
    silent = 1 - FAILING_ANSWERS
    return math.log((silent + FAILING_ANSWERS * survival) / max(survival, 0.002))


def probability(odds: float) -> float:
    """Return the probability for log-odds."""
    return 1 / (1 + math.exp(-odds))


def odds_of(share: float) -> float:
    """Return the log-odds of a probability."""
    return math.log(share / (1 - share))


class Belief:
    """Evidence on one upstream from requests that have ended.

    Notes
    -----
    Upstreams begin and cease to fail by themselves, at rates whose sum is
    ``1 / FADE_S``: without evidence the probability moves towards
    ``RESTING_SHARE``, the share of upstreams that fail at any time.
    """

    def __init__(self) -> None:
        self._share = RESTING_SHARE
        self._at_s = 0.0

    def odds(self, now_s: float) -> float:
        """Return the log-odds that the upstream is failing."""
        kept = math.exp(-max(0.0, now_s - self._at_s) / FADE_S)
        return odds_of(RESTING_SHARE + (self._share - RESTING_SHARE) * kept)

    def succeeded(self, now_s: float, count: int = 1) -> None:
        """Take in good answers."""
        self._add(now_s, SUCCESS_STEP * count)

    def failed(self, now_s: float, count: int = 1) -> None:
        """Take in failures that the upstream is to blame for."""
        self._add(now_s, FAILURE_STEP * count)

    def was_late(self, now_s: float, evidence: float) -> None:
        """Take in a request that was given up without an answer.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        evidence : float
            What :func:`lateness` gave at its end.
        """
        self._add(now_s, evidence)

    def _add(self, now_s, step):
        share = probability(self.odds(now_s) + step)
        self._share = min(MOST_SHARE, max(LEAST_SHARE, share))
        self._at_s = now_s
