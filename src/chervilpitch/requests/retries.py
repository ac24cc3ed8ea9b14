"""Retry decisions: whether a failed attempt may be retried at another upstream."""

from enum import StrEnum
from typing import NamedTuple

from result import Err, Ok, Result

from chervilpitch.model import Route

__all__ = [
    "Attempt",
    "FailureStage",
    "MAX_ATTEMPTS",
    "RetryBudget",
    "RetryDenial",
    "may_retry",
]

MAX_ATTEMPTS = 3
TOKENS_PER_REQUEST = 0.1
MAX_TOKENS = 10.0


class FailureStage(StrEnum):
    """Stage at which an attempt failed."""

    NOT_CONNECTED = "not-connected"
    CONNECTED_NOTHING_SENT = "connected-nothing-sent"
    SENT = "sent"
    SHED = "shed"
    RESPONSE_STARTED = "answer-started"
    RESPONSE_TRUNCATED = "answer-truncated"


_NOTHING_SENT = frozenset(
    {FailureStage.NOT_CONNECTED, FailureStage.CONNECTED_NOTHING_SENT}
)


class RetryDenial(StrEnum):
    """Why a request is not retried."""

    RESPONSE_DELIVERED = "answer-delivered"
    MAY_HAVE_RUN = "may-have-run"
    ATTEMPTS_SPENT = "attempts-spent"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    BUDGET_SPENT = "budget-spent"


class Attempt(NamedTuple):
    """A failed attempt.

    Parameters
    ----------
    stage : FailureStage
        Stage at which the attempt failed.
    number : int
        Number of attempts made, including this one.
    was_sent : bool
        Whether a byte of the request may have reached an upstream.
    was_delivered : bool
        Whether a byte of the response was sent to the caller.
    """

    stage: FailureStage
    number: int
    was_sent: bool
    was_delivered: bool


class RetryBudget:
    """Retry budget of one service, refilled in proportion to its first attempts.

    Notes
    -----
    Over any period the retries are at most ``MAX_TOKENS`` more than
    ``TOKENS_PER_REQUEST`` times the first attempts, so that the proxy does not
    multiply the load of an overloaded upstream.

    Examples
    --------
    >>> budget = RetryBudget()
    >>> for _ in range(10):
    ...     budget.spend()
    >>> budget.has_token
    False
    >>> for _ in range(10):
    ...     budget.earn()
    >>> budget.has_token
    True
    """

    def __init__(self):
        self._tenths = _tenths(MAX_TOKENS)

    @property
    def has_token(self) -> bool:
        """Whether one retry is allowed now."""
        return self._tenths >= _tenths(1.0)

    def earn(self) -> None:
        """Add the tokens for one first attempt."""
        earned = self._tenths + _tenths(TOKENS_PER_REQUEST)
        self._tenths = min(earned, _tenths(MAX_TOKENS))

    def spend(self) -> None:
        """Remove the token for one retry."""
        self._tenths -= _tenths(1.0)


def may_retry(
    route: Route,
    attempt: Attempt,
    budget: RetryBudget,
    deadline_at_s: float,
    now_s: float,
) -> Result[None, RetryDenial]:
    """Decide whether a request may be retried after a failed attempt.

    Parameters
    ----------
    route : Route
        Route of the request.
    attempt : Attempt
        The attempt that failed.
    budget : RetryBudget
        Retry budget of the service; the caller spends a token when it retries.
    deadline_at_s : float
        Monotonic deadline of the request in seconds.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    Result[None, RetryDenial]
        Ok if another attempt is allowed.

    Examples
    --------
    >>> booking = Route("booking", "/bookings", "fitting", 5.0, idempotent=False)
    >>> attempt = Attempt(FailureStage.SENT, 1, was_sent=True, was_delivered=False)
    >>> may_retry(booking, attempt, RetryBudget(), 5.0, 1.0).unwrap_err()
    <RetryDenial.MAY_HAVE_RUN: 'may-have-run'>
    """
    if attempt.was_delivered:
        return Err(RetryDenial.RESPONSE_DELIVERED)
    if not route.idempotent and _may_have_reached_upstream(attempt):
        return Err(RetryDenial.MAY_HAVE_RUN)
    if attempt.number >= MAX_ATTEMPTS:
        return Err(RetryDenial.ATTEMPTS_SPENT)
    if now_s >= deadline_at_s:
        return Err(RetryDenial.DEADLINE_EXCEEDED)
    if not budget.has_token:
        return Err(RetryDenial.BUDGET_SPENT)
    return Ok(None)


def _may_have_reached_upstream(attempt: Attempt) -> bool:
    return attempt.was_sent or attempt.stage not in _NOTHING_SENT


def _tenths(tokens: float) -> int:
    return round(tokens * 10)
