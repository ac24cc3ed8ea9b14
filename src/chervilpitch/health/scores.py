"""Sequential tests that detect a failing upstream from observations.

Each test is a one-sided CUSUM of log-likelihood ratios. A score of ``s`` means
that the recent observations are about ``exp(s)`` times more likely under the
hypothesis that the upstream is failing than that it is healthy.
"""

import math
from typing import NamedTuple

__all__ = [
    "EJECT_SCORE",
    "NO_SCORES",
    "Scores",
    "add_error",
    "add_latency",
    "add_success",
    "latency_llr",
]

EJECT_SCORE = 12.0
MAX_SCORE = 2 * EJECT_SCORE
LATENCY_LOG_SHIFT = math.log(2.5)
MAX_LATENCY_LLR = 3.5
MIN_LATENCY_LLR = -2.5
LARGE_DEVIATION = math.log(16.0)
LOG_TWO = math.log(2.0)
MIN_ERROR_RATE = 0.01
FREQUENT_ERROR_RATE = 0.5
OCCASIONAL_ERROR_RATE = 0.1
MIN_RATE_FACTOR = 2.0
MAX_ERROR_RATE = 0.95


class Scores(NamedTuple):
    """CUSUM scores of the tests that run in parallel for one upstream.

    Parameters
    ----------
    latency : float
        Score of the test for responses slower than those of other upstreams.
    frequent_errors, occasional_errors : float
        Scores of the tests for a high and for a moderate error rate.
    """

    latency: float = 0.0
    frequent_errors: float = 0.0
    occasional_errors: float = 0.0


NO_SCORES = Scores()


def latency_llr(deviation: float, spread: float) -> float:
    """Return the log-likelihood ratio of one latency, failing against healthy.

    A failing upstream is assumed to take 2.5 times as long as a healthy one.

    Parameters
    ----------
    deviation : float
        Natural logarithm of the latency divided by the median of other upstreams.
    spread : float
        Standard deviation of that logarithm at a healthy upstream.

    Returns
    -------
    float
        Positive if the upstream is more likely failing. Bounded, so that no single
        response decides.

    References
    ----------
    E. S. Page, "Continuous inspection schemes", Biometrika 41, 1954.

    Examples
    --------
    >>> latency_llr(0.0, 0.5) < 0 < latency_llr(1.1, 0.5)
    True
    """
    llr = LATENCY_LOG_SHIFT / spread**2 * (deviation - LATENCY_LOG_SHIFT / 2)
    excess = max(0.0, (deviation - LARGE_DEVIATION) / LOG_TWO)
    bound = MAX_LATENCY_LLR * min(2.0, 1.0 + excess)
    return min(bound, max(MIN_LATENCY_LLR, llr))


def add_latency(scores: Scores, llr: float) -> Scores:
    """Return the scores after adding one latency.

    Parameters
    ----------
    scores : Scores
        Scores so far.
    llr : float
        Log-likelihood ratio of the latency.

    Returns
    -------
    Scores
        The new scores.
    """
    return scores._replace(latency=_clamp(scores.latency + llr))


def add_error(scores: Scores, baseline_rate: float) -> Scores:
    """Return the scores after adding one error.

    Parameters
    ----------
    scores : Scores
        Scores so far.
    baseline_rate : float
        Error rate of the service's other upstreams.

    Returns
    -------
    Scores
        The new scores.

    Examples
    --------
    >>> add_error(NO_SCORES, 0.01) > add_error(NO_SCORES, 0.2)
    True
    """
    return _add_outcome(scores, baseline_rate, _error_llr)


def add_success(scores: Scores, baseline_rate: float) -> Scores:
    """Return the scores after adding one response without an error.

    Parameters
    ----------
    scores : Scores
        Scores so far.
    baseline_rate : float
        Error rate of the service's other upstreams.

    Returns
    -------
    Scores
        The new scores.
    """
    return _add_outcome(scores, baseline_rate, _success_llr)


def _add_outcome(scores, baseline_rate, llr):
    baseline = min(MAX_ERROR_RATE / MIN_RATE_FACTOR, max(MIN_ERROR_RATE, baseline_rate))
    frequent = max(FREQUENT_ERROR_RATE, MIN_RATE_FACTOR * baseline)
    occasional = max(OCCASIONAL_ERROR_RATE, MIN_RATE_FACTOR * baseline)
    return scores._replace(
        frequent_errors=_clamp(scores.frequent_errors + llr(baseline, frequent)),
        occasional_errors=_clamp(scores.occasional_errors + llr(baseline, occasional)),
    )


def _error_llr(baseline, failing):
    return math.log(failing / baseline)


def _success_llr(baseline, failing):
    return math.log((1 - failing) / (1 - baseline))


def _clamp(score):
    return min(MAX_SCORE, max(0.0, score))
