"""Home seats of the client accounts asked for lately."""

from collections.abc import Mapping

__all__ = ["HomeSeats"]

ACCOUNTS_KEPT = 4_096


class HomeSeats:
    """The home seats of the accounts asked for lately.

    Ranking every seat for an account takes a while at thousands of seats, so the
    result is kept until the seats change.
    """

    def __init__(self) -> None:
        self._seats: Mapping[int, str] = {}
        self._groups: Mapping[str, Mapping[str, tuple[str, ...]]] = {}
        self._homes: dict[str, frozenset[int]] = {}

    def of(self, account: str, seats: Mapping[int, str]) -> frozenset[int]:
        """Return the home seats of an account.

        Parameters
        ----------
        account : str
            Name of the client account.
        seats : mapping of int to str
            Failure domain of each seat; a changed mapping must be a new object.

        Returns
        -------
        frozenset of int
            Seat numbers.
        """
        # The limits package places its homes with this package's hashing.
        from chervilpitch.limits.homes import group_seats, home_seats

        if seats is not self._seats:
            self._seats = seats
            self._groups = group_seats(seats)
            self._homes = {}
        if account not in self._homes:
            if len(self._homes) >= ACCOUNTS_KEPT:
                del self._homes[next(iter(self._homes))]
            self._homes[account] = frozenset(home_seats(account, self._groups))
        return self._homes[account]
