"""Estimate of the probability that an upstream has a gray failure."""

import math

__all__ = ["FailureEstimate", "lateness_log_odds", "logistic"]

PRIOR_PROBABILITY = 0.15
DECAY_S = 2.0
GOOD_RESPONSE_SHARE_FAILING = 0.22
GOOD_RESPONSE_SHARE_HEALTHY = 0.985
SUCCESS_LOG_ODDS = math.log(GOOD_RESPONSE_SHARE_FAILING / GOOD_RESPONSE_SHARE_HEALTHY)
FAILURE_LOG_ODDS = 3.0
MIN_PROBABILITY = 0.004
MAX_PROBABILITY = 0.995


def lateness_log_odds(survival: float) -> float:
    """Return the evidence of failure given by a request without a response.

    This is the logarithm of the ratio of two likelihoods, that of the wait so far
    if the upstream is failing and that if it is healthy.

    Parameters
    ----------
    survival : float
        Share of good responses that take longer than this request has waited.

    Returns
    -------
    float
        Evidence in log-odds.

    Examples
    --------
    >>> lateness_log_odds(1.0)
    0.0
    >>> lateness_log_odds(0.01) > 4
    True
    """
    unanswered = 1 - GOOD_RESPONSE_SHARE_FAILING
    return math.log(
        (unanswered + GOOD_RESPONSE_SHARE_FAILING * survival) / max(survival, 0.002)
    )


def logistic(log_odds: float) -> float:
    """Return the probability for log-odds."""
    return 1 / (1 + math.exp(-log_odds))


def logit(probability: float) -> float:
    """Return the log-odds of a probability."""
    return math.log(probability / (1 - probability))


class FailureEstimate:
    """Probability that one upstream is failing, from completed requests.

    Notes
    -----
    An upstream starts and stops failing at random, as a two-state Markov process
    whose rates add up to ``1 / DECAY_S``. Without new evidence the probability
    therefore decays exponentially towards ``PRIOR_PROBABILITY``, the share of
    upstreams that are failing at any time.
    """

    def __init__(self) -> None:
        self._probability = PRIOR_PROBABILITY
        self._updated_at_s = 0.0

    def probability(self, now_s: float) -> float:
        """Return the probability that the upstream is failing."""
        age_s = now_s - self._updated_at_s
        decay = math.exp(-age_s / DECAY_S) if age_s > 0 else 1.0
        return PRIOR_PROBABILITY + (self._probability - PRIOR_PROBABILITY) * decay

    def log_odds(self, now_s: float) -> float:
        """Return the log-odds that the upstream is failing."""
        return logit(self.probability(now_s))

    def add_successes(self, now_s: float, count: int = 1) -> None:
        """Add the evidence of good responses."""
        self._update(now_s, SUCCESS_LOG_ODDS * count)

    def add_failures(self, now_s: float, count: int = 1) -> None:
        """Add the evidence of failures caused by the upstream."""
        self._update(now_s, FAILURE_LOG_ODDS * count)

    def add_lateness(self, now_s: float, log_odds: float) -> None:
        """Add the evidence of requests abandoned without a response.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        log_odds : float
            Evidence from :func:`lateness_log_odds` when they were abandoned.
        """
        self._update(now_s, log_odds)

    def _update(self, now_s, log_odds):
        probability = logistic(self.log_odds(now_s) + log_odds)
        self._probability = min(MAX_PROBABILITY, max(MIN_PROBABILITY, probability))
        self._updated_at_s = now_s
