"""Refusing at once what can't be served in time.

Answers more requests than upstreams have slots for: without refusals each waits in
a queue and most answers come too late to be worth much. Those of lower rank are
refused first, so that the others are served in time.
"""

from chervilpitch.model import HostRoute, RefusalKind

__all__ = ["is_overloaded", "retry_after_s"]

SHARES_OF_AIM = (1.3, 1.1, 0.8)
RETRY_AFTER_S = 0.4
SHED_RETRY_AFTER_S = 0.15


def is_overloaded(route: HostRoute, expected_s: float, left_s: float) -> bool:
    """Return whether a request is to be refused before it is sent.

    Parameters
    ----------
    route : HostRoute
        Its route.
    expected_s : float
        Seconds until the answer of the best upstream is expected.
    left_s : float
        Seconds until an answer is of no use.

    Examples
    --------
    >>> from chervilpitch.model import RequestKind
    >>> route = HostRoute("r", "h", "/", RequestKind.SAFE, 2.0, 0.8, 2, (), 1, True)
    >>> is_overloaded(route, 0.3, 2.0), is_overloaded(route, 0.7, 2.0)
    (False, True)
    """
    rank = min(max(route.priority, 0), len(SHARES_OF_AIM) - 1)
    return expected_s > min(left_s, route.aim_s * SHARES_OF_AIM[rank])


def retry_after_s(refusal: RefusalKind) -> float:
    """Return the seconds after which another attempt may succeed.

    One that upstreams turned away comes back soon: it may find others.
    """
    if refusal is RefusalKind.UPSTREAM_SHED:
        return SHED_RETRY_AFTER_S
    return RETRY_AFTER_S
