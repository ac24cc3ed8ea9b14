"""Exclusive tenure of a seat, promised by witnesses for a bounded term."""

from collections.abc import Mapping
from typing import NamedTuple

from chervilpitch.model import region_of

from .bucket import MAX_CLOCK_DRIFT
from .messages import Claim, Promise
from .witnesses import quorum_of, witness_seats

__all__ = ["TERM_S", "WITNESS_TERM_S", "SeatPromise", "SeatLease"]

TERM_S = 4.0
"""How long a claimant may rely on a promise, from the sending of its claim."""

WITNESS_TERM_S = TERM_S * (1 + 3 * MAX_CLOCK_DRIFT)
"""How long a witness keeps a promise, from the receipt of the claim."""

CLAIM_INTERVAL_S = 1.0
FOUNDING_WINDOW_S = 10.0
FOUNDING_SHARE = 0.75
PROBE_ROUNDS = 6
MIN_PROBES_PER_ROUND = 16


class SeatPromise(NamedTuple):
    """A promise that a witness has made.

    Parameters
    ----------
    incarnation : int
        Incarnation of the claimant.
    until_s : float
        Monotonic time in seconds at which the promise ends.
    """

    incarnation: int
    until_s: float


class UntenuredSeat(NamedTuple):
    """A seat whose occupant has said that it does not hold it.

    Parameters
    ----------
    is_veteran : bool
        Whether that incarnation has held it before.
    until_s : float
        Monotonic time in seconds until which the statement counts.
    """

    is_veteran: bool
    until_s: float


