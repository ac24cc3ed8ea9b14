"""Rendezvous hashing: the same order of candidates on every instance."""

from collections.abc import Iterable

import xxhash

__all__ = ["rank", "weight"]


def weight(key: str, candidate: str) -> int:
    """Return the weight of a candidate for a key.

    Parameters
    ----------
    key, candidate : str
        Any text.

    Returns
    -------
    int
        An unsigned 64-bit number, the same on every machine.
    """
    return xxhash.xxh3_64_intdigest(f"{key}\0{candidate}".encode())


def rank(key: str, candidates: Iterable[str]) -> tuple[str, ...]:
    """Return the candidates ordered by rendezvous weight, heaviest first.

    Removing one candidate leaves the order of the others as it was.

    Parameters
    ----------
    key : str
        What is to be placed.
    candidates : iterable of str
        Where it may be placed.

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
