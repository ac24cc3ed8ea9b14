"""Load shedding: refuse requests that cannot be served in time.

If callers send more requests than upstreams have slots for, all requests queue and
most responses arrive too late to be useful. Requests of lower priority are therefore
refused first, so that the others are served in time.
"""

from chervilpitch.model import HostRoute, RefusalKind

__all__ = ["admission_limit_s", "is_overloaded", "retry_after_s"]

REFUSAL_SHARES_OF_AIM = (1.3, 1.1, 0.8)  # by priority, 0 is the highest
RETRY_AFTER_S = 0.4
SHED_RETRY_AFTER_S = 0.15


def is_overloaded(
    route: HostRoute, priority: int, expected_s: float, remaining_s: float
) -> bool:
    """Return whether to refuse a request before it is sent to an upstream.

    Parameters
    ----------
    route : HostRoute
        Route of the request, which has the latency target.
    priority : int
        Effective priority of the request; 0 is the highest.
    expected_s : float
        Expected response time of the best upstream in seconds.
    remaining_s : float
        Seconds until the deadline of the request.

    Examples
    --------
    >>> from chervilpitch.model import RequestKind
    >>> route = HostRoute("r", "h", "/", RequestKind.SAFE, 2.0, 0.8, 2, (), 1, True)
    >>> is_overloaded(route, 2, 0.3, 2.0), is_overloaded(route, 2, 0.7, 2.0)
    (False, True)
    >>> is_overloaded(route, 0, 0.7, 2.0)
    False
    """
    return expected_s > min(remaining_s, admission_limit_s(route, priority))


def admission_limit_s(route: HostRoute, priority: int) -> float:
    """Return the expected time in seconds above which requests are refused.

    Parameters
    ----------
    route : HostRoute
        Route of the request, which has the latency target.
    priority : int
        Effective priority of the request; 0 is the highest.
    """
    rank = min(max(priority, 0), len(REFUSAL_SHARES_OF_AIM) - 1)
    return route.aim_s * REFUSAL_SHARES_OF_AIM[rank]


def retry_after_s(refusal: RefusalKind) -> float:
    """Return the delay in seconds before the caller should retry.

    The delay is shorter after upstreams shed the request, since a retry may be sent
    to other upstreams.

    Parameters
    ----------
    refusal : RefusalKind
        Why the request was refused.
    """
    if refusal is RefusalKind.UPSTREAM_SHED:
        return SHED_RETRY_AFTER_S
    return RETRY_AFTER_S
