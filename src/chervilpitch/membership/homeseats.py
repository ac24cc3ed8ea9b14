"""Cache of the home seats of client accounts."""

from collections.abc import Mapping

__all__ = ["HomeSeatCache"]

MAX_ACCOUNTS = 4_096


class HomeSeatCache:
    """Cache of the home seats of client accounts.

    Ranking thousands of seats for an account is slow, so the result is kept until
    the seats change or ``MAX_ACCOUNTS`` newer accounts replace it.
    """

    def __init__(self) -> None:
        self._seats: Mapping[int, str] = {}
        self._groups: Mapping[str, Mapping[str, tuple[str, ...]]] = {}
        self._home_seats: dict[str, frozenset[int]] = {}

    def get(self, account: str, seats: Mapping[int, str]) -> frozenset[int]:
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
        # Imported here because the limits package imports this package's hashing.
        from chervilpitch.limits.homes import group_seats, home_seats

        if seats is not self._seats:
            self._seats = seats
            self._groups = group_seats(seats)
            self._home_seats = {}
        if account not in self._home_seats:
            if len(self._home_seats) >= MAX_ACCOUNTS:
                del self._home_seats[next(iter(self._home_seats))]
            self._home_seats[account] = frozenset(home_seats(account, self._groups))
        return self._home_seats[account]
