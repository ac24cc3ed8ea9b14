"""Cost of distance between regions, given the loads that the regions state.

A fixed cost keeps requests in their region, as an upstream of another region takes two
more round trips between regions and its load is not known well. While the own region is
nearly full that cost is too high: its requests queue or are refused beside free slots
elsewhere. Once a second the regions state the slots and requests in progress of each
service, so that work may leave before queues grow, and only for regions with free
slots.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from chervilpitch.model import RequestKind

from .upstream_state import UpstreamState

__all__ = ["RegionCapacity", "ServiceLoad", "service_loads"]

REPORT_TTL_S = 3.0
"""Loads are stated once a second. Without a report for this long they are unknown."""
MAX_SERVICE_LOADS = 256
"""Loads of a report, so that it is bounded whatever the number of services."""
MAX_FAILURE_PROBABILITY = 0.5
"""Probability of failure from which the slots of an upstream are no capacity."""
NEARLY_FULL = 0.75
"""Utilization from which work may leave a region, or is not sent to it any more. The
rest is kept for requests that arrive before the next report."""
FULL = 1.0
BULK_LEAVES_AT = 1.25
"""Utilization from which bodies may cross the link between regions as freely as other
requests: a queue in the own region delays them longer than the link."""
MIN_DISTANCE_COST_S = 0.05
"""Two round trips between regions, for a new connection and for the request."""
MIN_BULK_DISTANCE_COST_S = 0.2
"""The same, and the time for a body on a link that others use too."""
MAX_QUEUE = 4.0
"""Largest queue that is counted, in multiples of the slots."""
BULK_KINDS = frozenset((RequestKind.UPLOAD, RequestKind.DOWNLOAD))


class ServiceLoad(NamedTuple):
    """Load from the instances of one region on the upstreams of a service in a region.

    Parameters
    ----------
    service : str
        Name of the service.
    region : str
        Region of the upstreams.
    slots : int
        Slots of these upstreams, stated by their own region only.
    in_flight : int
        Requests from the reporting region that are waiting for a response.
    """

    service: str
    region: str
    slots: int
    in_flight: int


class _Report(NamedTuple):
    """Loads that one region has stated, which count until a monotonic time."""

    loads: tuple[ServiceLoad, ...]
    expires_at_s: float


class _Total(NamedTuple):
    """Slots of a service in a region, and requests in progress from all regions."""

    slots: int
    in_flight: int

    @property
    def utilization(self) -> float:
        """Requests in progress as a multiple of the slots."""
        return self.in_flight / self.slots if self.slots else math.inf

    @property
    def queue(self) -> float:
        """Requests that find no slot, as a multiple of the slots."""
        return min(MAX_QUEUE, max(0.0, self.utilization - 1))


class _Queues(NamedTuple):
    """Queues by service in the last two reports of a region."""

    previous: Mapping[str, float]
    latest: Mapping[str, float]

    def lasting(self, service: str) -> float:
        """Return the queue that both reports show.

        Requests that are moved because of a report show in the next one only after a
        second. Acting on a single report would make work oscillate between regions.
        """
        return min(self.previous.get(service, 0.0), self.latest.get(service, 0.0))


class _Terms(NamedTuple):
    """What changes the cost of the distance to a service's upstreams in a region.

    Reliefs are shares of the fixed cost, from 0 to 1. The queue is a multiple of the
    slots.
    """

    relief: float
    bulk_relief: float
    queue: float
    expires_at_s: float


class RegionCapacity:
    """Loads that the regions have stated, and the cost of distance that follows.

    Parameters
    ----------
    own_region : str
        Region of this instance.
    regions : iterable of str
        All regions; reports of others are ignored.

    Examples
    --------
    >>> capacity = RegionCapacity("north", ("north", "south"))
    >>> capacity.record("north", [ServiceLoad("desk", "north", 40, 40)], now_s=10.0)
    True
    >>> capacity.record("south", [ServiceLoad("desk", "south", 40, 8)], now_s=10.0)
    True
    >>> desk = ("desk", "south", RequestKind.SAFE)
    >>> round(capacity.distance_cost_s(*desk, 0.3, typical_s=0.2, now_s=10.5), 3)
    0.05
    >>> capacity.distance_cost_s(*desk, 0.3, typical_s=0.2, now_s=13.5)
    0.3
    """

    def __init__(self, own_region: str, regions: Iterable[str]):
        self._own_region = own_region
        self._regions = frozenset(regions)
        self._reports: dict[str, _Report] = {}
        self._queues: dict[str, _Queues] = {}
        self._terms: dict[tuple[str, str], _Terms] = {}

    def record(self, region: str, loads: Iterable[ServiceLoad], now_s: float) -> bool:
        """Replace the loads that a region has stated; return False if it is unknown.

        Parameters
        ----------
        region : str
            Region that states them.
        loads : iterable of ServiceLoad
            Loads from its instances.
        now_s : float
            Monotonic time in seconds.
        """
        if region not in self._regions:
            return False
        kept = tuple(loads)[:MAX_SERVICE_LOADS]
        self._reports[region] = _Report(kept, now_s + REPORT_TTL_S)
        for name in [*self._reports]:
            if now_s >= self._reports[name].expires_at_s:
                del self._reports[name]
                self._queues.pop(name, None)
        totals = self._service_totals()
        latest = self._queues.get(region, _Queues({}, {})).latest
        queues = {
            service: total.queue
            for (service, upstream_region), total in totals.items()
            if upstream_region == region
        }
        self._queues[region] = _Queues(latest, queues)
        self._terms = self._current_terms(totals)
        return True

    def reporting_regions(self, now_s: float) -> tuple[str, ...]:
        """Return the regions whose latest report has not expired, in order."""
        return tuple(
            name
            for name, report in sorted(self._reports.items())
            if now_s < report.expires_at_s
        )

    def leaving_services(self, now_s: float) -> tuple[str, ...]:
        """Return the services whose requests may leave the region, in order."""
        services = {
            service
            for (service, _), terms in self._terms.items()
            if terms.relief and now_s < terms.expires_at_s
        }
        return tuple(sorted(services))

    def distance_cost_s(
        self,
        service: str,
        region: str | None,
        kind: RequestKind,
        fixed_s: float,
        typical_s: float,
        now_s: float,
    ) -> float:
        """Return the cost in seconds of using a service's upstreams of another region.

        Parameters
        ----------
        service : str
            Name of the service.
        region : str or None
            Region of the upstreams; None if it is not known.
        kind : RequestKind
            Kind of the request; uploads and downloads leave their region last.
        fixed_s : float
            Cost while the own region has free slots or loads are not known.
        typical_s : float
            Usual response time of the route.
        now_s : float
            Monotonic time in seconds.
        """
        terms = self._terms.get((service, region)) if region is not None else None
        if terms is None or now_s >= terms.expires_at_s:
            return fixed_s
        if kind in BULK_KINDS:
            relief, least_s = terms.bulk_relief, MIN_BULK_DISTANCE_COST_S
        else:
            relief, least_s = terms.relief, MIN_DISTANCE_COST_S
        saved_s = relief * max(0.0, fixed_s - least_s)
        return fixed_s - saved_s + terms.queue * typical_s

    def _service_totals(self) -> dict[tuple[str, str], _Total]:
        """Return slots and requests of all regions by service and region."""
        slots: dict[tuple[str, str], int] = {}
        in_flight: Counter[tuple[str, str]] = Counter()
        for region, report in self._reports.items():
            for load in report.loads:
                key = (load.service, load.region)
                in_flight[key] += load.in_flight
                if load.region == region:
                    slots[key] = load.slots
        return {key: _Total(count, in_flight[key]) for key, count in slots.items()}

    def _current_terms(self, totals) -> dict[tuple[str, str], _Terms]:
        """Return the terms of other regions' upstreams; none without own loads.

        A region without upstreams of a service has no distance to save.
        """
        own_report = self._reports.get(self._own_region)
        if own_report is None:
            return {}
        terms = {}
        for (service, region), total in totals.items():
            if region == self._own_region:
                continue
            own_total = totals.get((service, self._own_region))
            used = own_total.utilization if own_total else 0.0
            headroom = 1 - _ramp(total.utilization, NEARLY_FULL, FULL)
            terms[service, region] = _Terms(
                headroom * _ramp(used, NEARLY_FULL, FULL),
                headroom * _ramp(used, FULL, BULK_LEAVES_AT),
                self._queues[region].lasting(service),
                min(own_report.expires_at_s, self._reports[region].expires_at_s),
            )
        return terms


def service_loads(
    states: Iterable[UpstreamState],
    region_of: Mapping[str, str],
    own_region: str,
    now_s: float,
) -> tuple[ServiceLoad, ...]:
    """Return the loads that a region states, the largest ones if there are too many.

    Upstreams that are not usable or are probably failing have no capacity, and the
    requests that wait for them don't delay others. One with more requests than slots
    is late because of them, which is no sign of a failure.

    Parameters
    ----------
    states : iterable of UpstreamState
        All upstreams as seen by an instance that hears of its whole region.
    region_of : mapping of str to str
        Region of each failure domain.
    own_region : str
        Region that states the loads.
    now_s : float
        Monotonic time in seconds.
    """
    slots: Counter[tuple[str, str]] = Counter()
    in_flight: Counter[tuple[str, str]] = Counter()
    for state in states:
        entry = state.entry
        region = region_of.get(entry.failure_domain)
        if region is None:
            continue
        load = state.load(now_s)
        if region != own_region and not load:
            continue
        key = (entry.service, region)
        is_sound = state.is_usable(now_s) and (
            load > entry.slots
            or state.failure_probability(now_s) < MAX_FAILURE_PROBABILITY
        )
        slots[key] += entry.slots if is_sound and region == own_region else 0
        in_flight[key] += load if is_sound else 0
    loads = (ServiceLoad(*key, slots[key], in_flight[key]) for key in slots)
    ordered = sorted(loads, key=lambda load: (-load.in_flight, load))
    return tuple(ordered[:MAX_SERVICE_LOADS])


def _ramp(value: float, begin: float, end: float) -> float:
    """Return 0 up to the begin, 1 from the end on, and a linear share between them."""
    return min(1.0, max(0.0, (value - begin) / (end - begin)))
