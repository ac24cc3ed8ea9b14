"""Admission of requests within the rate of their client account."""

from result import Err, Ok, Result

from chervilpitch.model import Refusal, RefusalKind, RunState

from .state import LimitState

__all__ = ["TOKEN_REQUEST_INTERVAL_S", "admit"]

TOKEN_REQUEST_INTERVAL_S = 0.05
"""Interval between two checks for token requests that are due."""


def admit(
    state: LimitState,
    account_name: str,
    now_s: float,
    cost: float = 1.0,
    is_retry: bool = False,
) -> Result[None, Refusal]:
    """Admit a request if enough tokens are available, and spend them.

    Parameters
    ----------
    state : LimitState
        The instance's state; the tokens are deducted from it.
    account_name : str
        Name of the client account that the caller's key belongs to.
    now_s : float
        Monotonic time in seconds, read after any wait for a lock.
    cost : float, optional
        Tokens that the request costs.
    is_retry : bool, optional
        Whether the request was refused here before and has waited; it then does
        not count towards the demand a second time.

    Returns
    -------
    Ok or Err of Refusal
        ``Ok(None)``, ``ACCOUNT_NOT_ADMITTED`` or ``RATE_EXCEEDED``; a refused
        request was not run. ``retry_at_s`` of ``RATE_EXCEEDED`` is the time at
        which requested tokens may have arrived.
    """
    account = state.catalogue.accounts.get(account_name)
    if account is None:
        refusal = Refusal(RefusalKind.ACCOUNT_NOT_ADMITTED, RunState.NOT_RUN)
        return Err(refusal)
    borrowing = state.borrowing(account_name, now_s)
    if not is_retry:
        borrowing.record_demand(cost)
    bucket = state.bucket(account, now_s)
    level = bucket.level(now_s) if bucket else 0.0
    if borrowing.tokens(now_s) + level < cost:
        borrowing.record_refusal(cost)
        return Err(_refusal(now_s))
    shortfall = borrowing.spend(cost)
    if bucket and shortfall > 0:
        bucket.try_spend(min(shortfall, level), now_s)
    return Ok(None)


def _refusal(now_s: float) -> Refusal:
    retry_at_s = now_s + TOKEN_REQUEST_INTERVAL_S
    kind = RefusalKind.RATE_EXCEEDED
    return Refusal(kind, RunState.NOT_RUN, retry_at_s=retry_at_s)
