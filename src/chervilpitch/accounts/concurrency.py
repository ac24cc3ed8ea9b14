"""Limit of concurrent requests of each client account on one instance."""

import collections

from result import Err, Ok, Result

from chervilpitch.model import Refusal, RefusalKind, RunState

__all__ = ["ConcurrencyLimit"]

_REFUSAL = Refusal(RefusalKind.TOO_MANY_IN_FLIGHT, RunState.NOT_RUN)


class ConcurrencyLimit:
    """Limits concurrent requests, so that no client account occupies all threads.

    Parameters
    ----------
    limit : int
        Maximum number of concurrent requests of one client account.

    Examples
    --------
    >>> limit = ConcurrencyLimit(limit=1)
    >>> limit.acquire("fitters").is_ok(), limit.acquire("fitters").is_ok()
    (True, False)
    >>> limit.release("fitters")
    >>> limit.acquire("fitters").is_ok()
    True
    """

    def __init__(self, limit: int):
        self._limit = limit
        self._counts = collections.Counter()

    @property
    def total(self) -> int:
        """Number of concurrent requests of all client accounts."""
        return self._counts.total()

    def acquire(self, account: str) -> Result[None, Refusal]:
        """Count a request that starts, if its account is below the limit.

        Parameters
        ----------
        account : str
            Name of the client account.

        Returns
        -------
        Result
            ``TOO_MANY_IN_FLIGHT`` if the account is at its limit.
        """
        if self._counts[account] >= self._limit:
            return Err(_REFUSAL)
        self._counts[account] += 1
        return Ok(None)

    def release(self, account: str) -> None:
        """Stop counting a request that has ended.

        Parameters
        ----------
        account : str
            Name of the client account.
        """
        self._counts[account] -= 1
        if not self._counts[account]:
            del self._counts[account]
