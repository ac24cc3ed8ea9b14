"""Whether the configuration in force may still be trusted."""

from typing import NamedTuple

__all__ = ["Freshness", "FreshnessLimits"]

TRANSIT_S = 0.3
DENIAL_MARGIN_S = 0.8
GAP_S = 2.5


class FreshnessLimits(NamedTuple):
    """Ages of a proof that is still good enough.

    Parameters
    ----------
    keys_s : float
        Seconds during which a key may be taken as valid.
    denials_s : float
        Seconds during which an unknown key or path may be denied for good.
    """

    keys_s: float
    denials_s: float

    @classmethod
    def from_bounds(
        cls, revocation_s: float, configuration_s: float
    ) -> "FreshnessLimits":
        """Return the limits for bounds in seconds."""
        return cls(revocation_s - TRANSIT_S, configuration_s + DENIAL_MARGIN_S)


class Freshness:
    """The newest proof that a configuration version was the newest one.

    A proof is worth the time at which the question was asked, on a clock that
    counts time suspended.

    Parameters
    ----------
    limits : FreshnessLimits
        Ages that are good enough.
    """

    def __init__(self, limits: FreshnessLimits):
        self._limits = limits
        self._proved_at_s: float | None = None
        self._heard_at_s: float | None = None
        self._regained_at_s = float("-inf")

    @property
    def gap_ended_at_s(self) -> float:
        """Monotonic time in seconds at which proofs came again after a gap."""
        return self._regained_at_s

    def add_proof(self, at_s: float, now_s: float) -> bool:
        """Take in a proof and return whether it is newer than the one before.

        Parameters
        ----------
        at_s : float
            Monotonic time in seconds for which it holds.
        now_s : float
            Monotonic time in seconds.
        """
        if self._proved_at_s is not None and at_s <= self._proved_at_s:
            return False
        if self._heard_at_s is not None and now_s - self._heard_at_s > GAP_S:
            self._regained_at_s = now_s
        self._heard_at_s = now_s
        self._proved_at_s = at_s
        return True

    def age_s(self, now_s: float) -> float:
        """Return the age of the newest proof in seconds."""
        if self._proved_at_s is None:
            return float("inf")
        return now_s - self._proved_at_s

    def may_use_keys(self, now_s: float) -> bool:
        """Return whether keys may be taken as valid."""
        return self.age_s(now_s) < self._limits.keys_s

    def may_deny(self, now_s: float) -> bool:
        """Return whether an unknown key or path may be denied for good."""
        return self.age_s(now_s) < self._limits.denials_s
