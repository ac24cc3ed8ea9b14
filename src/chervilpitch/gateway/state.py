"""State of one gateway instance."""

from chervilpitch import platform
from chervilpitch.model import (
    FIRST_ERA,
    NO_CONFIGURATION,
    Configuration,
    StoreItem,
)
from chervilpitch.observe import part_logger
from chervilpitch.policy import (
    Contact,
    FleetBucket,
    Freshness,
    FreshnessLimits,
    ItemReplica,
    Location,
    MemberTable,
    PlannedStop,
    ReportLoss,
    RetryBudget,
    RouteTable,
    StoreCalls,
    StoreEra,
    UpstreamTable,
    UsageCounters,
)

from .account_buckets import AccountBuckets
from .admission import AdmissionControl
from .decoded_configuration import ConfigurationDecoder, log_unknown_kinds
from .route_statistics import RouteStatistics
from .upstream_entries import UpstreamEntries

__all__ = ["GatewayState"]

log = part_logger("state")

UNSTATED_VERSION = 0
"""Version in answers of builds that state none."""


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
    has_admission_levels : bool
        Whether services have admission levels.
    """

    def __init__(
        self,
        location: Location,
        bounds: platform.Bounds,
        members: MemberTable,
        clock,
        has_admission_levels: bool = False,
    ):
        self._bounds = bounds
        self._clock = clock
        self._members = members
        self._upstreams = UpstreamTable(location)
        self._configuration = NO_CONFIGURATION
        self._routes = RouteTable(())
        self._configuration_item: StoreItem | None = None
        self._store_era = StoreEra()
        self._store_calls = StoreCalls()
        self._entries = UpstreamEntries(self._upstreams, clock)
        limits = FreshnessLimits.from_bounds(
            bounds.revocation_s, bounds.configuration_s
        )
        self._freshness = Freshness(limits)
        self._contact = Contact(clock())
        self._report_loss = ReportLoss()
        self._route_statistics = RouteStatistics(clock)
        self._budgets: dict[str, RetryBudget] = {}
        self._buckets = AccountBuckets(bounds, clock)
        self._admission = AdmissionControl(clock, has_admission_levels)
        self._stop: PlannedStop | None = None
        self._in_progress = 0
        self._decoder = ConfigurationDecoder()

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
    def report_loss(self) -> ReportLoss:
        """When reports of others on the use of rates were heard."""
        return self._report_loss

    @property
    def store_calls(self) -> StoreCalls:
        """Whether the store answers the calls of this instance."""
        return self._store_calls

    @property
    def store_era(self) -> int:
        """The newest era of the store that is known."""
        return self._store_era.number

    @property
    def is_shown_by_store(self) -> bool:
        """Whether the store last showed the configuration in force to this instance."""
        return self._store_era.shows(self._configuration.version)

    @property
    def configuration_item(self) -> StoreItem | None:
        """The configuration in force as stored; None before the first one."""
        return self._configuration_item

    @property
    def configuration_revision(self) -> int:
        """Revision at which the configuration in force was written; 0 for none."""
        item = self._configuration_item
        return 0 if item is None else item.revision

    @property
    def entry_items(self) -> ItemReplica:
        """Replica of the upstreams' entries in the store."""
        return self._entries.replica

    @property
    def malformed_entry_count(self) -> int:
        """Number of upstreams' entries that could not be decoded so far."""
        return self._entries.malformed_count

    @property
    def malformed_configuration_count(self) -> int:
        """Number of times that a configuration could not be decoded so far."""
        return self._decoder.malformed_count

    @property
    def buckets(self) -> dict[str, FleetBucket]:
        """Token buckets of client accounts, by name."""
        return self._buckets.by_name

    def rates_nearly_used(self) -> dict[str, dict[str, float]]:
        """Return values of the client accounts whose rate is nearly used, by name."""
        return self._buckets.nearly_used(self._clock())

    def set_admission_counters(self, counters: UsageCounters) -> None:
        """Count the tokens taken in the counters given."""
        self._buckets.set_counters(counters)

    def allows_attempt(self, account: str, now_s: float) -> bool:
        """Return whether the rate of a client account allows one more attempt."""
        share = self._contact.rate_share(now_s)
        reported_share = self._report_loss.share(now_s)
        return self._buckets.allows(account, share, reported_share, now_s)

    def take_token(self, account: str, now_s: float) -> None:
        """Take a token of a client account for an attempt, available or not."""
        self._buckets.take(account, now_s)

    def record_usage_source(self, source: str, now_s: float) -> None:
        """Record that a source of usage counters was heard, whatever it reported."""
        self._buckets.record_last_report(source, now_s)

    @property
    def admission(self) -> AdmissionControl:
        """Admission levels of the services."""
        return self._admission

    @property
    def is_leaving(self) -> bool:
        """Whether a stop has begun."""
        return self._stop is not None

    @property
    def in_progress(self) -> int:
        """Number of requests in progress."""
        return self._in_progress

    @property
    def route_statistics(self) -> RouteStatistics:
        """Response times and costs of the requests on each route."""
        return self._route_statistics

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

    def observe_era(self, era: int) -> None:
        """Record an era that the store or another instance states.

        Parameters
        ----------
        era : int
            The era; one that is earlier than a known one is ignored.
        """
        before = self._store_era.number
        if self._store_era.observe(era, self._clock()):
            log.warning("Store came back from an older copy.", era=era, before=before)

    def apply_configuration_items(
        self,
        items: tuple[StoreItem, ...],
        proved_at_s: float,
        is_change: bool = False,
    ) -> None:
        """Apply the configuration that the store shows, and record the proof.

        Versions alone decide which configuration is newer, as the store may give out
        revisions again. It is no proof if the store shows an older version than the
        one in force.

        Parameters
        ----------
        items : tuple of StoreItem
            The items read; empty if the configuration has not changed.
        proved_at_s : float
            Monotonic time in seconds at which it was the newest one in the store.
        is_change : bool
            Whether the items were written after an earlier read in the same era.
        """
        for item in items:
            configuration = self._decoder.decode(item)
            if configuration is not None:
                self._record_shown(configuration.version, item, is_change)
                self._apply_configuration(configuration, item)
        if self._store_era.proves(self._configuration.version, self._clock()):
            self._add_proof(proved_at_s)

    def apply_relayed_configuration(
        self, items: tuple[StoreItem, ...], version: int, proved_at_s: float
    ) -> None:
        """Apply the configuration of another instance, and its proof if it holds here.

        Parameters
        ----------
        items : tuple of StoreItem
            The configuration in force there, if it is newer.
        version : int
            Its version; 0 if it is not stated, which is trusted.
        proved_at_s : float
            Monotonic time in seconds at which it was the newest one in the store.
        """
        for item in items:
            configuration = self._decoder.decode(item)
            if configuration is not None:
                self._apply_configuration(configuration, item)
        if version in (UNSTATED_VERSION, self._configuration.version):
            self._add_proof(proved_at_s)

    def _add_proof(self, proved_at_s):
        now_s = self._clock()
        if self._freshness.add_proof(proved_at_s, now_s):
            self._contact.record_proof(now_s)

    def _record_shown(self, version, item, is_change):
        is_same_version = version == self._configuration.version
        is_other_item = item.revision != self.configuration_revision
        is_comparable = is_same_version and self._store_era.is_restored_once
        is_rewritten = is_change or (is_comparable and is_other_item)
        is_repeated = version == self._store_era.shown_version
        self._store_era.record_shown(version, is_rewritten)
        if version < self._configuration.version and not is_repeated:
            log.warning(
                "Store shows an older configuration; kept the one in force.",
                version=version,
                in_force=self._configuration.version,
                revision=item.revision,
                era=self.store_era,
            )

    def apply_entry_items(
        self,
        items: tuple[StoreItem, ...],
        revision: int,
        is_complete: bool,
        era: int = FIRST_ERA,
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
        era : int
            Era of the store to which the revisions belong.
        """
        self.observe_era(era)
        self._entries.apply(
            items, revision, is_complete, self._outage_ended_at_s(), era
        )

    def remove_missing_upstreams(self) -> None:
        """Remove upstreams whose entries are still missing after an outage."""
        self._entries.remove_missing(self._outage_ended_at_s())

    def _apply_configuration(self, configuration, item):
        if configuration.version <= self._configuration.version:
            return
        routes = RouteTable(configuration.routes)
        self._configuration_item = item
        log.info(
            "Configuration in force.",
            version=configuration.version,
            before=self._configuration.version,
            routes=len(configuration.routes),
            revision=item.revision,
            era=self.store_era,
        )
        log_unknown_kinds(configuration)
        self._configuration = configuration
        self._routes = routes
        self._buckets.update(configuration.accounts)

    def _outage_ended_at_s(self) -> float:
        """Return when the store was back; a new era also ends a gap between proofs."""
        changed_at_s = self._store_era.changed_at_s
        if self._freshness.gap_began_at_s <= changed_at_s:
            return changed_at_s
        return self._freshness.gap_ended_at_s

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        if service not in self._budgets:
            bounds = self._bounds
            self._budgets[service] = RetryBudget(
                bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack
            )
        return self._budgets[service]
