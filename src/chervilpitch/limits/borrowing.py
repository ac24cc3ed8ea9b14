"""Tokens of one client account that an instance has borrowed and needs."""

from math import exp
from typing import NamedTuple

from .messages import Closing

__all__ = ["BORROWED_SPAN_S", "BorrowedLoan", "Borrowing"]

BORROWED_SPAN_S = 2.0
"""How long a receiver may spend a loan, from the sending of its request."""

DEMAND_MEMORY_S = 1.0
PEAK_WINDOW_S = 0.3
PEAK_MEMORY_S = 30.0
USUAL_MEMORY_S = 30.0
FAIR_FACTOR = 1.5
SMALLEST_SUPPLY = 1.0
SUPPLY_S = 0.3
QUIET_INTERVAL_S = 0.4
RENEWAL_S = 0.6
SUPPLY_TOKENS = 1.0
SMALLEST_PEAK = 0.5
IDLE_DEMAND_PER_S = 0.05
SMALLEST_TOKENS = 1e-6
SMALLEST_ASKED = 1.0


class BorrowedLoan(NamedTuple):
    """A loan that its receiver may spend.

    Parameters
    ----------
    giver : str
        Name of the instance that lent the tokens.
    number : int
        Number of the request that it answered.
    until_s : float
        Monotonic time in seconds after which nothing may be spent from it.
    tokens : float
        Tokens not yet spent.
    """

    giver: str
    number: int
    until_s: float
    tokens: float


