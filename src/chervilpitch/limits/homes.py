"""Seats that mint the rate of a client account."""

from collections import Counter
from collections.abc import Mapping

from chervilpitch.membership.placement import rank
from chervilpitch.model import region_of

__all__ = ["HOMES_PER_REGION", "home_seats"]

HOMES_PER_REGION = 1


def home_seats(
    account: str,
    seats: Mapping[int, str],
    per_region: int = HOMES_PER_REGION,
) -> tuple[int, ...]:
    """Return the seats that mint an account's rate, in a stable order.

    Parameters
    ----------
    account : str
        Name of the client account.
    seats : mapping of int to str
        Failure domain of each seat.
    per_region : int, optional
        Number of homes in each region, spread over its failure domains.

    Returns
    -------
    tuple of int
        The same few seats of every region on every instance.

    Examples
    --------
    >>> home_seats("fitters", {0: "punjab/a", 1: "sindh/a"})
    (0, 1)
    """
    members: dict[str, list[str]] = {}
    for seat, domain in seats.items():
        members.setdefault(region_of(domain), []).append(str(seat))
    homes: list[int] = []
    for region in sorted(members):
        ranked = [int(seat) for seat in rank(account, members[region])]
        homes.extend(_spread(ranked, seats)[:per_region])
    return tuple(sorted(homes))


def _spread(ranked: list[int], seats: Mapping[int, str]) -> list[int]:
    """Order seats so that no failure domain comes twice before all came once."""
    seen: Counter[str] = Counter()
    rounds = {}
    for place, seat in enumerate(ranked):
        rounds[seat] = (seen[seats[seat]], place)
        seen[seats[seat]] += 1
    return sorted(ranked, key=rounds.__getitem__)
