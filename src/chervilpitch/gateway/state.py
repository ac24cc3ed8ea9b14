"""Everything that one instance of the gateway knows."""

from collections.abc import Mapping

from chervilpitch import platform
from chervilpitch.model import (
    NO_CONFIGURATION,
    AccountQuota,
    Configuration,
    HostRoute,
    StoreItem,
)
from chervilpitch.observe import part_logger
from chervilpitch.policy import (
    FleetBucket,
    Freshness,
    FreshnessLimits,
    ItemReplica,
    LatencyBaseline,
    Location,
    MemberTable,
    RetryBudget,
    RouteTable,
    UpstreamListing,
    UpstreamTable,
)

__all__ = ["GatewayState"]

log = part_logger("state")

ENTRIES_RETURN_S = 2.2
SHARE_OF_EXCESS = 0.4
SHARE_OF_SLACK = 0.4


class GatewayState:
    """The configuration in force, the upstreams, the other instances and counts.

    Parameters
    ----------
    location : Location
        Where this instance runs.
    bounds : platform.Bounds
        Time limits to keep.
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
        self._listing = UpstreamListing()
        limits = FreshnessLimits.from_bounds(
            bounds.revocation_s, bounds.configuration_s
        )
        self._freshness = Freshness(limits)
        self._baselines: dict[str, LatencyBaseline] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._buckets: dict[str, FleetBucket] = {}
        self._accounts: Mapping[str, AccountQuota] = {}
        self._is_review_due = False
        self._is_leaving = False
        self._in_progress = 0

    @property
    def bounds(self) -> platform.Bounds:
        """Time limits to keep."""
        return self._bounds

    @property
    def members(self) -> MemberTable:
        """The other instances."""
        return self._members

    @property
    def upstreams(self) -> UpstreamTable:
        """All upstreams."""
        return self._upstreams

    @property
    def configuration(self) -> Configuration:
        """The version in force."""
        return self._configuration

    @property
    def routes(self) -> RouteTable:
        """The routes in force."""
        return self._routes

    @property
    def freshness(self) -> Freshness:
        """How new the proof for the configuration is."""
        return self._freshness

    @property
    def configuration_item(self) -> StoreItem | None:
        """The newest configuration as it lies in the store."""
        return self._configuration_item

    @property
    def configuration_revision(self) -> int:
        """Revision at which the newest configuration was written; 0 for none."""
        item = self._configuration_item
        return 0 if item is None else item.revision

    @property
    def entry_items(self) -> ItemReplica:
        """The upstreams' entries as they lie in the store."""
        return self._entry_items

    @property
    def buckets(self) -> dict[str, FleetBucket]:
        """Buckets of client accounts by name."""
        return self._buckets

    @property
    def is_leaving(self) -> bool:
        """Whether a stop has begun."""
        return self._is_leaving

    @property
    def in_progress(self) -> int:
        """Requests in progress."""
        return self._in_progress

    def leave(self) -> None:
        """Begin a stop."""
        self._is_leaving = True

    def begin_request(self) -> None:
        """Count a request that begins."""
        self._in_progress += 1

    def end_request(self) -> None:
        """Count a request that ends."""
        self._in_progress -= 1

    def is_ready(self) -> bool:
        """Return whether callers should be sent here."""
        has_configuration = self._configuration.version > 0
        is_fresh = self._freshness.may_use_keys(self._clock())
        return has_configuration and is_fresh and not self._is_leaving

    def take_configuration_items(
        self, items: tuple[StoreItem, ...], proved_at_s: float
    ) -> None:
        """Take in the configuration as it was read.

        Parameters
        ----------
        items : tuple of StoreItem
            The configuration, if it has changed.
        proved_at_s : float
            Monotonic time in seconds for which it is surely the newest one.
        """
        self._freshness.add_proof(proved_at_s, self._clock())
        for item in items:
            is_configuration = item.key == platform.CONFIGURATION_KEY
            if is_configuration and item.revision > self.configuration_revision:
                self._configuration_item = item
                self._take_configuration(item)

    def take_entry_items(
        self, items: tuple[StoreItem, ...], revision: int, is_complete: bool
    ) -> None:
        """Take in upstreams' entries as they were read.

        Parameters
        ----------
        items : tuple of StoreItem
            What has changed, or everything.
        revision : int
            Revision of the store up to which that is all.
        is_complete : bool
            Whether the items are everything.
        """
        replica = self._entry_items
        take = replica.replace if is_complete else replica.apply
        changed = take(items, revision)
        if changed:
            self._take_entries(changed)

    def review_entries(self) -> None:
        """Drop upstreams whose entries have not come back after an outage."""
        if self._is_review_due:
            self._take_entries(())

    def _take_configuration(self, item):
        decoded = platform.decode_configuration(item.value)
        if decoded.is_err():
            log.error("Configuration unreadable.", cause=str(decoded.unwrap_err()))
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
            self._follow_account(account)

    def _take_entries(self, keys):
        entries = []
        for item in self._entry_items.items:
            decoded = platform.decode_entry(item.key, item.value)
            if decoded.is_ok():
                entries.append(decoded.unwrap())
            elif item.key in keys:
                cause = str(decoded.unwrap_err())
                log.warning("Upstream entry unreadable.", entry=item.key, cause=cause)
        now_s = self._clock()
        missing_until_s = self._freshness.gap_ended_at_s + ENTRIES_RETURN_S
        listed = self._listing.update(entries, now_s, missing_until_s)
        self._is_review_due = now_s < missing_until_s
        self._upstreams.update_entries(listed, now_s)
        if keys:
            log.info("Upstreams changed.", changed=len(keys), listed=len(listed))

    def baseline(self, route: HostRoute) -> LatencyBaseline:
        """Return how long answers of a route take."""
        if route.name not in self._baselines:
            self._baselines[route.name] = LatencyBaseline(route.aim_s)
        return self._baselines[route.name]

    def budget(self, service: str) -> RetryBudget:
        """Return the budget of repeats of a service."""
        if service not in self._budgets:
            bounds = self._bounds
            self._budgets[service] = RetryBudget(
                bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack
            )
        return self._budgets[service]

    def _follow_account(self, account: AccountQuota):
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
        rate_per_s = account.rate_per_s * (1 + bounds.rate_excess * SHARE_OF_EXCESS)
        if not account.rate_per_s:
            self._buckets.pop(account.name, None)
        elif bucket is None:
            tolerance = bounds.rate_slack * SHARE_OF_SLACK
            self._buckets[account.name] = FleetBucket(
                rate_per_s, account.burst, tolerance, now_s
            )
        else:
            bucket.set_rate(rate_per_s, account.burst, now_s)
