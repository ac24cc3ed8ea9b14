"""Baseline for comparison: each instance enforces an equal share of the rate.

It is used by tests and benchmarks only.
"""

from result import Err, Ok, Result

from chervilpitch.model import (
    EMPTY_CATALOGUE,
    Catalogue,
    Refusal,
    RefusalKind,
    RunState,
    Sender,
)

__all__ = ["NaiveLimitState", "admit", "apply_catalogue", "update_instances"]


class NaiveLimitState:
    """Token buckets refilled at the rate divided by the number of live instances.

    Parameters
    ----------
    own : Sender
        Name and incarnation of this instance.
    """

    def __init__(self, own: Sender):
        self._own = own
        self._instance_count = 1
        self._catalogue = EMPTY_CATALOGUE
        self._levels: dict[str, tuple[float, float]] = {}

    def replace_catalogue(self, catalogue: Catalogue) -> None:
        """Replace the catalogue."""
        self._catalogue = catalogue

    def update_count(self, instance_count: int) -> None:
        """Set the number of live instances."""
        self._instance_count = max(1, instance_count)

    def is_declared(self, account_name: str) -> bool:
        """Return whether the account is declared."""
        return account_name in self._catalogue.accounts

    def try_spend(self, account_name: str, now_s: float, cost: float) -> bool:
        """Refill the account's bucket and try to spend; return whether it succeeded."""
        account = self._catalogue.accounts[account_name]
        burst = max(1.0, account.burst / self._instance_count)
        level, at_s = self._levels.get(account_name, (burst, now_s))
        rate_per_s = account.rate_per_s / self._instance_count
        level = min(burst, level + (now_s - at_s) * rate_per_s)
        is_within = level >= cost
        self._levels[account_name] = (level - cost * is_within, now_s)
        return is_within


def admit(
    state: NaiveLimitState, account_name: str, now_s: float, cost: float = 1.0
) -> Result[None, Refusal]:
    """Admit a request if this instance's bucket has enough tokens."""
    if not state.is_declared(account_name):
        return Err(Refusal(RefusalKind.ACCOUNT_NOT_ADMITTED, RunState.NOT_RUN))
    if state.try_spend(account_name, now_s, cost):
        return Ok(None)
    return Err(Refusal(RefusalKind.RATE_EXCEEDED, RunState.NOT_RUN))


def apply_catalogue(
    state: NaiveLimitState, catalogue: Catalogue, now_s: float
) -> tuple:
    """Apply a new catalogue."""
    state.replace_catalogue(catalogue)
    return ()


def update_instances(state: NaiveLimitState, instances, now_s: float) -> tuple:
    """Apply the list of live instances."""
    state.update_count(len(instances))
    return ()
