"""Token buckets of the client accounts that the configuration in force limits."""

import random
from collections.abc import Mapping

from chervilpitch import platform
from chervilpitch.model import AccountQuota
from chervilpitch.observe import part_logger
from chervilpitch.policy import FleetBucket, UsageCounters

__all__ = ["AccountBuckets"]

log = part_logger("state")

RATE_EXCESS_FRACTION = 0.4
RATE_SLACK_FRACTION = 0.4


class AccountBuckets:
    """Bucket of each client account with a rate, and counters of what they admit.

    Parameters
    ----------
    bounds : platform.Bounds
        Bounds that the platform promises to its users.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, bounds: platform.Bounds, clock):
        self._bounds = bounds
        self._clock = clock
        self._accounts: Mapping[str, AccountQuota] = {}
        self._by_name: dict[str, FleetBucket] = {}
        self._counters = UsageCounters()
        self._last_report_at_s: dict[str, float] = {}

    @property
    def by_name(self) -> dict[str, FleetBucket]:
        """Buckets by the name of the client account."""
        return self._by_name

    def set_counters(self, counters: UsageCounters) -> None:
        """Count the tokens taken in the counters given."""
        self._counters = counters

    def update(self, accounts: Mapping[str, AccountQuota]) -> None:
        """Apply the client accounts of a new configuration."""
        before = self._accounts
        self._accounts = accounts
        for account in accounts.values():
            if account != before.get(account.name):
                log.info(
                    "Quota in force.",
                    account=account.name,
                    rate_per_s=account.rate_per_s,
                    burst=account.burst,
                    priority=account.priority,
                )
            self._update_bucket(account)

    def record_last_report(self, source: str, now_s: float) -> None:
        """Record that a source of counters was heard, whatever it reported."""
        self._last_report_at_s[source] = now_s

    def allows(
        self, account: str, share: float, reported_share: float, now_s: float
    ) -> bool:
        """Return whether the rate of a client account allows one more attempt.

        An account without a rate has no bucket.

        Parameters
        ----------
        account : str
            Name of the client account.
        share : float
            Share of its rate that may be used here.
        reported_share : float
            Share of the others' use for which reports arrive.
        now_s : float
            Monotonic time in seconds.
        """
        bucket = self._by_name.get(account)
        return bucket is None or bucket.allows(
            now_s, share, random.random(), reported_share
        )

    def take(self, account: str, now_s: float) -> None:
        """Take a token of a client account for an attempt, also if none is available.

        Parameters
        ----------
        account : str
            Name of the client account.
        now_s : float
            Monotonic time in seconds.
        """
        bucket = self._by_name.get(account)
        if bucket is not None:
            bucket.take(now_s)
            self._counters.add(account)

    def nearly_used(self, now_s: float) -> dict[str, dict[str, float]]:
        """Return what admission depends on for the accounts whose rate is nearly used.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        """
        return {
            name: bucket.log_fields(now_s) | {"own": bucket.admitted}
            for name, bucket in self._by_name.items()
            if bucket.is_low(now_s)
        }

    def _update_bucket(self, account):
        now_s = self._clock()
        bounds = self._bounds
        excess = bounds.rate_excess * RATE_EXCESS_FRACTION
        rate_per_s = account.rate_per_s * (1 + excess)
        bucket = self._by_name.get(account.name)
        if not account.rate_per_s:
            self._by_name.pop(account.name, None)
        elif bucket is None:
            tolerance = bounds.rate_slack * RATE_SLACK_FRACTION
            self._by_name[account.name] = FleetBucket(
                rate_per_s, account.burst, tolerance, now_s, self._last_report_at_s
            )
        else:
            bucket.set_rate(rate_per_s, account.burst, now_s)
