"""Requests of each client account in progress at one instance."""

import collections

from result import Err, Ok, Result

from chervilpitch.model import Refusal, RefusalKind, RunState

__all__ = ["ConcurrencyLimit"]

_REFUSAL = Refusal(RefusalKind.TOO_MANY_IN_FLIGHT, RunState.NOT_RUN)


class ConcurrencyLimit:
    """Counts requests in progress, so that no client account takes every thread.

    Parameters
    ----------
    limit : int
        Most requests of one client account at once.

    Examples
    --------
    >>> counts = ConcurrencyLimit(limit=1)
    >>> counts.acquire("fitters").is_ok(), counts.acquire("fitters").is_ok()
    (True, False)
    >>> counts.release("fitters")
    >>> counts.acquire("fitters").is_ok()
    True
    """

    def __init__(self, limit: int):
        self._limit = limit
        self._counts = collections.Counter()

    @property
    def total(self) -> int:
        """Requests in progress of all client accounts."""
        return self._counts.total()

    def acquire(self, account: str) -> Result[None, Refusal]:
        """Count a request that begins.

        Parameters
        ----------
        account : str
            Name of the client account.

        Returns
        -------
        Result
            ``TOO_MANY_IN_FLIGHT`` when the account is at its limit.
        """
        if self._counts[account] >= self._limit:
            return Err(_REFUSAL)
        self._counts[account] += 1
        return Ok(None)

    def release(self, account: str) -> None:
        """Count a request that ends.

        Parameters
        ----------
        account : str
            Name of the client account.
        """
        self._counts[account] -= 1
        if not self._counts[account]:
            del self._counts[account]
