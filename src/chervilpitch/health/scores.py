"""Sequential tests: how strongly observations speak against an upstream.

Each test is a one-sided CUSUM of log-likelihood ratios. A score of ``s`` means
that the recent observations are about ``exp(s)`` times likelier from a failing
upstream than from a healthy one.
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
    "latency_ratio",
]

EJECT_SCORE = 12.0
SCORE_CAP = 2 * EJECT_SCORE
LATENCY_SHIFT = math.log(2.5)
LATENCY_EVIDENCE_CAP = 3.5
LATENCY_EVIDENCE_FLOOR = -2.5
LONG_DEVIATION = math.log(16.0)
DOUBLING = math.log(2.0)
ERROR_RATE_FLOOR = 0.01
FREQUENT_ERROR_RATE = 0.5
OCCASIONAL_ERROR_RATE = 0.1
RATE_SEPARATION = 2.0
RATE_CAP = 0.95


class Scores(NamedTuple):
    """The scores of the tests that run side by side for one upstream.

    Parameters
    ----------
    latency : float
        Score for answers that come later than those of other upstreams.
    frequent_errors, occasional_errors : float
        Scores for a high and for a moderate error rate.
    """

    latency: float = 0.0
    frequent_errors: float = 0.0
    occasional_errors: float = 0.0


NO_SCORES = Scores()


def latency_ratio(deviation: float, spread: float) -> float:
    """Return the log-likelihood ratio of one latency.

    Parameters
    ----------
    deviation : float
        Natural logarithm of the latency over the median of other upstreams.
    spread : float
        Standard deviation of that logarithm at a healthy upstream.

    Returns
    -------
    float
        Evidence against the upstream; bounded, so that no single answer decides.

    References
    ----------
    E. S. Page, "Continuous inspection schemes", Biometrika 41, 1954.

    Examples
    --------
    >>> latency_ratio(0.0, 0.5) < 0 < latency_ratio(1.1, 0.5)
    True
    """
    ratio = LATENCY_SHIFT / spread**2 * (deviation - LATENCY_SHIFT / 2)
    beyond = max(0.0, (deviation - LONG_DEVIATION) / DOUBLING)
    cap = LATENCY_EVIDENCE_CAP * min(2.0, 1.0 + beyond)
    return min(cap, max(LATENCY_EVIDENCE_FLOOR, ratio))


def add_latency(scores: Scores, ratio: float) -> Scores:
    """Return the scores after the evidence of one latency.

    Parameters
    ----------
    scores : Scores
        Scores so far.
    ratio : float
        Log-likelihood ratio of the latency.

    Returns
    -------
    Scores
        The new scores.
    """
    return scores._replace(latency=_bounded(scores.latency + ratio))


def add_error(scores: Scores, usual_rate: float) -> Scores:
    """Return the scores after one error.

    Parameters
    ----------
    scores : Scores
        Scores so far.
    usual_rate : float
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
    return _add_outcome(scores, usual_rate, _error_ratio)


def add_success(scores: Scores, usual_rate: float) -> Scores:
    """Return the scores after one answer without error.

    Parameters
    ----------
    scores : Scores
        Scores so far.
    usual_rate : float
        Error rate of the service's other upstreams.

    Returns
    -------
    Scores
        The new scores.
    """
    return _add_outcome(scores, usual_rate, _success_ratio)


def _add_outcome(scores, usual_rate, ratio):
    usual = min(RATE_CAP / RATE_SEPARATION, max(ERROR_RATE_FLOOR, usual_rate))
    frequent = max(FREQUENT_ERROR_RATE, RATE_SEPARATION * usual)
    occasional = max(OCCASIONAL_ERROR_RATE, RATE_SEPARATION * usual)
    return scores._replace(
        frequent_errors=_bounded(scores.frequent_errors + ratio(usual, frequent)),
        occasional_errors=_bounded(scores.occasional_errors + ratio(usual, occasional)),
    )


def _error_ratio(usual, failing):
    return math.log(failing / usual)


def _success_ratio(usual, failing):
    return math.log((1 - failing) / (1 - usual))


def _bounded(score):
    return min(SCORE_CAP, max(0.0, score))
