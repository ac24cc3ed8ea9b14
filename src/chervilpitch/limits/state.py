"""What one instance knows about the rates of client accounts."""

from collections.abc import Mapping
from typing import NamedTuple

from chervilpitch.model import EMPTY_CATALOGUE, Catalogue, ClientAccount, Sender

from .borrowing import BORROWED_SPAN_S, Borrowing
from .bucket import MAX_CLOCK_DRIFT, Bucket
from .homes import HOMES_PER_REGION, SeatGroups, group_seats, home_seats
from .lease import WITNESS_TERM_S, SeatLease

__all__ = ["LENT_SPAN_S", "LimitState", "PendingRequest"]

LENT_SPAN_S = BORROWED_SPAN_S * (1 + 3 * MAX_CLOCK_DRIFT)
"""How long a giver keeps the room of a loan, from the receipt of the request."""

SUPERSEDED_SPAN_S = WITNESS_TERM_S + LENT_SPAN_S
"""How long a seat that is no longer declared may mint, and its loans last."""

AVOIDED_S = 1.0
FORGET_INTERVAL_S = 1.0
UNANSWERED_LIMIT = 3


class PendingRequest(NamedTuple):
    """A token request that may still be answered.

    Parameters
    ----------
    sent_at_s : float
        Monotonic time in seconds of its sending.
    to : str
        Name of the instance asked.
    wants : mapping of str to float
        Tokens wanted, by account.
    is_late : bool
        Whether the answer is no longer counted on.
    """

    sent_at_s: float
    to: str
    wants: Mapping[str, float]
    is_late: bool = False


class SeatMove(NamedTuple):
    """A change of the declared seats.

    Parameters
    ----------
    at_s : float
        Monotonic time in seconds at which it came into force here.
    groups : mapping
        Seats of each region before it.
    """

    at_s: float
    groups: SeatGroups


