"""Suspension of keys and accounts before their withdrawal is in force."""

from collections.abc import Collection

from result import Err, Ok, Result

from chervilpitch.model import ClientAccount, Refusal, RefusalKind, RunState

from .keys import PresentedKey

__all__ = ["check_not_suspended"]


def check_not_suspended(
    account: ClientAccount,
    key: PresentedKey,
    suspended_accounts: Collection[str],
    suspended_keys: Collection[str],
) -> Result[ClientAccount, Refusal]:
    """Check that no pending release note withdraws a key or its account.

    Parameters
    ----------
    account : ClientAccount
        The account that the key belongs to.
    key : PresentedKey
        The key that came with the request.
    suspended_accounts : collection of str
        Names of accounts that a pending note withdraws.
    suspended_keys : collection of str
        Digests of keys that a pending note withdraws.

    Returns
    -------
    Result[ClientAccount, Refusal]
        The account, or ``KEY_UNKNOWN``.

    Examples
    --------
    >>> account = ClientAccount("fitters", 1.0, 1.0)
    >>> key = PresentedKey("k-123")
    >>> check_not_suspended(account, key, {"fitters"}, set()).unwrap_err().kind
    <RefusalKind.KEY_UNKNOWN: 'key-unknown'>
    """
    if account.name in suspended_accounts:
        return Err(Refusal(RefusalKind.KEY_UNKNOWN, RunState.NOT_RUN))
    if suspended_keys and key.digest in suspended_keys:
        return Err(Refusal(RefusalKind.KEY_UNKNOWN, RunState.NOT_RUN))
    return Ok(account)
