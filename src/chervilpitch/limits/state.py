"""Rate limiting state of one instance: seat lease, token buckets and loans."""

from collections.abc import Mapping
from typing import NamedTuple

from chervilpitch.model import EMPTY_CATALOGUE, Catalogue, ClientAccount, Sender

from .borrowing import LOAN_LIFETIME_S, Borrowing
from .bucket import MAX_CLOCK_DRIFT, Bucket
from .homes import HOMES_PER_REGION, SeatGroups, group_seats, home_seats
from .lease import PROMISE_DURATION_S, SeatLease

__all__ = ["LOAN_RESERVATION_S", "LimitState", "PendingRequest"]

LOAN_RESERVATION_S = LOAN_LIFETIME_S * (1 + 3 * MAX_CLOCK_DRIFT)
"""How long a lender reserves the capacity of a loan, from receiving the request.

The margin covers the drift of both clocks, so the borrower's loan has expired
before the lender refills its capacity.
"""

HOME_CHANGE_WAIT_S = PROMISE_DURATION_S + LOAN_RESERVATION_S
"""How long a seat may stay in use after its removal, including its loans."""

AVOIDANCE_S = 1.0
CLEANUP_INTERVAL_S = 1.0
MAX_UNANSWERED_REQUESTS = 3


class PendingRequest(NamedTuple):
    """A token request that may still be answered.

    Parameters
    ----------
    sent_at_s : float
        Monotonic time in seconds at which it was sent.
    lender : str
        Name of the instance that received it.
    wants : mapping of str to float
        Requested tokens, by account.
    is_timed_out : bool
        Whether its tokens no longer count as requested.
    """

    sent_at_s: float
    lender: str
    wants: Mapping[str, float]
    is_timed_out: bool = False


class SeatChange(NamedTuple):
    """A change of the declared seats.

    Parameters
    ----------
    at_s : float
        Monotonic time in seconds at which this instance applied it.
    previous_groups : mapping
        Seats before the change, by region and failure domain.
    """

    at_s: float
    previous_groups: SeatGroups


