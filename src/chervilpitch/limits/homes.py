"""Seats that mint the rate of a client account."""

from collections.abc import Mapping

from chervilpitch.membership.placement import rank

__all__ = ["home_seats"]

HOMES_PER_FAILURE_DOMAIN = 2


def home_seats(account: str, seats: Mapping[int, str]) -> tuple[int, ...]:
    """Return the seats that mint an account's rate, in a stable order.

    Parameters
    ----------
    account : str
        Name of the client account.
    seats : mapping of int to str
        Failure domain of each seat.

    Returns
    -------
    tuple of int
        The same few seats of every failure domain on every instance.

    Examples
    --------
    >>> home_seats("fitters", {0: "punjab/a", 1: "punjab/b"})
    (0, 1)
    """
    homes = []
    for domain in sorted(set(seats.values())):
        members = (str(seat) for seat, where in seats.items() if where == domain)
        homes.extend(rank(account, members)[:HOMES_PER_FAILURE_DOMAIN])
    return tuple(sorted(int(seat) for seat in homes))
