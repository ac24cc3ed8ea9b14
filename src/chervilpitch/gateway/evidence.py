"""Exchange of evidence on upstreams and of usage counters within a region."""

from collections.abc import Iterable

from chervilpitch.policy import AccountUsage, ReportTotals

from .messages import (
    Evidence,
    InstanceEvidence,
    RegionLoads,
    RegionUsage,
    RelayedEvidence,
    SourcedEvidence,
    group_source_of,
    others_source_of,
    region_of,
    source_of,
)
from .peers import PeerSocket
from .rates import RateSharing
from .region import RegionView
from .region_loads import RegionLoadExchange
from .region_reporters import RegionReporters
from .state import GatewayState

__all__ = ["EvidenceExchange"]

INTERVAL_S = 0.28
MIN_URGENT_INTERVAL_S = 0.1
KEEP_ALIVE_INTERVAL_S = 0.8
UNCONFIRMED_INTERVAL_S = 0.8
"""Interval at which counters that the aggregator has not confirmed are sent again."""
REGION_USAGE_INTERVAL_S = 0.5
ALL_REGION_USAGE_INTERVAL_S = 3.0
"""Interval at which all counters are sent again, as datagrams may be lost."""
MAX_RELAYED_ITEMS = 400
"""Evidence kept for the group between two messages; older evidence is dropped."""


