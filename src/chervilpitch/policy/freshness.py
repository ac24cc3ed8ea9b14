"""Freshness of the configuration: how recently it was proved to be the newest."""

from typing import NamedTuple

__all__ = ["Freshness", "FreshnessLimits"]

TRANSIT_MARGIN_S = 0.3
ROUTINE_PROOF_AGE_S = 2.8
"""Age that proofs reach where nothing is wrong; unknown keys are denied until then."""
MAX_GAP_S = 2.5


class FreshnessLimits(NamedTuple):
    """Maximum ages of the newest proof for each kind of decision.

    Parameters
    ----------
    keys_s : float
        Age in seconds below which a key in the configuration is accepted.
    denials_s : float
        Age in seconds below which an unknown key or path is denied definitively.
    """

    keys_s: float
    denials_s: float

    @classmethod
    def from_bounds(
        cls, revocation_s: float, configuration_s: float
    ) -> "FreshnessLimits":
        """Return the limits that keep the platform's bounds.

        Parameters
        ----------
        revocation_s : float
            Seconds after which a revoked key must no longer be accepted; the limit
            is lower by a margin for transit.
        configuration_s : float
            Seconds within which a new configuration must be in force; the limit
            is lower by a margin for transit, but not so low that instances could
            never deny for good.
        """
        denials_s = max(configuration_s - TRANSIT_MARGIN_S, ROUTINE_PROOF_AGE_S)
        return cls(revocation_s - TRANSIT_MARGIN_S, denials_s)


class Freshness:
    """The latest proof that the configuration in force was the newest version.

    A proof is valid for the time at which the query was sent, not for the time of
    its answer. Times are those of a clock that also counts while the machine is
    suspended.

    Parameters
    ----------
    limits : FreshnessLimits
        Maximum ages of a proof.
    """

    def __init__(self, limits: FreshnessLimits):
        self._limits = limits
        self._proved_at_s: float | None = None
        self._received_at_s: float | None = None
        self._gap_began_at_s = float("-inf")
        self._gap_ended_at_s = float("-inf")

    @property
    def gap_began_at_s(self) -> float:
        """Monotonic time in seconds of the last proof before the latest gap."""
        return self._gap_began_at_s

    @property
    def gap_ended_at_s(self) -> float:
        """Monotonic time in seconds of the first proof after the latest gap."""
        return self._gap_ended_at_s

    def add_proof(self, valid_at_s: float, now_s: float) -> bool:
        """Store a proof if it is newer than the current one.

        Parameters
        ----------
        valid_at_s : float
            Monotonic time in seconds for which the proof is valid.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the proof was newer.
        """
        if self._proved_at_s is not None and valid_at_s <= self._proved_at_s:
            return False
        if self._received_at_s is not None and now_s - self._received_at_s > MAX_GAP_S:
            self._gap_began_at_s = self._received_at_s
            self._gap_ended_at_s = now_s
        self._received_at_s = now_s
        self._proved_at_s = valid_at_s
        return True

    def age_s(self, now_s: float) -> float:
        """Return the age of the latest proof in seconds, infinite without one."""
        if self._proved_at_s is None:
            return float("inf")
        return now_s - self._proved_at_s

    def may_use_keys(self, now_s: float) -> bool:
        """Return whether keys in the configuration may be accepted."""
        return self.age_s(now_s) < self._limits.keys_s

    def may_deny(self, now_s: float) -> bool:
        """Return whether an unknown key or path may be denied definitively."""
        return self.age_s(now_s) < self._limits.denials_s
