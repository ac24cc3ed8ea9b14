"""Exchange of the loads of services between regions."""

from collections.abc import Callable, Iterable

from chervilpitch.observe import part_logger
from chervilpitch.policy import Member

from .messages import RegionLoads
from .region import RegionView
from .region_reporters import RegionReporters
from .state import GatewayState

__all__ = ["RegionLoadExchange"]

log = part_logger("fleet")

INTERVAL_S = 1.0
LOG_INTERVAL_S = 5.0
"""Minimum time between two log lines on the loads."""
MAX_LOGGED_SERVICES = 8


class RegionLoadExchange:
    """Send the loads of this region, and pass on those of all regions.

    The reporter of a region sends them to the reporters of the other regions and to
    the aggregators of its own. Aggregators pass them on to their groups.

    Parameters
    ----------
    state : GatewayState
        State of this instance.
    region : RegionView
        Ranks and roles in the region.
    reporters : RegionReporters
        The reporter of this region, and those of the others.
    send : callable
        Called with the instances to send to, and the message.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        state: GatewayState,
        region: RegionView,
        reporters: RegionReporters,
        send: Callable[[Iterable[Member], RegionLoads], None],
        clock,
    ):
        self._upstreams = state.upstreams
        self._own_region = state.members.own.region
        self._region = region
        self._reporters = reporters
        self._send = send
        self._clock = clock
        self._due_at_s = float("-inf")
        self._unrelayed: dict[str, RegionLoads] = {}
        self._logged: tuple[tuple[str, ...], tuple[str, ...]] = ((), ())
        self._log_due_at_s = float("-inf")

    def send(self) -> None:
        """Send this region's loads if this instance reports them and they are due.

        Nothing is sent while no other region is known.
        """
        now_s = self._clock()
        if now_s < self._due_at_s or not self._reporters.is_own_turn():
            return
        self._due_at_s = now_s + INTERVAL_S
        elsewhere = self._reporters.elsewhere()
        if not elsewhere:
            return
        message = RegionLoads(self._own_region, self._upstreams.service_loads(now_s))
        self._record(message)
        self._send(elsewhere, message)
        self._send(self._region.other_aggregators, message)
        self._log_change(now_s)

    def receive(self, message: RegionLoads, sender: str) -> None:
        """Record the loads of a region; pass on those that come from another region.

        Loads of the own region count only if they come from within it.
        """
        is_sender_near = any(item.name == sender for item in self._region.ranked)
        if message.region == self._own_region and not is_sender_near:
            return
        self._record(message)
        if not is_sender_near:
            self._send(self._region.other_aggregators, message)

    def receive_relayed(self, messages: Iterable[RegionLoads]) -> None:
        """Record the loads that this instance's aggregator passes on."""
        for message in messages:
            self._upstreams.record_region_loads(
                message.region, message.loads, self._clock()
            )

    def take_unrelayed(self) -> tuple[RegionLoads, ...]:
        """Return the latest loads of each region to pass on to the group."""
        messages = tuple(self._unrelayed.values())
        self._unrelayed.clear()
        return messages

    def _record(self, message: RegionLoads):
        region, loads = message
        if self._upstreams.record_region_loads(region, loads, self._clock()):
            self._unrelayed[region] = message

    def _log_change(self, now_s):
        """Log which regions are heard, and whose requests may leave, if it changed."""
        capacity = self._upstreams.region_capacity
        heard = capacity.reporting_regions(now_s)
        leaving = capacity.leaving_services(now_s)
        if (heard, leaving) == self._logged or now_s < self._log_due_at_s:
            return
        self._logged = (heard, leaving)
        self._log_due_at_s = now_s + LOG_INTERVAL_S
        log.info(
            "Loads of regions changed.",
            regions_heard=list(heard),
            services_leaving=list(leaving[:MAX_LOGGED_SERVICES]),
            leaving_count=len(leaving),
        )
