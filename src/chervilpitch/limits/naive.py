"""The plain version: each instance limits by a share of the live list."""

from result import Err, Ok, Result

from chervilpitch.model import (
    EMPTY_CATALOGUE,
    Catalogue,
    Refusal,
    RefusalKind,
    RunState,
    Sender,
)

__all__ = ["NaiveLimitState", "admit", "update_instances", "apply_catalogue"]


class NaiveLimitState:
    """Token buckets filled at the rate divided by the number of live instances.

    Parameters
    ----------
    own : Sender
        Name and incarnation of this instance.
    """

    def __init__(self, own: Sender):
        self._own = own
        self._count = 1
        self._catalogue = EMPTY_CATALOGUE
        self._levels: dict[str, tuple[float, float]] = {}

    def replace_catalogue(self, catalogue: Catalogue) -> None:
        """Take a new catalogue."""
        self._catalogue = catalogue

    def follow_count(self, count: int) -> None:
        """Follow the number of live instances."""
        self._count = max(1, count)

    def knows(self, account_name: str) -> bool:
        """Return whether the account is declared."""
        return account_name in self._catalogue.accounts

    def spend(self, account_name: str, now_s: float, cost: float) -> bool:
        """Refill the account's bucket and take the cost; return whether it fits."""
        account = self._catalogue.accounts[account_name]
        burst = max(1.0, account.burst / self._count)
        level, at_s = self._levels.get(account_name, (burst, now_s))
        rate_per_s = account.rate_per_s / self._count
        level = min(burst, level + (now_s - at_s) * rate_per_s)
        fits = level >= cost
        self._levels[account_name] = (level - cost * fits, now_s)
        return fits


def admit(
    state: NaiveLimitState, account_name: str, now_s: float, cost: float = 1.0
) -> Result[None, Refusal]:
    """Admit a request when this instance's share has a token for it."""
    if not state.knows(account_name):
        return Err(Refusal(RefusalKind.ACCOUNT_NOT_ADMITTED, RunState.NOT_RUN))
    if state.spend(account_name, now_s, cost):
        return Ok(None)
    return Err(Refusal(RefusalKind.RATE_EXCEEDED, RunState.NOT_RUN))


def apply_catalogue(
    state: NaiveLimitState, catalogue: Catalogue, now_s: float
) -> tuple:
    """Follow a new catalogue."""
    state.replace_catalogue(catalogue)
    return ()


def update_instances(state: NaiveLimitState, instances, now_s: float) -> tuple:
    """Follow the number of live instances."""
    state.follow_count(len(instances))
    return ()
