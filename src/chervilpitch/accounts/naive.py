"""What a hurried author writes: the key is checked once for each connection.

Kept for the differential tests and the benchmarks; never part of the program.
"""

from result import Ok, Result

from chervilpitch.model import Catalogue, ClientAccount, Refusal

from .identify import identify
from .keys import PresentedKey

__all__ = ["NaiveConnection", "naive_check", "naive_identify"]


class NaiveConnection:
    """A caller's connection, which remembers who opened it."""

    def __init__(self):
        self._account: ClientAccount | None = None

    @property
    def account(self) -> ClientAccount | None:
        """Client account of the first request."""
        return self._account

    def remember(self, account: ClientAccount) -> None:
        """Keep the client account."""
        self._account = account


def naive_identify(
    connection: NaiveConnection, catalogue: Catalogue, key: PresentedKey | None
) -> Result[ClientAccount, Refusal]:
    """Return the client account of a connection.

    Parameters
    ----------
    connection : NaiveConnection
        The connection; changed.
    catalogue : Catalogue
        The catalogue in force.
    key : PresentedKey or None
        The key that came with the request.

    Returns
    -------
    Result[ClientAccount, Refusal]
        The account remembered, else that of the key.
    """
    if connection.account is not None:
        return Ok(connection.account)
    result = identify(catalogue, key)
    if isinstance(result, Ok):
        connection.remember(result.ok_value)
    return result


def naive_check(revision: int, now_s: float) -> Result[None, Refusal]:
    """Trust the last catalogue for ever.

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
