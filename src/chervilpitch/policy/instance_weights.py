"""Weights of instances in the answers of the directory, and how answers express them.

A request costs processor time, and its bodies cost time on the link. How much of each
depends on the requests, which the directory does not know. Both are therefore taken to
make up half of the cost of a request at an instance of average capacity. The weight is
the harmonic mean of the instance's shares of the average processor time and bandwidth:
an instance with little of either gets few callers, while one with plenty of one
resource gets at most twice as many as the other resource alone would give it.
"""

import itertools
from collections.abc import Sequence

from .members import Member

__all__ = ["MAX_ADDRESSES", "weighted_members"]

MAX_ADDRESSES = 64
MAX_WEIGHT_RATIO = 8
"""Largest weight over the smallest. Beside seven larger instances, the smallest one is
still due one of the addresses."""


def weighted_members(members: Sequence[Member], offset: float) -> tuple[Member, ...]:
    """Return instances for an answer, repeated in proportion to what they can carry.

    Without different capacities that all of them state, each instance is named once,
    up to the limit. Otherwise the answer has ``MAX_ADDRESSES`` items. It names each
    instance at least once if there are no more instances than items.

    Parameters
    ----------
    members : sequence of Member
        Instances, one of which a caller chooses with equal probability for each item.
    offset : float
        Number from 0 to 1 that differs between the instances that answer. Their
        answers round differently, so that the mean over them is exact.
    """
    weights = _weights(members)
    if len(set(weights)) <= 1:
        return tuple(members[:MAX_ADDRESSES])
    scale = MAX_ADDRESSES / sum(weights)
    due = [weight * scale for weight in weights]
    named = list(members) if len(members) <= MAX_ADDRESSES else []
    if named:
        due = [max(0.0, count - 1) for count in due]
    counts = _spread(due, MAX_ADDRESSES - len(named), offset)
    repeats = (
        itertools.repeat(member, count)
        for member, count in zip(members, counts, strict=True)
    )
    return (*named, *itertools.chain.from_iterable(repeats))


def _weights(members: Sequence[Member]) -> list[float]:
    """Return the weight of each instance; equal ones if no capacity can be compared.

    A resource counts if all instances state it.
    """
    capacities = zip(*((item.cpu_millicores, item.link_kbps) for item in members))
    shares = [_shares(column) for column in capacities if all(column)]
    if not shares:
        return [1.0] * len(members)
    weights = [1 / sum(1 / share for share in row) for row in zip(*shares, strict=True)]
    least = max(weights) / MAX_WEIGHT_RATIO
    return [max(weight, least) for weight in weights]


def _shares(capacities: Sequence[int]) -> list[float]:
    """Return capacities as multiples of their mean."""
    mean = sum(capacities) / len(capacities)
    return [capacity / mean for capacity in capacities]


def _spread(due: Sequence[float], count: int, offset: float) -> list[int]:
    """Return whole numbers with a given sum, in proportion to the numbers given.

    This is a systematic sample: each number is rounded up or down, and over all
    offsets the mean of what it is rounded to is exact.

    Examples
    --------
    >>> _spread([1.5, 0.5, 2.0], 4, 0.25), _spread([1.5, 0.5, 2.0], 4, 0.75)
    ([1, 1, 2], [2, 0, 2])
    """
    scale = count / sum(due)
    ends = [int(end * scale + offset) for end in itertools.accumulate(due)]
    whole = [min(end, count) for end in ends[:-1]] + [count]
    return [end - begin for begin, end in itertools.pairwise([0, *whole])]
