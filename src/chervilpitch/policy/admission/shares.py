"""Shares of scarce capacity by priority, and by client account within a priority.

Capacity goes to the more urgent priorities first. Every priority and every account
keeps a part of the mean share, so that none is starved. Within a priority, accounts
share by max-min: an account is admitted up to a fair level, and those that ask for
less get all they ask for. As in core-stateless fair queueing (Stoica, Shenker and
Zhang, SIGCOMM 1998) each request is admitted with a probability, the fair level over
the demand of its account, so that no list of accounts has to be walked.
"""

import itertools
from bisect import bisect_right
from collections.abc import Iterable, Mapping

__all__ = ["MIN_ACCOUNT_SHARE", "fair_level", "priority_shares"]

MIN_PRIORITY_SHARE = 0.4
"""Part of the mean share that each priority gets; at least a quarter is required."""
MIN_ACCOUNT_SHARE = 0.3
"""Part of the mean share that each account gets. It is lower than that of a priority,
so that the accounts of a priority that gets its minimum still share by max-min."""
SEARCH_STEPS = 10
"""Halvings of the interval of the fair level, to 1 in 1,000 of it."""


def priority_shares(
    demands: Mapping[int, float], mean_share: float
) -> dict[int, float]:
    """Return the share of the requests of each priority to admit.

    A more urgent priority never gets a smaller share than a less urgent one.

    Parameters
    ----------
    demands : mapping of int to float
        Requests by priority, above 0; 0 is the highest.
    mean_share : float
        Share of all requests that can be served.

    Examples
    --------
    >>> shares = priority_shares({0: 10.0, 1: 10.0}, 0.5)
    >>> round(shares[0], 2), round(shares[1], 2)
    (0.8, 0.2)
    """
    if mean_share >= 1:
        return dict.fromkeys(demands, 1.0)
    minimum = MIN_PRIORITY_SHARE * mean_share
    left = (mean_share - minimum) * sum(demands.values())
    shares = {}
    for priority in sorted(demands):
        demand = demands[priority]
        extra = min(left, (1 - minimum) * demand)
        left -= extra
        shares[priority] = minimum + extra / demand
    return shares


def fair_level(demands: Iterable[float], share: float, min_share: float) -> float:
    """Return the demand up to which accounts are admitted in full.

    Parameters
    ----------
    demands : iterable of float
        Demand of the account of each of the latest requests, so that an account
        counts in proportion to its demand.
    share : float
        Share of these requests to admit.
    min_share : float
        Share that every account is admitted with; above 0.

    Examples
    --------
    >>> round(fair_level([8.0] * 8 + [1.0] * 2, 0.6, 0.1), 2)
    4.0
    """
    ordered = sorted(demands)
    if not ordered:
        return 0.0
    inverse_sums = [0.0, *itertools.accumulate(1 / demand for demand in ordered)]
    target = share * len(ordered)
    low, high = 0.0, ordered[-1]
    for _ in range(SEARCH_STEPS):
        level = (low + high) / 2
        in_full = bisect_right(ordered, level)
        above_minimum = bisect_right(ordered, level / min_share)
        admitted = (
            in_full
            + level * (inverse_sums[above_minimum] - inverse_sums[in_full])
            + min_share * (len(ordered) - above_minimum)
        )
        if admitted < target:
            low = level
        else:
            high = level
    return high
