"""Seats that mint the rate of a client account."""

from collections.abc import Mapping

from chervilpitch.membership.placement import rank

__all__ = ["HOMES_PER_FAILURE_DOMAIN", "home_seats"]

HOMES_PER_FAILURE_DOMAIN = 1


def home_seats(
    account: str,
    seats: Mapping[int, str],
    per_failure_domain: int = HOMES_PER_FAILURE_DOMAIN,
) -> tuple[int, ...]:
    """Return the seats that mint an account's rate, in a stable order.

    Parameters
    ----------
    account : str
        Name of the client account.
    seats : mapping of int to str
        Failure domain of each seat.
    per_failure_domain : int, optional
        Number of homes in each failure domain.

    Returns
    -------
    tuple of int
        The same few seats of every failure domain on every instance.

    Examples
    --------
    >>> home_seats("fitters", {0: "punjab/a", 1: "punjab/b"})
    (0, 1)
    """
    members: dict[str, list[str]] = {}
    for seat, domain in seats.items():
        members.setdefault(domain, []).append(str(seat))
    homes: list[str] = []
    for domain in sorted(members):
        homes.extend(rank(account, members[domain])[:per_failure_domain])
    return tuple(sorted(int(seat) for seat in homes))