class LimitState:
    """Seat, buckets and loans of one instance.

    Parameters
    ----------
    own : Sender
        Name and incarnation of this instance.
    seat : int or None
        Seat that it takes; None mints nothing and only borrows.
    homes_per_region : int, optional
        Number of seats in each region that mint an account's rate; the
        same on all instances.
    """

    def __init__(
        self,
        own: Sender,
        seat: int | None,
        homes_per_region: int = HOMES_PER_REGION,
    ):
        self._own = own
        self._homes_per_region = homes_per_region
        self._lease = SeatLease(own.incarnation, seat)
        self._catalogue: Catalogue = EMPTY_CATALOGUE
        self._holders: dict[int, tuple[str, ...]] = {}
        self._groups: SeatGroups = {}
        self._moves: list[SeatMove] = []
        self._homes: dict[str, tuple[int, ...]] = {}
        self._buckets: dict[str, Bucket] = {}
        self._buckets_since_s: float | None = None
        self._empty_at_s: dict[str, float] = {}
        self._borrowings: dict[str, Borrowing] = {}
        self._pending: dict[int, PendingRequest] = {}
        self._avoided_until_s: dict[str, float] = {}
        self._unanswered: dict[str, int] = {}
        self._next_number = 1
        self._forget_at_s = float("-inf")

    @property
    def own(self) -> Sender:
        """Name and incarnation of this instance."""
        return self._own

    @property
    def lease(self) -> SeatLease:
        """What it knows of its own seat and has promised for others."""
        return self._lease

    @property
    def catalogue(self) -> Catalogue:
        """Everything in force."""
        return self._catalogue

    @property
    def borrowings(self) -> Mapping[str, Borrowing]:
        """Loans and demand, by account; only accounts in use here."""
        return self._borrowings

    @property
    def buckets(self) -> Mapping[str, Bucket]:
        """Buckets that are not known to be full, by account."""
        return self._buckets

    @property
    def pending(self) -> dict[int, PendingRequest]:
        """Token requests that may still be answered, by number."""
        return self._pending

    def instances_of_seat(self, seat: int) -> tuple[str, ...]:
        """Return the names of the other instances listed for a seat."""
        return self._holders.get(seat, ())

    def follow_holders(self, holders: dict[int, tuple[str, ...]]) -> None:
        """Follow the names of the other instances listed for each seat."""
        self._holders = holders
        self._avoided_until_s.clear()
        self._unanswered.clear()

    def homes(self, account: str) -> tuple[int, ...]:
        """Return the seats that mint an account's rate."""
        homes = self._homes.get(account)
        if homes is None:
            homes = home_seats(account, self._groups, self._homes_per_region)
            self._homes[account] = homes
        return homes

    def bucket(self, account: ClientAccount, now_s: float) -> Bucket | None:
        """Return the bucket minted here for an account.

        Parameters
        ----------
        account : ClientAccount
            The client account.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        Bucket or None
            None when the seat is not held now or is no home of the account.
        """
        if not self._lease.holds(now_s):
            return None
        if self._buckets_since_s != self._lease.held_since_s:
            self._buckets.clear()
            self._buckets_since_s = self._lease.held_since_s
        bucket = self._buckets.get(account.name)
        if bucket is None and self._lease.seat in self.homes(account.name):
            bucket = Bucket(*self.part(account), self._minting_from_s(account.name))
            self._buckets[account.name] = bucket
        return bucket

    def part(self, account: ClientAccount) -> tuple[float, float]:
        """Return the rate and burst that each home of an account mints."""
        count = len(self.homes(account.name))
        return account.rate_per_s / count, account.burst / count

    def borrowing(self, account: str, now_s: float) -> Borrowing:
        """Return the loans and demand of an account, new when there are none."""
        borrowing = self._borrowings.get(account)
        if borrowing is None:
            borrowing = Borrowing(account, now_s)
            self._borrowings[account] = borrowing
        return borrowing

    def count_silence(self, name: str, now_s: float) -> None:
        """Avoid an instance for a while after it left requests unanswered."""
        count = self._unanswered.get(name, 0) + 1
        self._unanswered[name] = count
        if count >= UNANSWERED_LIMIT:
            self._avoided_until_s[name] = now_s + AVOIDED_S

    def count_answer(self, name: str, holds_seat: bool, now_s: float) -> None:
        """Ask an instance again, or avoid it for a while without its seat."""
        self._unanswered.pop(name, None)
        self._avoided_until_s.pop(name, None)
        if not holds_seat:
            self._avoided_until_s[name] = now_s + AVOIDED_S

    def is_avoided(self, name: str, now_s: float) -> bool:
        """Return whether an instance is asked for no tokens now."""
        return now_s < self._avoided_until_s.get(name, now_s)

    def next_number(self) -> int:
        """Return a number that no request of this incarnation has had."""
        number = self._next_number
        self._next_number += 1
        return number

    def replace_catalogue(self, catalogue: Catalogue, now_s: float) -> None:
        """Take a new catalogue; no bucket is filled by the change.

        Parameters
        ----------
        catalogue : Catalogue
            Everything in force from now on.
        now_s : float
            Monotonic time in seconds.
        """
        before = self._catalogue
        if before is not EMPTY_CATALOGUE:
            self._settle_buckets(catalogue, now_s)
        self._catalogue = catalogue
        if catalogue.seats != before.seats:
            self._move_seats(catalogue.seats, now_s)
            self._lease.follow_seats(catalogue.seats)
        for name in list(self._borrowings):
            if name not in catalogue.accounts:
                del self._borrowings[name]

    def forget_idle(self, now_s: float) -> None:
        """Drop full buckets and idle borrowings; they are rebuilt on demand."""
        if now_s < self._forget_at_s:
            return
        self._forget_at_s = now_s + FORGET_INTERVAL_S
        for name, empty_at_s in list(self._empty_at_s.items()):
            if self._is_refilled(name, now_s - empty_at_s):
                del self._empty_at_s[name]
        for name, bucket in list(self._buckets.items()):
            if name not in self._empty_at_s and bucket.is_full(now_s):
                del self._buckets[name]
        for name, borrowing in list(self._borrowings.items()):
            if borrowing.is_idle(now_s):
                del self._borrowings[name]
                self._homes.pop(name, None)

    def _move_seats(self, seats: Mapping[int, str], now_s: float) -> None:
        """Follow the declared seats; only buckets of unmoved homes stay."""
        recent = [move for move in self._moves if now_s - move.at_s < SUPERSEDED_SPAN_S]
        if self._groups:
            recent.append(SeatMove(now_s, self._groups))
        self._moves = recent
        before = {name: self.homes(name) for name in self._buckets}
        self._groups = group_seats(seats)
        self._homes.clear()
        for name, homes in before.items():
            if self.homes(name) != homes:
                del self._buckets[name]

    def _minting_from_s(self, account: str) -> float:
        since_s = self._lease.held_since_s + LENT_SPAN_S
        moved_s = self._homes_moved_at_s(account) + SUPERSEDED_SPAN_S
        return max(since_s, moved_s, self._empty_at_s.get(account, since_s))

    def _homes_moved_at_s(self, account: str) -> float:
        """Return when the homes of an account last changed.

        A home of before that doesn't know of the change mints until its tenure
        ends, which witnesses that do know it no longer renew, and its loans end
        after that.
        """
        homes = self.homes(account)
        per_region = self._homes_per_region
        return max(
            (
                move.at_s
                for move in self._moves
                if home_seats(account, move.groups, per_region) != homes
            ),
            default=float("-inf"),
        )

    def _is_refilled(self, account_name: str, elapsed_s: float) -> bool:
        account = self._catalogue.accounts.get(account_name)
        if account is None:
            return True
        return elapsed_s * account.rate_per_s >= account.burst * (1 + MAX_CLOCK_DRIFT)

    def _settle_buckets(self, catalogue: Catalogue, now_s: float) -> None:
        before = self._catalogue.accounts
        changed = [
            a for a in catalogue.accounts.values() if before.get(a.name) is not a
        ]
        for account in changed:
            old = before.get(account.name)
            if old is None:
                self._empty_at_s[account.name] = now_s + LENT_SPAN_S
            elif old != account:
                self._change_bucket(old, account, now_s)
        for name in before.keys() - catalogue.accounts.keys():
            self._buckets.pop(name, None)

    def _change_bucket(
        self, old: ClientAccount, account: ClientAccount, now_s: float
    ) -> None:
        bucket = self.bucket(old, now_s)
        if bucket is not None:
            bucket.change(*self.part(account), now_s)
