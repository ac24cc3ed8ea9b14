"""Baseline for comparison: the key is checked only once for each connection.

It is used by tests and benchmarks only.
"""

from result import Ok, Result

from chervilpitch.model import Catalogue, ClientAccount, Refusal

from .identify import identify
from .keys import PresentedKey

__all__ = ["NaiveConnection", "naive_check", "naive_identify"]


class NaiveConnection:
    """A caller's connection that stores the client account of its first request."""

    def __init__(self):
        self._account: ClientAccount | None = None

    @property
    def account(self) -> ClientAccount | None:
        """Client account of the first request."""
        return self._account

    def store_account(self, account: ClientAccount) -> None:
        """Store the client account."""
        self._account = account


def naive_identify(
    connection: NaiveConnection, catalogue: Catalogue, key: PresentedKey | None
) -> Result[ClientAccount, Refusal]:
    """Return the client account of a connection.

    Parameters
    ----------
    connection : NaiveConnection
        The connection; modified in place.
    catalogue : Catalogue
        The catalogue in force.
    key : PresentedKey or None
        The key that came with the request.

    Returns
    -------
    Result[ClientAccount, Refusal]
        The stored account, or else the account of the key.
    """
    if connection.account is not None:
        return Ok(connection.account)
    result = identify(catalogue, key)
    if isinstance(result, Ok):
        connection.store_account(result.ok_value)
    return result


def naive_check(revision: int, now_s: float) -> Result[None, Refusal]:
    """Accept the last catalogue however old it is.

    Parameters
    ----------
    revision : int
        Revision in force.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    Result[None, Refusal]
        Always Ok.
    """
    return Ok(None)
