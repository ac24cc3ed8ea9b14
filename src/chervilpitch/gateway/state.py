"""State of one gateway instance."""

from collections.abc import Mapping

from chervilpitch import platform
from chervilpitch.model import (
    NO_CONFIGURATION,
    AccountQuota,
    Configuration,
    HostRoute,
    StoreItem,
    UpstreamEntry,
)
from chervilpitch.observe import part_logger
from chervilpitch.policy import (
    Contact,
    FleetBucket,
    Freshness,
    FreshnessLimits,
    ItemReplica,
    LatencyBaseline,
    Location,
    MemberTable,
    PlannedStop,
    RetryBudget,
    RouteTable,
    UpstreamListing,
    UpstreamTable,
    UsageCounters,
)

__all__ = ["GatewayState"]

log = part_logger("state")

MISSING_ENTRY_GRACE_S = 2.2
RATE_EXCESS_FRACTION = 0.4
RATE_SLACK_FRACTION = 0.4


class GatewayState:
    """Configuration in force, upstreams, other instances, retry budgets and buckets.

    Parameters
    ----------
    location : Location
        Region and failure domain of this instance.
    bounds : platform.Bounds
        Bounds that the platform promises to its users.
    members : MemberTable
        The other instances.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        location: Location,
        bounds: platform.Bounds,
        members: MemberTable,
        clock,
    ):
        self._bounds = bounds
        self._clock = clock
        self._members = members
        self._upstreams = UpstreamTable(location)
        self._configuration = NO_CONFIGURATION
        self._routes = RouteTable(())
        self._configuration_item: StoreItem | None = None
        self._entry_items = ItemReplica()
        self._decoded_entries: dict[str, UpstreamEntry] = {}
        self._listing = UpstreamListing()
        limits = FreshnessLimits.from_bounds(
            bounds.revocation_s, bounds.configuration_s
        )
        self._freshness = Freshness(limits)
        self._contact = Contact(clock())
        self._baselines: dict[str, LatencyBaseline] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._buckets: dict[str, FleetBucket] = {}
        self._admissions = UsageCounters()
        self._accounts: Mapping[str, AccountQuota] = {}
        self._is_removal_pending = False
        self._stop: PlannedStop | None = None
        self._in_progress = 0

    @property
    def bounds(self) -> platform.Bounds:
        """Bounds that the platform promises to its users."""
        return self._bounds

    @property
    def members(self) -> MemberTable:
        """The other instances."""
        return self._members

    @property
    def upstreams(self) -> UpstreamTable:
        """State of all upstreams."""
        return self._upstreams

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self._configuration

    @property
    def routes(self) -> RouteTable:
        """The routes in force."""
        return self._routes

    @property
    def freshness(self) -> Freshness:
        """Age of the proof that the configuration is the newest one."""
        return self._freshness

    @property
    def contact(self) -> Contact:
        """Contact with the region and the store."""
        return self._contact

    @property
    def configuration_item(self) -> StoreItem | None:
        """The newest configuration as stored; None before the first one."""
        return self._configuration_item

    @property
    def configuration_revision(self) -> int:
        """Revision at which the newest configuration was written; 0 for none."""
        item = self._configuration_item
        return 0 if item is None else item.revision

    @property
    def entry_items(self) -> ItemReplica:
        """Replica of the upstreams' entries in the store."""
        return self._entry_items

    @property
    def buckets(self) -> dict[str, FleetBucket]:
        """Token buckets of client accounts, by name."""
        return self._buckets

    def set_admission_counters(self, counters: UsageCounters) -> None:
        """Count admitted requests in the counters given."""
        self._admissions = counters

    def admit(self, account: str, now_s: float) -> bool:
        """Return whether the rate of a client account allows one more request.

        The request is then counted. An account without a rate has no bucket.
        """
        bucket = self._buckets.get(account)
        if bucket is None:
            return True
        if not bucket.admit(now_s, self._contact.rate_share(now_s)):
            return False
        self._admissions.add(account)
        return True

    @property
    def is_leaving(self) -> bool:
        """Whether a stop has begun."""
        return self._stop is not None

    @property
    def in_progress(self) -> int:
        """Number of requests in progress."""
        return self._in_progress

    @property
    def stop(self) -> PlannedStop | None:
        """The planned stop of this instance, if it has begun."""
        return self._stop

    def begin_leaving(self) -> None:
        """Mark this instance as leaving."""
        self._stop = PlannedStop(self._clock(), self._bounds.stop_s)

    def begin_request(self) -> None:
        """Count a request that starts."""
        self._in_progress += 1

    def end_request(self) -> None:
        """Count a request that ends."""
        self._in_progress -= 1

    def is_ready(self) -> bool:
        """Return whether callers should use this instance."""
        has_configuration = self._configuration.version > 0
        is_fresh = self._freshness.may_use_keys(self._clock())
        return has_configuration and is_fresh and not self.is_leaving

    def apply_configuration_items(
        self, items: tuple[StoreItem, ...], proved_at_s: float
    ) -> None:
        """Record a proof and apply the configuration if it is newer.

        Parameters
        ----------
        items : tuple of StoreItem
            The items read; empty if the configuration has not changed.
        proved_at_s : float
            Monotonic time in seconds at which it was the newest one in the store.
        """
        now_s = self._clock()
        if self._freshness.add_proof(proved_at_s, now_s):
            self._contact.record_proof(now_s)
        for item in items:
            is_configuration = item.key == platform.CONFIGURATION_KEY
            if is_configuration and item.revision > self.configuration_revision:
                self._configuration_item = item
                self._apply_configuration(item)
            elif is_configuration:
                decoded = platform.decode_configuration(item.value)
                log.info(
                    "Configuration read is not newer; kept the one in force.",
                    version=decoded.map_or(0, lambda read: read.version),
                    revision=item.revision,
                    known_revision=self.configuration_revision,
                )

    def apply_entry_items(
        self, items: tuple[StoreItem, ...], revision: int, is_complete: bool
    ) -> None:
        """Apply upstreams' entries that were read from the store.

        Parameters
        ----------
        items : tuple of StoreItem
            The entries that have changed, or all of them.
        revision : int
            Revision of the store that the items reach up to.
        is_complete : bool
            Whether the items are all entries; they then replace the earlier ones.
        """
        replica = self._entry_items
        update = replica.replace if is_complete else replica.apply
        changed = update(items, revision)
        if changed:
            self._apply_entries(changed)

    def remove_missing_upstreams(self) -> None:
        """Remove upstreams whose entries are still missing after an outage."""
        if self._is_removal_pending:
            self._apply_entries(())

    def _apply_configuration(self, item):
        decoded = platform.decode_configuration(item.value)
        if decoded.is_err():
            log.error(
                "Configuration could not be decoded; kept the one in force.",
                cause=str(decoded.unwrap_err()),
            )
            return
        configuration = decoded.unwrap()
        if configuration.version <= self._configuration.version:
            return
        log.info(
            "Configuration in force.",
            version=configuration.version,
            before=self._configuration.version,
            routes=len(configuration.routes),
            revision=item.revision,
        )
        self._accounts = self._configuration.accounts
        self._configuration = configuration
        self._routes = RouteTable(configuration.routes)
        for account in configuration.accounts.values():
            self._update_bucket(account)

    def _apply_entries(self, keys):
        """Decode the entries of the keys that changed, and update the upstreams."""
        items = {item.key: item for item in self._entry_items.items}
        for key in keys:
            self._decode_entry(key, items.get(key))
        entries = self._decoded_entries.values()
        now_s = self._clock()
        missing_until_s = self._freshness.gap_ended_at_s + MISSING_ENTRY_GRACE_S
        listed = self._listing.update(entries, now_s, missing_until_s)
        self._is_removal_pending = now_s < missing_until_s
        self._upstreams.update_entries(listed, now_s)
        if keys:
            log.info("Upstreams changed.", changed=len(keys), listed=len(listed))

    def _decode_entry(self, key, item):
        self._decoded_entries.pop(key, None)
        if item is None:
            return
        decoded = platform.decode_entry(key, item.value)
        if decoded.is_ok():
            self._decoded_entries[key] = decoded.unwrap()
        else:
            log.warning(
                "Upstream entry could not be decoded; ignored it.",
                entry=key,
                cause=str(decoded.unwrap_err()),
            )

    def latency_baseline(self, route: HostRoute) -> LatencyBaseline:
        """Return the baseline of a route's response times."""
        if route.name not in self._baselines:
            self._baselines[route.name] = LatencyBaseline(route.aim_s)
        return self._baselines[route.name]

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        if service not in self._budgets:
            bounds = self._bounds
            self._budgets[service] = RetryBudget(
                bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack
            )
        return self._budgets[service]

    def _update_bucket(self, account: AccountQuota):
        now_s = self._clock()
        bucket = self._buckets.get(account.name)
        if account != self._accounts.get(account.name):
            log.info(
                "Quota in force.",
                account=account.name,
                rate_per_s=account.rate_per_s,
                burst=account.burst,
                priority=account.priority,
            )
        bounds = self._bounds
        rate_per_s = account.rate_per_s * (
            1 + bounds.rate_excess * RATE_EXCESS_FRACTION
        )
        if not account.rate_per_s:
            self._buckets.pop(account.name, None)
        elif bucket is None:
            tolerance = bounds.rate_slack * RATE_SLACK_FRACTION
            self._buckets[account.name] = FleetBucket(
                rate_per_s, account.burst, tolerance, now_s
            )
        else:
            bucket.set_rate(rate_per_s, account.burst, now_s)