class Borrowing:
    """Loans and demand of one client account on one instance.

    Parameters
    ----------
    account : str
        Name of the client account.
    now_s : float
        Monotonic time in seconds.

    Examples
    --------
    >>> borrowing = Borrowing("fitters", 0.0)
    >>> borrowing.add(BorrowedLoan("n2", 1, 2.0, 3.0))
    >>> borrowing.spend(1.0)
    0.0
    >>> borrowing.tokens(1.0), borrowing.tokens(2.0)
    (2.0, 0.0)
    """

    def __init__(self, account: str, now_s: float):
        self._account = account
        self._loans: list[BorrowedLoan] = []
        self._closings: list[tuple[str, Closing]] = []
        self._asked: dict[int, float] = {}
        self._attempted = 0.0
        self._unserved = 0.0
        self._demand_per_s = 0.0
        self._recent = 0.0
        self._usual_per_s = 0.0
        self._target = 0.0
        self._peak = 0.0
        self._measured_at_s = now_s
        self._wide_until_s = float("-inf")
        self._due_at_s = now_s

    @property
    def account(self) -> str:
        """Name of the client account."""
        return self._account

    @property
    def demand_per_s(self) -> float:
        """Estimated tokens per second that callers ask of this instance."""
        return self._demand_per_s

    @property
    def due_at_s(self) -> float:
        """Monotonic time in seconds at which it needs attention."""
        return self._due_at_s

    def tokens(self, now_s: float) -> float:
        """Return the borrowed tokens that may be spent now."""
        self._expire(now_s)
        return sum((loan.tokens for loan in self._loans), 0.0)

    def spend(self, tokens: float) -> float:
        """Spend from the loans that end soonest; return what they lacked."""
        while self._loans and tokens > 0:
            loan = self._loans[0]
            used = min(tokens, loan.tokens)
            tokens -= used
            self._loans[0] = loan._replace(tokens=loan.tokens - used)
            if self._loans[0].tokens <= SMALLEST_TOKENS:
                self._close(self._loans.pop(0))
        return tokens

    def add(self, loan: BorrowedLoan) -> None:
        """Add a loan."""
        self._loans.append(loan)
        self._loans.sort(key=lambda each: each.until_s)

    def attempt(self, cost: float) -> None:
        """Count a request of a caller towards the demand."""
        self._attempted += cost
        self._due_at_s = float("-inf")

    def miss(self, cost: float) -> None:
        """Count a request that found too few tokens."""
        self._unserved += cost
        self._due_at_s = float("-inf")

    def measure(self, now_s: float) -> None:
        """Bring the estimated demand up to date."""
        self._due_at_s = now_s + QUIET_INTERVAL_S
        elapsed_s = now_s - self._measured_at_s
        if elapsed_s <= 0:
            return
        kept = exp(-elapsed_s / DEMAND_MEMORY_S)
        fresh_per_s = self._attempted / elapsed_s
        self._demand_per_s = kept * self._demand_per_s + (1 - kept) * fresh_per_s
        kept = exp(-elapsed_s / USUAL_MEMORY_S)
        self._usual_per_s = kept * self._usual_per_s + (1 - kept) * fresh_per_s
        self._recent = self._recent * exp(-elapsed_s / PEAK_WINDOW_S) + self._attempted
        self._peak = max(self._peak * exp(-elapsed_s / PEAK_MEMORY_S), self._recent)
        self._attempted = 0.0
        self._measured_at_s = now_s

    def need(self, on_hand: float, rate_per_s: float, burst: float) -> float:
        """Return how many tokens to ask for now.

        Parameters
        ----------
        on_hand : float
            Tokens that this instance can spend now.
        rate_per_s, burst : float
            Rate and burst of the account over the whole fleet.

        Returns
        -------
        float
            Tokens wanted beyond those on hand and those asked for.

        Notes
        -----
        After a refusal a whole token is asked for at least. The sum of a fraction
        at hand and the rest of a token may be rounded to less than one, and the
        account would be refused until its loans end.
        """
        self._target = self._supply(rate_per_s, burst)
        target = min(max(self._target, self._unserved), burst)
        lacking = target - on_hand - sum(self._asked.values())
        urgent = self._unserved > 0
        self._unserved = 0.0
        if lacking <= SMALLEST_TOKENS or (not urgent and lacking < target / 4):
            return 0.0
        return max(lacking, SMALLEST_ASKED) if urgent else lacking

    def ask(self, number: int, tokens: float) -> None:
        """Note that a request for tokens is on its way."""
        self._asked[number] = tokens

    def answered(self, number: int, tokens: float, now_s: float) -> None:
        """Note that a request was answered with so many tokens, or never."""
        wanted = self._asked.pop(number, 0.0)
        if tokens < wanted - SMALLEST_TOKENS:
            self._wide_until_s = now_s + BORROWED_SPAN_S
            self._due_at_s = now_s

    def is_wide(self, now_s: float) -> bool:
        """Return whether the homes nearby have lately had too little."""
        return now_s < self._wide_until_s

    def is_idle(self, now_s: float) -> bool:
        """Return whether nothing is left to do for the account."""
        self._expire(now_s)
        quiet = self._demand_per_s + self._attempted < IDLE_DEMAND_PER_S
        quiet = quiet and self._peak < SMALLEST_PEAK
        return quiet and not (self._loans or self._asked or self._closings)

    def hand_back(self, until_s: float = float("inf")) -> None:
        """Close the loans that end by a time and hand their tokens back."""
        while self._loans and self._loans[0].until_s <= until_s:
            self._close(self._loans.pop(0))

    def renew(self, now_s: float) -> None:
        """Hand back the loans that end soon, so that no token is lost."""
        self._expire(now_s)
        self.hand_back(now_s + RENEWAL_S)
        if not (self._target or self._unserved or self._asked):
            self.hand_back()

    def take_closings(self) -> list[tuple[str, Closing]]:
        """Return the closings not yet sent, each with the giver's name."""
        closings, self._closings = self._closings, []
        return closings

    def _supply(self, rate_per_s: float, burst: float) -> float:
        """Return the tokens to keep at hand: none where too few for all users."""
        supply = min(self._demand_per_s, rate_per_s) * SUPPLY_S
        if self._demand_per_s > IDLE_DEMAND_PER_S:
            supply += SUPPLY_TOKENS
        share = max(self._usual_per_s, self._demand_per_s / 3) / rate_per_s
        fair = burst * min(1.0, FAIR_FACTOR * share)
        return max(supply, self._peak) if fair >= SMALLEST_SUPPLY else 0.0

    def _close(self, loan: BorrowedLoan) -> None:
        unspent = loan.tokens if loan.tokens > SMALLEST_TOKENS else 0.0
        closing = Closing(loan.number, self._account, unspent)
        self._closings.append((loan.giver, closing))

    def _expire(self, now_s: float) -> None:
        while self._loans and self._loans[0].until_s <= now_s:
            self._loans.pop(0)
