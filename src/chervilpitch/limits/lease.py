"""Exclusive lease of a seat, granted by a quorum of witnesses for a bounded time."""

from collections.abc import Mapping
from typing import NamedTuple

from chervilpitch.model import region_of

from .bucket import MAX_CLOCK_DRIFT
from .messages import Claim, Promise
from .witnesses import quorum_of, witness_seats

__all__ = ["LEASE_DURATION_S", "PROMISE_DURATION_S", "SeatPromise", "SeatLease"]

LEASE_DURATION_S = 4.0
"""How long a claimant may rely on a promise, counted from sending the claim."""

PROMISE_DURATION_S = LEASE_DURATION_S * (1 + 3 * MAX_CLOCK_DRIFT)
"""How long a witness keeps a promise, counted from receiving the claim.

The margin covers the drift of both clocks, so a promise never expires at the
witness before it expires at the claimant.
"""

CLAIM_INTERVAL_S = 1.0
BOOTSTRAP_WINDOW_S = 10.0
BOOTSTRAP_SHARE = 0.75
PROBE_ROUNDS = 6
MIN_PROBES_PER_ROUND = 16


class SeatPromise(NamedTuple):
    """A promise that this instance has made as a witness.

    Parameters
    ----------
    incarnation : int
        Incarnation of the claimant.
    expires_at_s : float
        Monotonic time in seconds at which the promise expires.
    """

    incarnation: int
    expires_at_s: float


class UnheldSeat(NamedTuple):
    """A seat whose instance has reported that it holds no lease.

    Parameters
    ----------
    has_held_seat : bool
        Whether that incarnation has held the seat before.
    expires_at_s : float
        Monotonic time in seconds at which the report expires.
    """

    has_held_seat: bool
    expires_at_s: float