class SeatLease:
    """What one instance knows of its own seat and has promised for others.

    Parameters
    ----------
    incarnation : int
        Incarnation of this process.
    seat : int or None
        Seat that it claims; None claims nothing.

    Notes
    -----
    A witness promises only while it has had standing for a whole term: it
    holds its own seat, or it founds the tenure of its region because more than
    `FOUNDING_SHARE` of the region's seats have just now had no tenure. By
    induction over the first moment of double tenure, two holders of a seat
    would need a witness seat with two holders before them.
    """

    def __init__(self, incarnation: int, seat: int | None):
        self._incarnation = incarnation
        self._seat = seat
        self._seats: Mapping[int, str] = {}
        self._region: list[int] = []
        self._witnesses: tuple[int, ...] = ()
        self._promised_until_s: dict[int, float] = {}
        self._promises: dict[int, SeatPromise] = {}
        self._claims: dict[int, float] = {}
        self._next_number = 1
        self._next_claims_at_s = float("-inf")
        self._probe_from = 0
        self._untenured: dict[int, UntenuredSeat] = {}
        self._is_veteran = False
        self._taken_until_s = float("-inf")
        self._held_since_s: float | None = None
        self._held_until_s = float("-inf")
        self._standing_since_s: float | None = None
        self._refreshed_at_s = float("-inf")

    @property
    def seat(self) -> int | None:
        """Seat that this instance claims."""
        return self._seat

    @property
    def held_since_s(self) -> float | None:
        """Start of the present tenure in monotonic seconds."""
        return self._held_since_s

    @property
    def held_until_s(self) -> float:
        """End of the present tenure in monotonic seconds unless renewed."""
        return self._held_until_s

    def holds(self, now_s: float) -> bool:
        """Return whether the seat is held now; call it before every use."""
        if self._held_since_s is not None and now_s >= self._held_until_s:
            self._held_since_s = None
            self._standing_since_s = None
        return self._held_since_s is not None

    def follow_seats(self, seats: Mapping[int, str]) -> None:
        """Follow the declared seats; a seat no longer declared is given up."""
        if seats == self._seats:
            return
        self._seats = dict(seats)
        known = self._seat is not None and self._seat in seats
        region = region_of(seats[self._seat]) if known else None
        self._region = [s for s, d in sorted(seats.items()) if region_of(d) == region]
        witnesses = witness_seats(self._seat, seats) if known else ()
        if witnesses != self._witnesses or not known:
            self._witnesses = witnesses
            self._promised_until_s.clear()
            self._claims.clear()
            self.give_up()

    def give_up(self) -> None:
        """End the tenure at once."""
        self._held_since_s = None
        self._held_until_s = float("-inf")
        self._standing_since_s = None
        self._promised_until_s.clear()
        self._claims.clear()

    def give_up_for_good(self) -> tuple[int, ...]:
        """End the tenure, claim no seat any more and return its witnesses."""
        witnesses = self._witnesses
        self.give_up()
        self._seat = None
        self._witnesses = ()
        return witnesses

    def claims_due(self, now_s: float) -> list[int]:
        """Return the seats whose holders must get a claim now."""
        self._refresh(now_s)
        if now_s < self._next_claims_at_s or self._seat not in self._seats:
            return []
        self._next_claims_at_s = now_s + CLAIM_INTERVAL_S
        self._drop_old_claims(now_s)
        receivers = list(self._witnesses)
        if not self.holds(now_s):
            receivers += [s for s in self._next_probes() if s not in receivers]
        return receivers

    def claim(self, now_s: float) -> Claim:
        """Return a numbered claim that is sent now to one receiver."""
        number = self._next_number
        self._next_number += 1
        self._claims[number] = now_s
        return Claim(self._seat, number)

    def answer(self, claim: Claim, incarnation: int, now_s: float) -> Promise:
        """Answer a claim as a witness."""
        self._refresh(now_s)
        made = self._promises.get(claim.seat)
        valid = made is not None and now_s < made.until_s
        taken = valid and made.incarnation != incarnation
        grantable = claim.seat != self._seat and claim.seat in self._seats
        granted = not taken and grantable and self._may_promise(now_s)
        if granted:
            until_s = now_s + WITNESS_TERM_S
            self._promises[claim.seat] = SeatPromise(incarnation, until_s)
        seat = -1 if self._seat is None else self._seat
        tenured = self.holds(now_s)
        veteran = self._is_veteran
        return Promise(seat, claim.number, granted, taken, tenured, veteran)

    def take(self, promise: Promise, now_s: float) -> None:
        """Count the answer to a claim of ours."""
        sent_at_s = self._claims.pop(promise.number, None)
        if sent_at_s is None:
            return
        if not promise.tenured:
            until_s = now_s + FOUNDING_WINDOW_S
            heard = UntenuredSeat(promise.veteran, until_s)
            self._untenured[promise.witness_seat] = heard
        if promise.witness_seat not in self._witnesses:
            return
        if promise.taken:
            self._taken_until_s = now_s + WITNESS_TERM_S
        if promise.granted:
            before_s = self._promised_until_s.get(promise.witness_seat, sent_at_s)
            until_s = max(before_s, sent_at_s + TERM_S)
            self._promised_until_s[promise.witness_seat] = until_s
        self._refresh(now_s)

    def released(self, seat: int, incarnation: int) -> None:
        """Forget a promise that its holder gives back."""
        made = self._promises.get(seat)
        if made is not None and made.incarnation == incarnation:
            del self._promises[seat]

    def _drop_old_claims(self, now_s: float) -> None:
        for number, sent_at_s in list(self._claims.items()):
            if now_s - sent_at_s >= TERM_S:
                del self._claims[number]
        for seat, made in list(self._promises.items()):
            if made.until_s <= now_s:
                del self._promises[seat]

    def _next_probes(self) -> list[int]:
        others = [s for s in self._region if s != self._seat]
        start = self._probe_from % len(others) if others else 0
        count = max(MIN_PROBES_PER_ROUND, len(others) // PROBE_ROUNDS + 1)
        self._probe_from += count
        return (others[start:] + others[:start])[:count]

    def _is_founding(self, now_s: float) -> bool:
        if self._seat not in self._seats or now_s < self._taken_until_s:
            return False
        if len(self._untenured) + 1 <= FOUNDING_SHARE * len(self._region):
            return False
        seats = self._region
        veterans = int(self._is_veteran)
        untenured = 1
        for seat in seats:
            heard = self._untenured.get(seat)
            if seat != self._seat and heard and heard.until_s > now_s:
                untenured += 1
                veterans += heard.is_veteran
        if veterans and untenured < len(seats):
            untenured = veterans
        return untenured > FOUNDING_SHARE * len(seats)

    def _refresh(self, now_s: float) -> None:
        if now_s - self._refreshed_at_s >= TERM_S:
            self._standing_since_s = None
        self._refreshed_at_s = now_s
        self._renew(now_s)
        if not self.holds(now_s) and not self._is_founding(now_s):
            self._standing_since_s = None
        elif self._standing_since_s is None:
            self._standing_since_s = now_s
        if not self._witnesses and self._may_promise(now_s):
            self._hold_until(float("inf"), now_s)

    def _renew(self, now_s: float) -> None:
        needed = quorum_of(self._witnesses)
        ends = sorted(self._promised_until_s.values(), reverse=True)
        if needed and len(ends) >= needed and ends[needed - 1] > now_s:
            self._hold_until(ends[needed - 1], now_s)

    def _hold_until(self, until_s: float, now_s: float) -> None:
        if not self.holds(now_s):
            self._held_since_s = now_s
            self._is_veteran = True
        self._held_until_s = until_s

    def _may_promise(self, now_s: float) -> bool:
        since_s = self._standing_since_s
        return since_s is not None and now_s - since_s >= WITNESS_TERM_S
