"""Home seats of client accounts, which refill their token buckets."""

from collections.abc import Mapping

from chervilpitch.membership.placement import rank
from chervilpitch.model import region_of

__all__ = ["HOMES_PER_REGION", "SeatGroups", "group_seats", "home_seats"]

HOMES_PER_REGION = 1

SeatGroups = Mapping[str, Mapping[str, tuple[str, ...]]]
"""Seat numbers as strings, by region and failure domain."""


def group_seats(seats: Mapping[int, str]) -> SeatGroups:
    """Return the seats by region and failure domain.

    Parameters
    ----------
    seats : mapping of int to str
        Failure domain of each seat.

    Returns
    -------
    mapping
        Seat numbers as strings, by region and failure domain.

    Examples
    --------
    >>> group_seats({0: "punjab/a", 1: "sindh/a", 2: "punjab/a"})
    {'punjab': {'punjab/a': ('0', '2')}, 'sindh': {'sindh/a': ('1',)}}
    """
    groups: dict[str, dict[str, tuple[str, ...]]] = {}
    for seat, domain in sorted(seats.items()):
        region = groups.setdefault(region_of(domain), {})
        region[domain] = region.get(domain, ()) + (str(seat),)
    return groups


def home_seats(
    account: str, groups: SeatGroups, per_region: int = HOMES_PER_REGION
) -> tuple[int, ...]:
    """Return the home seats of an account, in ascending order.

    The instances that hold them refill equal parts of the account's token bucket.

    Parameters
    ----------
    account : str
        Name of the client account.
    groups : mapping
        The seats as `group_seats` returns them.
    per_region : int, optional
        Number of home seats in each region, spread over its failure domains.

    Returns
    -------
    tuple of int
        Seat numbers, the same on every instance.

    Examples
    --------
    >>> home_seats("fitters", group_seats({0: "punjab/a", 1: "sindh/a"}))
    (0, 1)
    """
    homes: list[int] = []
    for domains in groups.values():
        homes.extend(_homes_of_region(account, domains, per_region))
    return tuple(sorted(homes))


def _homes_of_region(
    account: str, domains: Mapping[str, tuple[str, ...]], count: int
) -> list[int]:
    """Return the best ranked seats, taken from the failure domains in turn."""
    ranked_domains = rank(account, domains)[:count]
    ranked_seats = [list(rank(account, domains[domain])) for domain in ranked_domains]
    homes: list[int] = []
    while len(homes) < count and any(ranked_seats):
        for seats in ranked_seats:
            if seats and len(homes) < count:
                homes.append(int(seats.pop(0)))
    return homes
