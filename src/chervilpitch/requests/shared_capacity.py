"""Capacity shared by client accounts, of which none can use everything."""

from collections import Counter

__all__ = ["SharedCapacity"]


class SharedCapacity:
    """Capacity with a dynamic threshold for each client account.

    An account may acquire units as long as it then uses no more than remain free;
    for its first unit it is enough that one is free. So a single greedy account
    gets half of the capacity, two get a third each, and units are left for an
    account that uses none.

    Parameters
    ----------
    capacity : int
        Total number of units.

    References
    ----------
    A. K. Choudhury and E. L. Hahne, "Dynamic queue length thresholds for
    shared-memory packet switches", IEEE/ACM Transactions on Networking 6(2),
    1998.

    Examples
    --------
    >>> capacity = SharedCapacity(8)
    >>> [capacity.acquire("large", 1) for _ in range(5)]
    [True, True, True, True, False]
    >>> capacity.acquire("small", 1)
    True
    """

    def __init__(self, capacity: int):
        self._capacity = capacity
        self._used = 0
        self._used_by_account: Counter[str] = Counter()

    @property
    def used(self) -> int:
        """Units in use."""
        return self._used

    def used_by(self, account: str) -> int:
        """Return the units that an account uses."""
        return self._used_by_account[account]

    def acquire(self, account: str, units: int) -> bool:
        """Acquire units for an account and return whether its share allows it."""
        if not units:
            return True
        account_used = self._used_by_account[account] + units
        free = self._capacity - self._used - units
        if free < 0 or account_used > max(free, 1):
            return False
        self._used_by_account[account] = account_used
        self._used += units
        return True

    def release(self, account: str, units: int) -> None:
        """Release units that an account acquired."""
        self._used -= units
        self._used_by_account[account] -= units
        if not self._used_by_account[account]:
            del self._used_by_account[account]
