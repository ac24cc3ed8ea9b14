"""Witness seats, whose holders grant the lease of another seat by a majority."""

from collections.abc import Iterable, Mapping

from chervilpitch.membership.placement import rank
from chervilpitch.model import region_of

__all__ = ["quorum_of", "witness_seats"]


def witness_seats(seat: int, seats: Mapping[int, str]) -> tuple[int, ...]:
    """Return the witness seats of a seat.

    One is in the same failure domain, one in another domain of the region and
    one in another region. Where one of these does not exist, a seat of the same
    region is used instead, or of another region if there is none.

    Parameters
    ----------
    seat : int
        The claimed seat.
    seats : mapping of int to str
        Failure domain of each seat.

    Returns
    -------
    tuple of int
        Up to three seats, the same on every instance.

    Examples
    --------
    >>> domains = ("punjab/a", "punjab/b", "sindh/a", "sindh/b")
    >>> seats = dict(enumerate(domains * 2))
    >>> [seats[witness] for witness in witness_seats(0, seats)][:2]
    ['punjab/a', 'punjab/b']
    >>> witness_seats(0, {0: "punjab/a"})
    ()
    """
    domain = seats[seat]
    region = region_of(domain)
    others = _ranked(seat, (other for other in seats if other != seat))
    same_domain = [s for s in others if seats[s] == domain]
    same_region = [s for s in others if region_of(seats[s]) == region]
    other_domains = [s for s in same_region if seats[s] != domain]
    other_regions = [s for s in others if region_of(seats[s]) != region]
    preferred = same_domain[:1] + other_domains[:1] + other_regions[:1]
    remaining = [s for s in same_region + other_regions if s not in preferred]
    return tuple((preferred + remaining)[:3])


def quorum_of(witnesses: tuple[int, ...]) -> int:
    """Return the number of witnesses in a majority, 0 if there are none.

    Parameters
    ----------
    witnesses : tuple of int
        The witness seats.

    Returns
    -------
    int
        Number of promises that a claimant needs.
    """
    return len(witnesses) // 2 + 1 if witnesses else 0


def _ranked(seat: int, others: Iterable[int]) -> list[int]:
    names = rank(f"witness {seat}", (str(other) for other in others))
    return [int(name) for name in names]
