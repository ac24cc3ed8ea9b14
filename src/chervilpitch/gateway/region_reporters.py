"""Which instance of each region exchanges usage counters with other regions."""

import itertools

from chervilpitch.policy import Member

from .rates import RateSharing
from .region import RegionView
from .state import GatewayState

__all__ = ["RegionReporters"]

MAX_AGGREGATOR_STALENESS_S = 0.9
"""Time after which an aggregator that is silent while rates are in use has stopped."""
MAX_REPORTER_STALENESS_S = 0.9
RECEIVERS_IF_SILENT = 2


class RegionReporters:
    """The reporter of this region, and those that were heard of other regions.

    The first aggregator by rank that is not silent reports for its region.

    Parameters
    ----------
    state : GatewayState
        State of this instance.
    region : RegionView
        Ranks and roles in the region.
    rates : RateSharing
        Usage counters.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self, state: GatewayState, region: RegionView, rates: RateSharing, clock
    ):
        self._members = state.members
        self._report_loss = state.report_loss
        self._region = region
        self._rates = rates
        self._clock = clock
        self._started_at_s = clock()
        self._aggregators_last_report_at_s: dict[str, float] = {}
        self._reporters: dict[str, tuple[str, float]] = {}

    def record_aggregator(self, name: str) -> None:
        """Record that another aggregator of this region was heard."""
        self._aggregators_last_report_at_s[name] = self._clock()

    def record_reporter(self, name: str) -> None:
        """Record that an instance reported the usage of its region."""
        member = self._members.get(name)
        if member is not None:
            self._reporters[member.region] = (name, self._clock())

    def is_own_turn(self) -> bool:
        """Return whether this instance reports for its region.

        While no rate is in use, aggregators may have nothing to say, and the first by
        rank reports. Another one can only continue what was reported before.
        """
        if self._region.is_first:
            return True
        if not self._rates.is_in_use() or not self._rates.is_following_region:
            return False
        own = self._members.own.name
        earlier = itertools.takewhile(
            lambda member: member.name != own, self._region.ranked
        )
        return self._region.is_aggregator and all(map(self._is_silent, earlier))

    def elsewhere(self) -> list[Member]:
        """Return the instances of other regions that receive this region's usage.

        That is the reporter of each region, or the first ones by rank while it is
        silent.
        """
        now_s = self._clock()
        receivers = []
        for region, members in self._members.in_other_regions(now_s).items():
            name, last_report_at_s = self._reporters.get(region, ("", float("-inf")))
            if now_s - last_report_at_s <= MAX_REPORTER_STALENESS_S:
                receivers += [item for item in members if item.name == name]
            else:
                receivers += members[:RECEIVERS_IF_SILENT]
        return receivers

    def _is_silent(self, member) -> bool:
        last_report_at_s = self._aggregators_last_report_at_s.get(
            member.name, self._started_at_s
        )
        expected_from_s = max(last_report_at_s, self._report_loss.in_use_from_s)
        return self._clock() - expected_from_s > MAX_AGGREGATOR_STALENESS_S
