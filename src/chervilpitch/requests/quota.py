"""Shared capacity of which no client account can take all."""

from collections import Counter

__all__ = ["Quota"]


class Quota:
    """Units in use for each client account, bounded as a whole.

    An account may take units while it holds fewer than are still free after
    the taking, so one greedy account gets half of the capacity, two get a third
    each, and something is always left for an account that holds nothing.

    Parameters
    ----------
    capacity : int
        Units in all.

    References
    ----------
    A. K. Choudhury and E. L. Hahne, "Dynamic queue length thresholds for
    shared-memory packet switches", IEEE/ACM Transactions on Networking 6(2),
    1998.

    Examples
    --------
    >>> quota = Quota(8)
    >>> [quota.take("large", 1) for _ in range(5)]
    [True, True, True, True, False]
    >>> quota.take("small", 1)
    True
    """

    def __init__(self, capacity: int):
        self._capacity = capacity
        self._used = 0
        self._held: Counter[str] = Counter()

    @property
    def used(self) -> int:
        """Units in use."""
        return self._used

    def held_by(self, account: str) -> int:
        """Return the units that an account holds."""
        return self._held[account]

    def take(self, account: str, units: int) -> bool:
        """Take units for an account; return whether they were free for it."""
        if not units:
            return True
        held = self._held[account] + units
        free = self._capacity - self._used - units
        if free < 0 or held > max(free, 1):
            return False
        self._held[account] = held
        self._used += units
        return True

    def give_back(self, account: str, units: int) -> None:
        """Return units that an account held."""
        self._used -= units
        self._held[account] -= units
        if not self._held[account]:
            del self._held[account]
