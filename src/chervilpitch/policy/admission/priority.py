"""Priority that a request has under overload."""

from chervilpitch.model import AccountQuota, HostRoute

__all__ = ["effective_priority"]


def effective_priority(route: HostRoute, account: AccountQuota | None) -> int:
    """Return the priority of the client account if it has one, else the route's.

    Parameters
    ----------
    route : HostRoute
        Route of the request.
    account : AccountQuota or None
        Client account of the request, if it has one.

    Examples
    --------
    >>> from chervilpitch.model import RequestKind
    >>> route = HostRoute("r", "h", "/", RequestKind.SAFE, 2.0, 0.8, 2, (), 1, True)
    >>> effective_priority(route, AccountQuota("a", 0, 5.0, 5.0))
    0
    >>> effective_priority(route, AccountQuota("b", None, 5.0, 5.0))
    2
    """
    if account is None or account.priority is None:
        return route.priority
    return account.priority