class LimitState:
    """Seat lease, token buckets and loans of one instance.

    Parameters
    ----------
    own : Sender
        Name and incarnation of this instance.
    seat : int or None
        Seat that it claims; with None it has no buckets and only borrows.
    homes_per_region : int, optional
        Number of home seats of an account in each region, the same on all
        instances.
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
        self._seat_instances: dict[int, tuple[str, ...]] = {}
        self._seat_groups: SeatGroups = {}
        self._seat_changes: list[SeatChange] = []
        self._homes: dict[str, tuple[int, ...]] = {}
        self._buckets: dict[str, Bucket] = {}
        self._buckets_since_s: float | None = None
        self._empty_at_s: dict[str, float] = {}
        self._borrowings: dict[str, Borrowing] = {}
        self._pending: dict[int, PendingRequest] = {}
        self._avoided_until_s: dict[str, float] = {}
        self._unanswered_counts: dict[str, int] = {}
        self._next_number = 1
        self._cleanup_at_s = float("-inf")

    @property
    def own(self) -> Sender:
        """Name and incarnation of this instance."""
        return self._own

    @property
    def lease(self) -> SeatLease:
        """Lease of this instance's seat and its promises for other seats."""
        return self._lease

    @property
    def catalogue(self) -> Catalogue:
        """Catalogue in force."""
        return self._catalogue

    @property
    def borrowings(self) -> Mapping[str, Borrowing]:
        """Loans and demand of the accounts in use on this instance, by account."""
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
        return self._seat_instances.get(seat, ())

    def update_seat_instances(self, seat_instances: dict[int, tuple[str, ...]]) -> None:
        """Set the names of the other instances listed for each seat.

        No instance is avoided any longer after that.
        """
        self._seat_instances = seat_instances
        self._avoided_until_s.clear()
        self._unanswered_counts.clear()

    def homes(self, account: str) -> tuple[int, ...]:
        """Return the home seats of an account."""
        homes = self._homes.get(account)
        if homes is None:
            homes = home_seats(account, self._seat_groups, self._homes_per_region)
            self._homes[account] = homes
        return homes

    def bucket(self, account: ClientAccount, now_s: float) -> Bucket | None:
        """Return this instance's bucket for an account.

        Parameters
        ----------
        account : ClientAccount
            The client account.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        Bucket or None
            None if the seat is not held now or is not a home seat of the account.
        """
        if not self._lease.holds(now_s):
            return None
        if self._buckets_since_s != self._lease.held_since_s:
            self._buckets.clear()
            self._buckets_since_s = self._lease.held_since_s
        bucket = self._buckets.get(account.name)
        if bucket is None and self._lease.seat in self.homes(account.name):
            bucket = Bucket(
                *self.home_limits(account), self._refill_start_s(account.name)
            )
            self._buckets[account.name] = bucket
        return bucket

    def home_limits(self, account: ClientAccount) -> tuple[float, float]:
        """Return the rate and burst of each home bucket of an account."""
        count = len(self.homes(account.name))
        return account.rate_per_s / count, account.burst / count

    def borrowing(self, account: str, now_s: float) -> Borrowing:
        """Return the loans and demand of an account; create them if missing."""
        borrowing = self._borrowings.get(account)
        if borrowing is None:
            borrowing = Borrowing(account, now_s)
            self._borrowings[account] = borrowing
        return borrowing

    def record_timeout(self, name: str, now_s: float) -> None:
        """Record a request timeout; avoid the instance after several in a row."""
        count = self._unanswered_counts.get(name, 0) + 1
        self._unanswered_counts[name] = count
        if count >= MAX_UNANSWERED_REQUESTS:
            self._avoided_until_s[name] = now_s + AVOIDANCE_S

    def record_answer(self, name: str, holds_seat: bool, now_s: float) -> None:
        """Record an answer; avoid the instance for a while if it holds no seat."""
        self._unanswered_counts.pop(name, None)
        self._avoided_until_s.pop(name, None)
        if not holds_seat:
            self._avoided_until_s[name] = now_s + AVOIDANCE_S

    def is_avoided(self, name: str, now_s: float) -> bool:
        """Return whether an instance currently receives no token requests."""
        return now_s < self._avoided_until_s.get(name, now_s)

    def next_request_number(self) -> int:
        """Return a request number that is unique within this incarnation."""
        number = self._next_number
        self._next_number += 1
        return number

    def replace_catalogue(self, catalogue: Catalogue, now_s: float) -> None:
        """Replace the catalogue; the change adds no tokens to any bucket.

        Parameters
        ----------
        catalogue : Catalogue
            The new catalogue.
        now_s : float
            Monotonic time in seconds.
        """
        previous = self._catalogue
        if previous is not EMPTY_CATALOGUE:
            self._update_buckets(catalogue, now_s)
        self._catalogue = catalogue
        if catalogue.seats != previous.seats:
            self._update_seats(catalogue.seats, now_s)
            self._lease.update_seats(catalogue.seats)
        for name in list(self._borrowings):
            if name not in catalogue.accounts:
                del self._borrowings[name]

    def remove_idle(self, now_s: float) -> None:
        """Remove full buckets and idle borrowings; they are recreated on demand."""
        if now_s < self._cleanup_at_s:
            return
        self._cleanup_at_s = now_s + CLEANUP_INTERVAL_S
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

    def _update_seats(self, seats: Mapping[int, str], now_s: float) -> None:
        """Apply the declared seats; keep only buckets whose homes are unchanged."""
        recent = [
            change
            for change in self._seat_changes
            if now_s - change.at_s < HOME_CHANGE_WAIT_S
        ]
        if self._seat_groups:
            recent.append(SeatChange(now_s, self._seat_groups))
        self._seat_changes = recent
        previous_homes = {name: self.homes(name) for name in self._buckets}
        self._seat_groups = group_seats(seats)
        self._homes.clear()
        for name, homes in previous_homes.items():
            if self.homes(name) != homes:
                del self._buckets[name]

    def _refill_start_s(self, account: str) -> float:
        start_s = self._lease.held_since_s + LOAN_RESERVATION_S
        after_change_s = self._homes_changed_at_s(account) + HOME_CHANGE_WAIT_S
        return max(start_s, after_change_s, self._empty_at_s.get(account, start_s))

    def _homes_changed_at_s(self, account: str) -> float:
        """Return the time at which the homes of an account last changed.

        A previous home that does not know of the change uses its bucket until its
        lease ends. Witnesses that know of the change no longer renew the lease.
        Loans of that home expire later still.
        """
        homes = self.homes(account)
        per_region = self._homes_per_region
        return max(
            (
                change.at_s
                for change in self._seat_changes
                if home_seats(account, change.previous_groups, per_region) != homes
            ),
            default=float("-inf"),
        )

    def _is_refilled(self, account_name: str, elapsed_s: float) -> bool:
        account = self._catalogue.accounts.get(account_name)
        if account is None:
            return True
        return elapsed_s * account.rate_per_s >= account.burst * (1 + MAX_CLOCK_DRIFT)

    def _update_buckets(self, catalogue: Catalogue, now_s: float) -> None:
        previous_accounts = self._catalogue.accounts
        changed = [
            new
            for new in catalogue.accounts.values()
            if previous_accounts.get(new.name) is not new
        ]
        for account in changed:
            previous = previous_accounts.get(account.name)
            if previous is None:
                self._empty_at_s[account.name] = now_s + LOAN_RESERVATION_S
            elif previous != account:
                self._update_bucket(previous, account, now_s)
        for name in previous_accounts.keys() - catalogue.accounts.keys():
            self._buckets.pop(name, None)

    def _update_bucket(
        self, previous: ClientAccount, account: ClientAccount, now_s: float
    ) -> None:
        bucket = self.bucket(previous, now_s)
        if bucket is not None:
            bucket.set_limits(*self.home_limits(account), now_s)
