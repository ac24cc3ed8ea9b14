"""Identification of the client account of each request."""

import hmac

from result import Err, Ok, Result

from chervilpitch.model import (
    Catalogue,
    ClientAccount,
    Refusal,
    RefusalKind,
    Route,
    RunState,
)

from .keys import PresentedKey

__all__ = ["MAX_KEY_BYTES", "check_admitted", "identify"]

MAX_KEY_BYTES = 256


def identify(
    catalogue: Catalogue, key: PresentedKey | None
) -> Result[ClientAccount, Refusal]:
    """Return the client account of a presented key.

    Call it for each request, so that a withdrawn key stops with the next one.

    Parameters
    ----------
    catalogue : Catalogue
        The catalogue in force at this request.
    key : PresentedKey or None
        The key that came with the request, if any.

    Returns
    -------
    Result[ClientAccount, Refusal]
        The account; ``KEY_MISSING``, ``KEY_MALFORMED`` or ``KEY_UNKNOWN``.

    Notes
    -----
    Keys are looked up by digest in a mapping. The duration of the lookup may
    depend on the digest but not on the key: an observer who learned digits of a
    digest would still have to invert SHA-256. The digest that was found is
    compared again in constant time.

    Examples
    --------
    >>> from chervilpitch.model import EMPTY_CATALOGUE
    >>> identify(EMPTY_CATALOGUE, PresentedKey("k-123")).unwrap_err().kind
    <RefusalKind.KEY_UNKNOWN: 'key-unknown'>
    """
    if key is None or not len(key):
        return _refused(RefusalKind.KEY_MISSING)
    if len(key) > MAX_KEY_BYTES or not key.is_ascii:
        return _refused(RefusalKind.KEY_MALFORMED)
    digest = key.digest
    declared = catalogue.keys.get(digest)
    if declared is None or not hmac.compare_digest(declared.digest, digest):
        return _refused(RefusalKind.KEY_UNKNOWN)
    account = catalogue.accounts.get(declared.account)
    if account is None:
        return _refused(RefusalKind.KEY_UNKNOWN)
    return Ok(account)


def check_admitted(route: Route, account: ClientAccount) -> Result[None, Refusal]:
    """Check that a route admits a client account.

    Parameters
    ----------
    route : Route
        The route of the request.
    account : ClientAccount
        The account whose key came with the request.

    Returns
    -------
    Result[None, Refusal]
        ``ACCOUNT_NOT_ADMITTED`` if the route names only other accounts.

    Examples
    --------
    >>> route = Route("stock", "/stock", "stock", 1.0, True, ("counters",))
    >>> check_admitted(route, ClientAccount("fitters", 1.0, 1.0)).is_err()
    True
    """
    if route.accounts and account.name not in route.accounts:
        return _refused(RefusalKind.ACCOUNT_NOT_ADMITTED)
    return Ok(None)


def _refused(kind: RefusalKind) -> Err[Refusal]:
    return Err(Refusal(kind, RunState.NOT_RUN))
