"""A token bucket that sets room aside for the tokens it has lent."""

from collections.abc import Hashable

__all__ = ["MAX_CLOCK_DRIFT", "Bucket"]

MAX_CLOCK_DRIFT = 0.001
"""Greatest error of a monotonic clock, in seconds per second."""


class Bucket:
    """Tokens minted by one holder for one client account.

    The level and all tokens lent never exceed the burst together, so tokens
    that come back by expiry are minted anew and never counted twice.

    Parameters
    ----------
    rate_per_s : float
        Tokens per second of true time.
    burst : float
        Greatest number of tokens in the bucket and on loan together.
    since_s : float
        Monotonic time in seconds at which the bucket was empty.

    Notes
    -----
    Minting is slowed by `MAX_CLOCK_DRIFT`, so a clock that runs fast within
    the bound mints no more than the rate in true time.

    Examples
    --------
    >>> bucket = Bucket(10.0, 5.0, 0.0)
    >>> bucket.level(60.0)
    5.0
    >>> bucket.lend("loan 1", 2.0, 62.0, 60.0)
    >>> bucket.level(61.0)
    3.0
    >>> bucket.close("loan 1", 1.0, 61.0)
    >>> bucket.level(61.0)
    4.0
    """

    __slots__ = ("_burst", "_lent", "_level", "_loans", "_minted_at_s", "_rate_per_s")

    def __init__(self, rate_per_s: float, burst: float, since_s: float):
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = 0.0
        self._minted_at_s = since_s
        self._loans: dict[Hashable, tuple[float, float]] = {}
        self._lent = 0.0

    @property
    def rate_per_s(self):
        """Tokens per second of true time."""
        return self._rate_per_s

    @property
    def burst(self):
        """Greatest number of tokens in the bucket and on loan together."""
        return self._burst

    def lent(self, now_s: float) -> float:
        """Return the tokens whose room is set aside."""
        self._advance(now_s)
        return self._lent

    def level(self, now_s: float) -> float:
        """Return the tokens that may be spent or lent now."""
        self._advance(now_s)
        return self._level

    def has_lent(self, loan: Hashable) -> bool:
        """Return whether the room of a loan is still set aside."""
        return loan in self._loans

    def take(self, tokens: float, now_s: float) -> bool:
        """Take tokens out when there are enough; return whether there were."""
        self._advance(now_s)
        if tokens > self._level:
            return False
        self._level -= tokens
        return True

    def lend(
        self, loan: Hashable, tokens: float, room_back_at_s: float, now_s: float
    ) -> None:
        """Take tokens out and keep their room until a deadline.

        Parameters
        ----------
        loan : hashable
            Identifies the loan; one that is still open is left as it is.
        tokens : float
            At most the level.
        room_back_at_s : float
            Monotonic time in seconds at which the room may be filled again, no
            earlier than that of the loan before.
        now_s : float
            Monotonic time in seconds.
        """
        self._advance(now_s)
        if loan in self._loans:
            return
        self._level -= tokens
        self._lent += tokens
        self._loans[loan] = (room_back_at_s, tokens)

    def close(self, loan: Hashable, unspent: float, now_s: float) -> None:
        """Take back the room of a loan and the tokens not spent from it.

        Parameters
        ----------
        loan : hashable
            Identifies the loan; one that is not open is ignored.
        unspent : float
            Tokens of the loan that its receiver has given up unspent.
        now_s : float
            Monotonic time in seconds.
        """
        self._advance(now_s)
        _, tokens = self._loans.pop(loan, (now_s, 0.0))
        self._settle(tokens)
        self._level += min(max(unspent, 0.0), tokens)

    def change(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Follow a changed rate and burst; the level is clipped, never raised."""
        self._advance(now_s)
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = max(0.0, min(self._level, burst - self._lent))

    def is_full(self, now_s: float) -> bool:
        """Return whether the level is the whole burst."""
        self._advance(now_s)
        return not self._loans and self._level >= self._burst

    def _advance(self, now_s: float) -> None:
        while self._loans:
            loan, (due_at_s, tokens) = next(iter(self._loans.items()))
            if due_at_s > now_s:
                break
            self._mint(due_at_s)
            del self._loans[loan]
            self._settle(tokens)
        self._mint(now_s)

    def _settle(self, tokens: float) -> None:
        self._lent = self._lent - tokens if self._loans else 0.0

    def _mint(self, now_s: float) -> None:
        elapsed_s = now_s - self._minted_at_s
        if elapsed_s <= 0:
            return
        self._minted_at_s = now_s
        minted = elapsed_s * self._rate_per_s / (1 + MAX_CLOCK_DRIFT)
        room = max(0.0, self._burst - self._lent)
        self._level = max(self._level, min(self._level + minted, room))
