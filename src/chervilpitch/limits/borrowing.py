"""Borrowed tokens and estimated demand of one client account on one instance."""

from math import exp
from typing import NamedTuple

from .messages import Closing

__all__ = ["LOAN_LIFETIME_S", "BorrowedLoan", "Borrowing"]

LOAN_LIFETIME_S = 2.0
"""How long a borrower may spend a loan, counted from sending its request."""

# Time constants of the exponentially weighted estimates of demand.
DEMAND_TIME_CONSTANT_S = 1.0
BURST_TIME_CONSTANT_S = 0.3
PEAK_TIME_CONSTANT_S = 30.0
AVERAGE_TIME_CONSTANT_S = 30.0

FAIR_SHARE_FACTOR = 1.5
MIN_FAIR_SHARE_TOKENS = 1.0
RESERVE_S = 0.3
CHECK_INTERVAL_S = 0.4
RENEWAL_LEAD_S = 0.6
RESERVE_TOKENS = 1.0
MIN_PEAK_TOKENS = 0.5
IDLE_DEMAND_PER_S = 0.05
TOKEN_TOLERANCE = 1e-6
MIN_URGENT_TOKENS = 1.0


class BorrowedLoan(NamedTuple):
    """A loan that this instance may spend.

    Parameters
    ----------
    lender : str
        Name of the instance that lent the tokens.
    number : int
        Number of the token request that it answers.
    expires_at_s : float
        Monotonic time in seconds from which nothing may be spent from it.
    tokens : float
        Tokens not yet spent.
    """

    lender: str
    number: int
    expires_at_s: float
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
        self._requested: dict[int, float] = {}
        self._new_demand = 0.0
        self._refused_tokens = 0.0
        self._demand_per_s = 0.0
        self._recent_tokens = 0.0
        self._average_per_s = 0.0
        self._target_tokens = 0.0
        self._peak_tokens = 0.0
        self._measured_at_s = now_s
        self._region_depleted_until_s = float("-inf")
        self._due_at_s = now_s

    @property
    def account(self) -> str:
        """Name of the client account."""
        return self._account

    @property
    def demand_per_s(self) -> float:
        """Estimated demand of callers on this instance in tokens per second."""
        return self._demand_per_s

    @property
    def due_at_s(self) -> float:
        """Monotonic time in seconds at which demand and loans are checked next."""
        return self._due_at_s

    def tokens(self, now_s: float) -> float:
        """Return the borrowed tokens that may be spent now."""
        self._remove_expired(now_s)
        return sum((loan.tokens for loan in self._loans), 0.0)

    def spend(self, tokens: float) -> float:
        """Spend from the loans that expire first; return the shortfall in tokens."""
        while self._loans and tokens > 0:
            loan = self._loans[0]
            used = min(tokens, loan.tokens)
            tokens -= used
            self._loans[0] = loan._replace(tokens=loan.tokens - used)
            if self._loans[0].tokens <= TOKEN_TOLERANCE:
                self._close(self._loans.pop(0))
        return tokens

    def add(self, loan: BorrowedLoan) -> None:
        """Add a loan."""
        self._loans.append(loan)
        self._loans.sort(key=lambda loan: loan.expires_at_s)

    def record_demand(self, cost: float) -> None:
        """Add the cost of a caller's request to the demand."""
        self._new_demand += cost
        self._due_at_s = float("-inf")

    def record_refusal(self, cost: float) -> None:
        """Add the cost of a request that was refused for lack of tokens."""
        self._refused_tokens += cost
        self._due_at_s = float("-inf")

    def update_demand(self, now_s: float) -> None:
        """Update the estimates of demand with the requests since the last call."""
        self._due_at_s = now_s + CHECK_INTERVAL_S
        elapsed_s = now_s - self._measured_at_s
        if elapsed_s <= 0:
            return
        decay = exp(-elapsed_s / DEMAND_TIME_CONSTANT_S)
        measured_per_s = self._new_demand / elapsed_s
        self._demand_per_s = decay * self._demand_per_s + (1 - decay) * measured_per_s
        decay = exp(-elapsed_s / AVERAGE_TIME_CONSTANT_S)
        self._average_per_s = decay * self._average_per_s + (1 - decay) * measured_per_s
        self._recent_tokens = (
            self._recent_tokens * exp(-elapsed_s / BURST_TIME_CONSTANT_S)
            + self._new_demand
        )
        self._peak_tokens = max(
            self._peak_tokens * exp(-elapsed_s / PEAK_TIME_CONSTANT_S),
            self._recent_tokens,
        )
        self._new_demand = 0.0
        self._measured_at_s = now_s

    def tokens_to_request(
        self, available_tokens: float, rate_per_s: float, burst: float
    ) -> float:
        """Return the number of tokens to request now.

        Parameters
        ----------
        available_tokens : float
            Tokens that this instance can spend now.
        rate_per_s, burst : float
            Rate and burst of the account over the whole fleet.

        Returns
        -------
        float
            Tokens needed beyond those available and those already requested.

        Notes
        -----
        After a refusal at least one whole token is requested. Otherwise the sum of
        an available fraction and the rest of a token may be rounded to less than
        one, and the account would be refused until its loans expire. Without a
        refusal, a shortfall of less than a quarter of the target is not requested.
        """
        self._target_tokens = self._reserve_target(rate_per_s, burst)
        target = min(max(self._target_tokens, self._refused_tokens), burst)
        shortfall = target - available_tokens - sum(self._requested.values())
        is_urgent = self._refused_tokens > 0
        self._refused_tokens = 0.0
        if shortfall <= TOKEN_TOLERANCE or (not is_urgent and shortfall < target / 4):
            return 0.0
        return max(shortfall, MIN_URGENT_TOKENS) if is_urgent else shortfall

    def record_request(self, number: int, tokens: float) -> None:
        """Record that a request for tokens was sent."""
        self._requested[number] = tokens

    def record_grant(self, number: int, tokens: float, now_s: float) -> None:
        """Record the tokens granted for a request; 0 if it timed out."""
        requested = self._requested.pop(number, 0.0)
        if tokens < requested - TOKEN_TOLERANCE:
            self._region_depleted_until_s = now_s + LOAN_LIFETIME_S
            self._due_at_s = now_s

    def is_region_depleted(self, now_s: float) -> bool:
        """Return whether homes have recently granted less than was requested."""
        return now_s < self._region_depleted_until_s

    def is_idle(self, now_s: float) -> bool:
        """Return whether the account has no demand, loans or open requests."""
        self._remove_expired(now_s)
        has_no_demand = self._demand_per_s + self._new_demand < IDLE_DEMAND_PER_S
        has_no_demand = has_no_demand and self._peak_tokens < MIN_PEAK_TOKENS
        return has_no_demand and not (self._loans or self._requested or self._closings)

    def return_loans(self, until_s: float = float("inf")) -> None:
        """Close the loans that expire by a time and return their unspent tokens."""
        while self._loans and self._loans[0].expires_at_s <= until_s:
            self._close(self._loans.pop(0))

    def return_expiring_loans(self, now_s: float) -> None:
        """Return the loans that expire soon, so that no token is lost."""
        self._remove_expired(now_s)
        self.return_loans(now_s + RENEWAL_LEAD_S)
        if not (self._target_tokens or self._refused_tokens or self._requested):
            self.return_loans()

    def pop_closings(self) -> list[tuple[str, Closing]]:
        """Remove and return the unsent closings, each with its lender's name."""
        closings, self._closings = self._closings, []
        return closings

    def _reserve_target(self, rate_per_s: float, burst: float) -> float:
        """Return the tokens to keep in reserve.

        It is 0 while the instance's fair share of the burst is below
        `MIN_FAIR_SHARE_TOKENS`, because there are too few tokens for reserves on
        all instances that use the account.
        """
        reserve = min(self._demand_per_s, rate_per_s) * RESERVE_S
        if self._demand_per_s > IDLE_DEMAND_PER_S:
            reserve += RESERVE_TOKENS
        share = max(self._average_per_s, self._demand_per_s / 3) / rate_per_s
        fair_share = burst * min(1.0, FAIR_SHARE_FACTOR * share)
        return (
            max(reserve, self._peak_tokens)
            if fair_share >= MIN_FAIR_SHARE_TOKENS
            else 0.0
        )

    def _close(self, loan: BorrowedLoan) -> None:
        unspent = loan.tokens if loan.tokens > TOKEN_TOLERANCE else 0.0
        closing = Closing(loan.number, self._account, unspent)
        self._closings.append((loan.lender, closing))

    def _remove_expired(self, now_s: float) -> None:
        while self._loans and self._loans[0].expires_at_s <= now_s:
            self._loans.pop(0)
