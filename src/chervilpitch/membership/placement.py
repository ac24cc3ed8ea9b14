"""Rendezvous hashing, which gives the same order of candidates on every instance."""

from collections.abc import Iterable

import xxhash

__all__ = ["rank", "weight"]


def weight(key: str, candidate: str) -> int:
    """Return the rendezvous weight of a candidate for a key.

    Parameters
    ----------
    key, candidate : str
        Any text.

    Returns
    -------
    int
        An unsigned 64-bit hash, the same on every machine.
    """
    return xxhash.xxh3_64_intdigest(f"{key}\0{candidate}".encode())


def rank(key: str, candidates: Iterable[str]) -> tuple[str, ...]:
    """Return the candidates in decreasing order of their rendezvous weight.

    Removing one candidate does not change the order of the others.

    Parameters
    ----------
    key : str
        Key to place.
    candidates : iterable of str
        Names of the possible locations.

    Returns
    -------
    tuple of str
        All candidates, best first.

    References
    ----------
    D. Thaler and C. Ravishankar, "Using name-based mappings to increase hit
    rates", IEEE/ACM Transactions on Networking 6(1), 1998.

    Examples
    --------
    >>> order = rank("fitters", ["a", "b", "c"])
    >>> rank("fitters", [name for name in "abc" if name != order[0]]) == order[1:]
    True
    """
    return tuple(sorted(candidates, key=lambda c: (-weight(key, c), c)))
