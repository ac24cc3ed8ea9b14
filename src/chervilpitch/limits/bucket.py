"""A token bucket that reserves capacity for the tokens it has lent."""

from collections.abc import Hashable

__all__ = ["MAX_CLOCK_DRIFT", "Bucket"]

MAX_CLOCK_DRIFT = 0.001
"""Greatest error of a monotonic clock, in seconds per second."""


class Bucket:
    """Token bucket of one home instance for one client account.

    The level and the tokens lent together never exceed the burst. The tokens of
    an expired loan are earned again by refilling, so they never count twice.

    Parameters
    ----------
    rate_per_s : float
        Refill rate in tokens per second of true time.
    burst : float
        Maximum number of tokens in the bucket and on loan together.
    empty_at_s : float
        Monotonic time in seconds at which the bucket was empty.

    Notes
    -----
    Refilling is slowed by `MAX_CLOCK_DRIFT`, so that an instance whose clock runs
    fast within this bound adds no more than the rate in true time.

    Examples
    --------
    >>> bucket = Bucket(10.0, 5.0, 0.0)
    >>> bucket.level(60.0)
    5.0
    >>> bucket.lend("loan 1", 2.0, 62.0, 60.0)
    >>> bucket.level(61.0)
    3.0
    >>> bucket.close_loan("loan 1", 1.0, 61.0)
    >>> bucket.level(61.0)
    4.0
    """

    __slots__ = ("_burst", "_lent", "_level", "_loans", "_refilled_at_s", "_rate_per_s")

    def __init__(self, rate_per_s: float, burst: float, empty_at_s: float):
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = 0.0
        self._refilled_at_s = empty_at_s
        self._loans: dict[Hashable, tuple[float, float]] = {}
        self._lent = 0.0

    @property
    def rate_per_s(self):
        """Refill rate in tokens per second of true time."""
        return self._rate_per_s

    @property
    def burst(self):
        """Maximum number of tokens in the bucket and on loan together."""
        return self._burst

    def lent(self, now_s: float) -> float:
        """Return the tokens on loan, for which capacity is reserved."""
        self._advance(now_s)
        return self._lent

    def level(self, now_s: float) -> float:
        """Return the tokens that may be spent or lent now."""
        self._advance(now_s)
        return self._level

    def has_open_loan(self, loan: Hashable) -> bool:
        """Return whether capacity is still reserved for a loan."""
        return loan in self._loans

    def try_spend(self, tokens: float, now_s: float) -> bool:
        """Spend tokens if there are enough; return whether they were spent."""
        self._advance(now_s)
        if tokens > self._level:
            return False
        self._level -= tokens
        return True

    def lend(
        self, loan: Hashable, tokens: float, reserved_until_s: float, now_s: float
    ) -> None:
        """Lend tokens and reserve their capacity until a deadline.

        Parameters
        ----------
        loan : hashable
            Identifies the loan; a loan that is already open is left unchanged.
        tokens : float
            Number of tokens, at most the level.
        reserved_until_s : float
            Monotonic time in seconds at which the capacity may be refilled, no
            earlier than that of the previous loan.
        now_s : float
            Monotonic time in seconds.
        """
        self._advance(now_s)
        if loan in self._loans:
            return
        self._level -= tokens
        self._lent += tokens
        self._loans[loan] = (reserved_until_s, tokens)

    def close_loan(self, loan: Hashable, unspent: float, now_s: float) -> None:
        """Release the capacity reserved for a loan and take back unspent tokens.

        Parameters
        ----------
        loan : hashable
            Identifies the loan; a loan that is not open is ignored.
        unspent : float
            Tokens of the loan that its borrower returns.
        now_s : float
            Monotonic time in seconds.
        """
        self._advance(now_s)
        _, tokens = self._loans.pop(loan, (now_s, 0.0))
        self._release_reserved(tokens)
        self._level += min(max(unspent, 0.0), tokens)

    def set_limits(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Set a new rate and burst; the level may be lowered, never raised."""
        self._advance(now_s)
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = max(0.0, min(self._level, burst - self._lent))

    def is_full(self, now_s: float) -> bool:
        """Return whether the level equals the burst and nothing is on loan."""
        self._advance(now_s)
        return not self._loans and self._level >= self._burst

    def _advance(self, now_s: float) -> None:
        while self._loans:
            loan, (reserved_until_s, tokens) = next(iter(self._loans.items()))
            if reserved_until_s > now_s:
                break
            self._refill(reserved_until_s)
            del self._loans[loan]
            self._release_reserved(tokens)
        self._refill(now_s)

    def _release_reserved(self, tokens: float) -> None:
        self._lent = self._lent - tokens if self._loans else 0.0

    def _refill(self, now_s: float) -> None:
        elapsed_s = now_s - self._refilled_at_s
        if elapsed_s <= 0:
            return
        self._refilled_at_s = now_s
        earned = elapsed_s * self._rate_per_s / (1 + MAX_CLOCK_DRIFT)
        capacity = max(0.0, self._burst - self._lent)
        self._level = max(self._level, min(self._level + earned, capacity))