class SeatLease:
    """Lease of this instance's seat and its promises for other seats.

    Parameters
    ----------
    incarnation : int
        Incarnation of this process.
    seat : int or None
        Seat that it claims; None claims nothing.

    Notes
    -----
    A witness makes promises only after it has been eligible for a whole
    `PROMISE_DURATION_S`. It is eligible while it holds its own seat, or while it
    bootstraps the leases of its region because more than `BOOTSTRAP_SHARE` of
    the region's seats have recently reported that they hold no lease. By
    induction over the first time at which a seat has two holders, such a seat
    would need a witness seat that had two holders earlier.
    """

    def __init__(self, incarnation: int, seat: int | None):
        self._incarnation = incarnation
        self._seat = seat
        self._seats: Mapping[int, str] = {}
        self._region: list[int] = []
        self._witnesses: tuple[int, ...] = ()
        self._promised_until_s: dict[int, float] = {}
        self._promises: dict[int, SeatPromise] = {}
        self._claim_sent_at_s: dict[int, float] = {}
        self._next_number = 1
        self._next_claims_at_s = float("-inf")
        self._probe_offset = 0
        self._unheld_seats: dict[int, UnheldSeat] = {}
        self._has_held_seat = False
        self._claimed_by_other_until_s = float("-inf")
        self._held_since_s: float | None = None
        self._held_until_s = float("-inf")
        self._eligible_since_s: float | None = None
        self._refreshed_at_s = float("-inf")

    @property
    def seat(self) -> int | None:
        """Seat that this instance claims."""
        return self._seat

    @property
    def held_since_s(self) -> float | None:
        """Monotonic time in seconds at which the current lease began."""
        return self._held_since_s

    @property
    def held_until_s(self) -> float:
        """Monotonic time in seconds at which the lease ends unless renewed."""
        return self._held_until_s

    def holds(self, now_s: float) -> bool:
        """Return whether the seat is held now; check it before every use."""
        if self._held_since_s is not None and now_s >= self._held_until_s:
            self._held_since_s = None
            self._eligible_since_s = None
        return self._held_since_s is not None

    def update_seats(self, seats: Mapping[int, str]) -> None:
        """Apply the declared seats; release a seat that is no longer declared."""
        if seats == self._seats:
            return
        self._seats = dict(seats)
        is_declared = self._seat is not None and self._seat in seats
        region = region_of(seats[self._seat]) if is_declared else None
        self._region = [s for s, d in sorted(seats.items()) if region_of(d) == region]
        witnesses = witness_seats(self._seat, seats) if is_declared else ()
        if witnesses != self._witnesses or not is_declared:
            self._witnesses = witnesses
            self._promised_until_s.clear()
            self._claim_sent_at_s.clear()
            self.release()

    def release(self) -> None:
        """End the lease at once."""
        self._held_since_s = None
        self._held_until_s = float("-inf")
        self._eligible_since_s = None
        self._promised_until_s.clear()
        self._claim_sent_at_s.clear()

    def release_permanently(self) -> tuple[int, ...]:
        """End the lease, claim no seat any more and return the witness seats."""
        witnesses = self._witnesses
        self.release()
        self._seat = None
        self._witnesses = ()
        return witnesses

    def due_claim_receivers(self, now_s: float) -> list[int]:
        """Return the seats whose instances are to receive a claim now."""
        self._refresh(now_s)
        if now_s < self._next_claims_at_s or self._seat not in self._seats:
            return []
        self._next_claims_at_s = now_s + CLAIM_INTERVAL_S
        self._remove_expired(now_s)
        receivers = list(self._witnesses)
        if not self.holds(now_s):
            receivers += [s for s in self._next_probes() if s not in receivers]
        return receivers

    def new_claim(self, now_s: float) -> Claim:
        """Return a claim with a new number, to be sent now to one receiver."""
        number = self._next_number
        self._next_number += 1
        self._claim_sent_at_s[number] = now_s
        return Claim(self._seat, number)

    def answer_claim(self, claim: Claim, incarnation: int, now_s: float) -> Promise:
        """Return this witness's answer to a claim."""
        self._refresh(now_s)
        promise = self._promises.get(claim.seat)
        is_valid = promise is not None and now_s < promise.expires_at_s
        taken = is_valid and promise.incarnation != incarnation
        is_grantable = claim.seat != self._seat and claim.seat in self._seats
        granted = not taken and is_grantable and self._can_promise(now_s)
        if granted:
            until_s = now_s + PROMISE_DURATION_S
            self._promises[claim.seat] = SeatPromise(incarnation, until_s)
        seat = -1 if self._seat is None else self._seat
        tenured = self.holds(now_s)
        veteran = self._has_held_seat
        return Promise(seat, claim.number, granted, taken, tenured, veteran)

    def record_promise(self, promise: Promise, now_s: float) -> None:
        """Apply the answer to a claim of this instance."""
        sent_at_s = self._claim_sent_at_s.pop(promise.number, None)
        if sent_at_s is None:
            return
        if not promise.tenured:
            until_s = now_s + BOOTSTRAP_WINDOW_S
            unheld = UnheldSeat(promise.veteran, until_s)
            self._unheld_seats[promise.witness_seat] = unheld
        if promise.witness_seat not in self._witnesses:
            return
        if promise.taken:
            self._claimed_by_other_until_s = now_s + PROMISE_DURATION_S
        if promise.granted:
            previous_s = self._promised_until_s.get(promise.witness_seat, sent_at_s)
            until_s = max(previous_s, sent_at_s + LEASE_DURATION_S)
            self._promised_until_s[promise.witness_seat] = until_s
        self._refresh(now_s)

    def withdraw_promise(self, seat: int, incarnation: int) -> None:
        """Remove the promise for a seat that its claimant has released."""
        promise = self._promises.get(seat)
        if promise is not None and promise.incarnation == incarnation:
            del self._promises[seat]

    def _remove_expired(self, now_s: float) -> None:
        for number, sent_at_s in list(self._claim_sent_at_s.items()):
            if now_s - sent_at_s >= LEASE_DURATION_S:
                del self._claim_sent_at_s[number]
        for seat, promise in list(self._promises.items()):
            if promise.expires_at_s <= now_s:
                del self._promises[seat]

    def _next_probes(self) -> list[int]:
        """Return the next seats of the region to which a probing claim is sent.

        The answers show which seats of the region are held, also when their
        instances are no witnesses of this seat.
        """
        others = [s for s in self._region if s != self._seat]
        start = self._probe_offset % len(others) if others else 0
        count = max(MIN_PROBES_PER_ROUND, len(others) // PROBE_ROUNDS + 1)
        self._probe_offset += count
        return (others[start:] + others[:start])[:count]

    def _can_bootstrap(self, now_s: float) -> bool:
        """Return whether enough seats of the region are known to be unheld.

        While some seats have not reported this, only the seats that were held
        before are counted, if there are any. The result is False while a witness
        has promised this seat to another incarnation.
        """
        if self._seat not in self._seats or now_s < self._claimed_by_other_until_s:
            return False
        if len(self._unheld_seats) + 1 <= BOOTSTRAP_SHARE * len(self._region):
            return False
        seats = self._region
        former_holders = int(self._has_held_seat)
        unheld_count = 1
        for seat in seats:
            unheld = self._unheld_seats.get(seat)
            if seat != self._seat and unheld and unheld.expires_at_s > now_s:
                unheld_count += 1
                former_holders += unheld.has_held_seat
        if former_holders and unheld_count < len(seats):
            unheld_count = former_holders
        return unheld_count > BOOTSTRAP_SHARE * len(seats)

    def _refresh(self, now_s: float) -> None:
        if now_s - self._refreshed_at_s >= LEASE_DURATION_S:
            self._eligible_since_s = None
        self._refreshed_at_s = now_s
        self._renew_from_promises(now_s)
        if not self.holds(now_s) and not self._can_bootstrap(now_s):
            self._eligible_since_s = None
        elif self._eligible_since_s is None:
            self._eligible_since_s = now_s
        if not self._witnesses and self._can_promise(now_s):
            self._hold_until(float("inf"), now_s)

    def _renew_from_promises(self, now_s: float) -> None:
        needed = quorum_of(self._witnesses)
        expiries = sorted(self._promised_until_s.values(), reverse=True)
        if needed and len(expiries) >= needed and expiries[needed - 1] > now_s:
            self._hold_until(expiries[needed - 1], now_s)

    def _hold_until(self, until_s: float, now_s: float) -> None:
        if not self.holds(now_s):
            self._held_since_s = now_s
            self._has_held_seat = True
        self._held_until_s = until_s

    def _can_promise(self, now_s: float) -> bool:
        since_s = self._eligible_since_s
        return since_s is not None and now_s - since_s >= PROMISE_DURATION_S