class EvidenceExchange:
    """Send this instance's evidence, and as an aggregator that of its group.

    Urgent evidence is sent at the next check, the rest in batches.

    Parameters
    ----------
    state : GatewayState
        State of this instance.
    region : RegionView
        Ranks and roles in the region.
    socket : PeerSocket
        Socket to the other instances.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self, state: GatewayState, region: RegionView, socket: PeerSocket, clock
    ):
        self._state = state
        self._members = state.members
        self._region = region
        self._socket = socket
        self._clock = clock
        self._rates = RateSharing(state, clock)
        self._reporters = RegionReporters(state, region, self._rates, clock)
        self._region_loads = RegionLoadExchange(
            state, region, self._reporters, self._send, clock
        )
        self._totals = ReportTotals()
        self._others_totals = ReportTotals()
        self._relayed: list[SourcedEvidence] = []
        self._is_relay_urgent = False
        self._sent_at_s = float("-inf")
        self._aggregator = ""
        self._relayed_at_s = float("-inf")
        self._unconfirmed_due_at_s = float("-inf")
        self._region_usage_due_at_s = float("-inf")
        self._all_region_usage_due_at_s = float("-inf")

    def send(self) -> None:
        """Send the evidence that is due or urgent."""
        now_s = self._clock()
        own = self._members.own
        has_urgent_reports = self._state.upstreams.is_report_urgent(now_s)
        is_urgent = (
            has_urgent_reports
            or self._totals.is_urgent(now_s)
            or self._rates.is_report_urgent()
        )
        if _is_due(now_s - self._sent_at_s, is_urgent):
            if self._region.is_aggregator:
                self._is_relay_urgent = self._is_relay_urgent or has_urgent_reports
                self._send_to_aggregators(source_of(own.name, own.incarnation), now_s)
            else:
                self._send_to_aggregator(now_s)
        if _is_due(now_s - self._relayed_at_s, self._is_relay_urgent):
            self._relay_to_group(now_s)

    def send_region_usage(self) -> None:
        """Send this region's usage to other regions if this instance reports it.

        Counters that changed are sent once per interval, or without delay while the
        bucket of one is low. In each region, the instance that reports receives them
        and passes them on. The other aggregators of this region receive them too, to
        continue them if this instance stops.
        """
        if not self._reporters.is_own_turn():
            return
        now_s = self._clock()
        is_urgent = self._rates.is_region_report_urgent()
        if now_s < self._region_usage_due_at_s and not is_urgent:
            return
        self._region_usage_due_at_s = now_s + REGION_USAGE_INTERVAL_S
        if now_s >= self._all_region_usage_due_at_s:
            self._all_region_usage_due_at_s = now_s + ALL_REGION_USAGE_INTERVAL_S
            self._rates.send_region_usage_again()
        usages = self._rates.take_unsent_region_usage()
        if not usages and not self._rates.is_in_use():
            return
        message = RegionUsage(self._rates.region_source, usages)
        self._send(self._reporters.elsewhere(), message)
        self._send(self._region.other_aggregators, message)

    def send_region_loads(self) -> None:
        """Send the loads of this region if this instance reports them."""
        self._region_loads.send()

    def receive_region_loads(self, message: RegionLoads, sender: str) -> None:
        """Record the loads of a region, and pass them on within this one."""
        self._region_loads.receive(message, sender)

    def receive_from_aggregator(
        self, message: Evidence, sender: str, incarnation: int
    ) -> None:
        """Record the sums of another aggregator, and add them up for the group."""
        source = group_source_of(sender, incarnation)
        now_s = self._clock()
        self._reporters.record_aggregator(sender)
        self._others_totals.add(source, message.upstreams, now_s)
        is_urgent = self._state.upstreams.add_reports(message.upstreams, source, now_s)
        self._rates.record_aggregate_usage(source, message.usages, message.is_continued)
        if is_urgent or self._has_low_account(message.usages):
            self._is_relay_urgent = True
            self.send()

    def receive_from_instance(
        self, message: InstanceEvidence, sender: str, incarnation: int, address: str
    ) -> None:
        """Record and add up the evidence of an instance of this one's group."""
        source = source_of(sender, incarnation)
        now_s = self._clock()
        if sender not in self._region.group.addresses(now_s):
            self._rates.send_others_usage_again()
        self._region.group.record(sender, address, now_s)
        self._totals.add(source, message.upstreams, now_s)
        is_urgent = self._state.upstreams.add_reports(message.upstreams, source, now_s)
        usages = self._rates.record_instance_usage(
            source,
            message.usages,
            message.is_continued,
            message.aggregator_incarnation,
        )
        if message.upstreams or usages:
            self._keep(
                SourcedEvidence(source, message.upstreams, usages, message.is_continued)
            )
        if is_urgent or self._has_low_account(message.usages):
            self._is_relay_urgent = True
            self.send()

    def receive_from_own_aggregator(
        self, message: RelayedEvidence, sender: str
    ) -> None:
        """Record what this instance's aggregator passes on, except its own evidence.

        An earlier aggregator may still send the same evidence. That is ignored but for
        the confirmation of what it has counted of this instance.
        """
        own = self._members.own
        own_source = source_of(own.name, own.incarnation)
        for item in message.items:
            if item.source == own_source:
                self._rates.confirm_own_usage(item.usages)
        aggregator = self._region.aggregator
        if aggregator is None or sender != aggregator.name:
            return
        now_s = self._clock()
        self._rates.record_relay()
        self._region_loads.receive_relayed(message.region_loads)
        for item in message.items:
            if item.source != own_source:
                self._state.upstreams.add_reports(item.upstreams, item.source, now_s)
                self._record_relayed_usage(item, sender)

    def receive_from_region(self, message: RegionUsage, sender: str) -> None:
        """Record the usage of another region, and pass it on within this one.

        That of this region is continued if its reporter stops.
        """
        if region_of(message.source) == self._members.own.region:
            if not self._reporters.is_own_turn():
                self._rates.follow_region_usage(message.source, message.usages)
            return
        self._rates.record_region_usage(message.source, message.usages)
        self._keep(SourcedEvidence(message.source, (), message.usages, is_sum=True))
        self._is_relay_urgent |= self._has_low_account(message.usages)
        if all(member.name != sender for member in self._region.ranked):
            self._reporters.record_reporter(sender)
            self._send(self._region.other_aggregators, message)

    def _send_to_aggregators(self, own_source, now_s):
        """Send the sums of the group, and keep this instance's part for the group."""
        names = [member.name for member in self._region.other_aggregators]
        self._rates.set_receivers(names, "")
        self._set_aggregator("")
        reports = self._state.upstreams.next_reports(now_s)
        usages = self._rates.take_unsent_usage()
        self._totals.add(own_source, reports, now_s)
        sums = self._totals.take(now_s)
        usage_sums = self._rates.take_unsent_group_usage()
        is_continued = self._rates.is_continued
        if reports or usages:
            self._keep(SourcedEvidence(own_source, reports, usages, is_continued))
        if sums or usage_sums or self._rates.is_in_use():
            message = Evidence(sums, usage_sums, is_continued)
            self._send(self._region.other_aggregators, message)
            self._sent_at_s = now_s

    def _send_to_aggregator(self, now_s):
        aggregator = self._region.aggregator
        if aggregator is None:
            return
        self._rates.set_receivers(
            (aggregator.name,), aggregator.name, aggregator.incarnation
        )
        if now_s >= self._unconfirmed_due_at_s:
            self._unconfirmed_due_at_s = now_s + UNCONFIRMED_INTERVAL_S
            self._rates.send_unconfirmed_usage_again()
        reports = self._state.upstreams.next_reports(now_s)
        usages = self._rates.take_unsent_usage()
        is_joining = self._set_aggregator(aggregator.name)
        is_keep_alive_due = now_s - self._sent_at_s >= KEEP_ALIVE_INTERVAL_S
        if reports or usages or is_joining or is_keep_alive_due:
            message = InstanceEvidence(
                reports, usages, self._rates.is_continued, aggregator.incarnation
            )
            self._send([aggregator], message)
            self._sent_at_s = now_s

    def _set_aggregator(self, name) -> bool:
        """Set the aggregator, empty if this is one itself; return whether it changed.

        Loads are then reported under other sources.
        """
        has_changed = name != self._aggregator
        if has_changed:
            self._state.upstreams.forget_reported_loads()
        self._aggregator = name
        return has_changed

    def _relay_to_group(self, now_s):
        addresses = self._region.group.addresses(now_s).values()
        if addresses:
            self._keep_others(now_s)
        region_loads = self._region_loads.take_unrelayed()
        if addresses and (self._relayed or region_loads or self._rates.is_in_use()):
            message = RelayedEvidence(tuple(self._relayed), region_loads)
            self._socket.send(list(addresses), message)
            self._relayed_at_s = now_s
        self._relayed = []
        self._is_relay_urgent = False

    def _keep_others(self, now_s):
        """Keep the sums of the other aggregators for the group's next message."""
        own = self._members.own
        source = others_source_of(own.name, own.incarnation)
        reports = self._others_totals.take(now_s)
        usages = self._rates.take_unsent_others_usage()
        if reports or usages:
            self._relayed.append(SourcedEvidence(source, reports, usages, is_sum=True))

    def _record_relayed_usage(self, item: SourcedEvidence, sender: str):
        if item.source.startswith(f"{sender}/"):
            self._rates.record_summed_usage(item.source, item.usages)
        elif item.is_sum:
            self._rates.record_region_usage(item.source, item.usages)
        else:
            self._rates.record_relayed_usage(
                item.source, item.usages, item.is_continued
            )

    def _keep(self, item: SourcedEvidence):
        """Keep evidence for the group's next message."""
        self._relayed.append(item)
        if len(self._relayed) > MAX_RELAYED_ITEMS:
            del self._relayed[0]

    def _has_low_account(self, usages: Iterable[AccountUsage]) -> bool:
        return any(self._rates.is_low(usage.account) for usage in usages)

    def _send(self, members, message):
        self._socket.send([member.peers_address for member in members], message)


def _is_due(elapsed_s: float, is_urgent: bool) -> bool:
    return elapsed_s >= (MIN_URGENT_INTERVAL_S if is_urgent else INTERVAL_S)
