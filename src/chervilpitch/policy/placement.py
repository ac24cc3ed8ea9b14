"""Choice of the upstream that serves a request.

Upstreams may hang although their health checks pass. Each instance therefore uses
the evidence of all instances of its region, and sends a request that must not be
retried to an upstream that has responded recently. Idempotent requests also explore
upstreams whose state is uncertain.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from chervilpitch.model import RequestKind, UpstreamEntry

from .latency import LatencyBaseline
from .region_capacity import RegionCapacity, ServiceLoad, service_loads
from .upstream_records import UpstreamReport
from .upstream_state import UpstreamState
from .work import RequestCost, unlearned_cost

__all__ = ["Choice", "Location", "UpstreamTable"]

FAILURE_COSTS_S = {
    RequestKind.SAFE: 0.8,
    RequestKind.DOWNLOAD: 0.8,
    RequestKind.UNSAFE: 2.5,
    RequestKind.UPLOAD: 2.5,
}
SAME_REGION_COSTS_S = {
    RequestKind.SAFE: 0.02,
    RequestKind.UNSAFE: 0.02,
    RequestKind.UPLOAD: 0.04,
    RequestKind.DOWNLOAD: 0.04,
}
OTHER_REGION_COSTS_S = {
    RequestKind.SAFE: 0.3,
    RequestKind.UNSAFE: 0.4,
    RequestKind.UPLOAD: 1.8,
    RequestKind.DOWNLOAD: 1.8,
}
LOAD_COST_PER_REQUEST_S = 0.02
MAX_JITTER_S = 0.02
MAX_CANDIDATES = 24
"""Upstreams compared for a request, in the region and in the other regions each."""
SAFE_EXPLORE_AFTER_S = 0.8
EXPLORE_SHARES = {
    RequestKind.SAFE: 0.6,
    RequestKind.DOWNLOAD: 0.6,
    RequestKind.UNSAFE: 0.25,
    RequestKind.UPLOAD: 0.25,
}
UNSAFE_EXPLORE_AFTER_S = 1.3
UNSAFE_MAX_FAILURE_PROBABILITY = 0.3
MAX_REMEMBERED_LEAVING = 4_000


class Location(NamedTuple):
    """Location of an instance.

    Parameters
    ----------
    region, failure_domain : str
        Region and failure domain of the instance.
    region_of : mapping of str to str
        Region of each failure domain.
    """

    region: str
    failure_domain: str
    region_of: Mapping[str, str]


class _ServiceUpstreams(NamedTuple):
    """Upstreams of one service, in this instance's region and in the others."""

    near: list[UpstreamState]
    far: list[UpstreamState]


class Choice(NamedTuple):
    """An upstream chosen for a request.

    Parameters
    ----------
    upstream : UpstreamState
        The upstream.
    expected_s : float
        Expected response time in seconds.
    cost : RequestCost
        Estimated cost of the request.
    """

    upstream: UpstreamState
    expected_s: float
    cost: RequestCost


class UpstreamTable:
    """State of all upstreams.

    Parameters
    ----------
    location : Location
        Location of this instance.
    """

    def __init__(self, location: Location):
        self._location = location
        self._states: dict[str, UpstreamState] = {}
        self._by_service: dict[str, _ServiceUpstreams] = {}
        self._unreported: set[UpstreamState] = set()
        self._unlisted_leaving: dict[str, UpstreamEntry] = {}
        self._last_attempt_number = 0
        self._region_capacity = RegionCapacity(
            location.region, location.region_of.values()
        )

    @property
    def region_capacity(self) -> RegionCapacity:
        """Loads that the regions have stated."""
        return self._region_capacity

    def record_region_loads(
        self, region: str, loads: Iterable[ServiceLoad], now_s: float
    ) -> bool:
        """Record the loads that a region states; return False if it is unknown."""
        return self._region_capacity.record(region, loads, now_s)

    def service_loads(self, now_s: float) -> tuple[ServiceLoad, ...]:
        """Return the loads that this instance's region states to the others."""
        location = self._location
        return service_loads(
            self._states.values(), location.region_of, location.region, now_s
        )

    def update_entries(self, entries: Iterable[UpstreamEntry], now_s: float) -> None:
        """Replace the list of upstreams, keeping the state of those that remain.

        An upstream that is leaving stays so if its entry is lost for a while and comes
        back in the same incarnation.
        """
        listed = {entry.name: entry for entry in entries}
        states = {}
        for name, entry in listed.items():
            state = self._states.get(name)
            if state is None or _is_restart(state.entry, entry):
                state = self._new_state(entry, now_s)
            else:
                state.update_entry(entry)
            states[name] = state
        for name in self._states.keys() - states.keys():
            self._remember_leaving(self._states[name])
        self._states = states
        self._by_service = {}
        for state in states.values():
            upstreams = self._by_service.setdefault(
                state.entry.service, _ServiceUpstreams([], [])
            )
            is_near = self._is_in_region(state)
            (upstreams.near if is_near else upstreams.far).append(state)

    def get(self, name: str) -> UpstreamState | None:
        """Return the state of an upstream, or None if it is not listed."""
        return self._states.get(name)

    def count(self, service: str) -> int:
        """Return the number of upstreams listed for a service."""
        upstreams = self._by_service.get(service)
        return len(upstreams.near) + len(upstreams.far) if upstreams else 0

    def next_attempt_number(self) -> int:
        """Return a new number that identifies an attempt."""
        self._last_attempt_number += 1
        return self._last_attempt_number

    def choose(
        self,
        service: str,
        kind: RequestKind,
        baseline: LatencyBaseline,
        excluded: frozenset[str],
        now_s: float,
        draws: Iterable[float],
        cost: RequestCost | None = None,
    ) -> Choice | None:
        """Return the upstream with the lowest expected cost for a request.

        Candidates are all usable upstreams of a small service, and random samples of
        those in the region and in other regions otherwise, so that a choice costs
        the same at any number of upstreams. The cost in seconds adds up the expected
        response time, the risk of failure, the work left, the distance and a random
        jitter. A share of the requests explores instead: they go to the upstream of
        the region that was tried least recently.

        Parameters
        ----------
        service : str
            Name of the service.
        kind : RequestKind
            Kind of the request, which says whether it may be retried.
        baseline : LatencyBaseline
            Response times of the route.
        excluded : frozenset of str
            Upstreams to which the request has already been sent.
        now_s : float
            Monotonic time in seconds.
        draws : iterable of float
            Unlimited random numbers from 0 to 1.
        cost : RequestCost or None
            Estimated cost; None if only the response times of the route are known.

        Returns
        -------
        Choice or None
            None if no upstream is usable.
        """
        upstreams = self._by_service.get(service)
        if upstreams is None:
            return None
        random_numbers = iter(draws)
        near = _sample_usable(upstreams.near, excluded, now_s, random_numbers)
        far = _sample_usable(upstreams.far, excluded, now_s, random_numbers)
        if not near and not far:
            return None
        if cost is None:
            cost = unlearned_cost(baseline)
        if next(random_numbers) < EXPLORE_SHARES[kind]:
            explored = self._explore(near, kind, now_s)
            if explored is not None:
                return Choice(explored, explored.expect(cost, now_s)[0], cost)
        candidates = [*near, *far]
        costs_s = [
            self._cost_s(state, kind, cost, now_s) + next(random_numbers) * MAX_JITTER_S
            for state in candidates
        ]
        best = candidates[costs_s.index(min(costs_s))]
        return Choice(best, best.expect(cost, now_s)[0], cost)

    def add_reports(
        self, reports: Iterable[UpstreamReport], source: str, now_s: float
    ) -> bool:
        """Add the reports of another instance.

        Parameters
        ----------
        reports : iterable of UpstreamReport
            Reports received; those on unlisted upstreams are ignored.
        source : str
            Incarnation of the reporting instance.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether they hold new evidence of failure that others should know at once.
        """
        is_urgent = False
        for report in reports:
            state = self._states.get(report.upstream)
            if state is not None and state.add_report(report, source, now_s):
                is_urgent = True
        return is_urgent

    def forget_reported_loads(self) -> None:
        """Forget the loads that others have reported; they are to be reported anew.

        This is for a change of the sources: the same load must not count under two.
        """
        for state in self._states.values():
            state.forget_reported_loads()

    def is_report_urgent(self, now_s: float) -> bool:
        """Return whether reports should be sent without delay."""
        return any(state.is_report_urgent(now_s) for state in self._unreported)

    def next_reports(self, now_s: float) -> tuple[UpstreamReport, ...]:
        """Return the reports for other instances and start new ones."""
        reports = [
            (state, state.next_report(now_s)) for state in tuple(self._unreported)
        ]
        return tuple(
            report
            for state, report in reports
            if report is not None and self._states.get(report.upstream) is state
        )

    def _new_state(self, entry, now_s) -> UpstreamState:
        state = UpstreamState(entry, now_s, self._unreported)
        left = self._unlisted_leaving.pop(entry.name, None)
        if left is not None and not _is_restart(left, entry):
            state.mark_leaving()
        return state

    def _remember_leaving(self, state):
        """Remember an upstream that is leaving and not listed any more."""
        if not state.is_leaving:
            return
        self._unlisted_leaving[state.entry.name] = state.entry
        while len(self._unlisted_leaving) > MAX_REMEMBERED_LEAVING:
            del self._unlisted_leaving[next(iter(self._unlisted_leaving))]

    def _explore(self, near, kind, now_s) -> UpstreamState | None:
        """Return the upstream of the region tried least recently, if it is due.

        A request that is not idempotent explores only an upstream that is unlikely
        to be failing.
        """
        if not near:
            return None
        state = min(near, key=lambda item: item.tried_at_s)
        untried_s = now_s - state.tried_at_s
        if kind.is_idempotent:
            return state if untried_s > SAFE_EXPLORE_AFTER_S else None
        is_healthy = state.failure_probability(now_s) < UNSAFE_MAX_FAILURE_PROBABILITY
        return state if untried_s > UNSAFE_EXPLORE_AFTER_S and is_healthy else None

    def _cost_s(self, state, kind, cost, now_s):
        expected_s, work_left_s = state.expect(cost, now_s)
        return (
            expected_s
            + FAILURE_COSTS_S[kind] * state.failure_probability(now_s)
            + LOAD_COST_PER_REQUEST_S * work_left_s / cost.service_mean_s
            + self._distance_cost_s(state, kind, cost.service_mean_s, now_s)
        )

    def _distance_cost_s(self, state, kind, typical_s, now_s):
        domain = state.entry.failure_domain
        if domain == self._location.failure_domain:
            return 0.0
        region = self._location.region_of.get(domain)
        if region == self._location.region:
            return SAME_REGION_COSTS_S[kind]
        fixed_s = OTHER_REGION_COSTS_S[kind]
        return self._region_capacity.distance_cost_s(
            state.entry.service, region, kind, fixed_s, typical_s, now_s
        )

    def _is_in_region(self, state):
        region = self._location.region_of.get(state.entry.failure_domain)
        return region == self._location.region


def _sample_usable(states, excluded, now_s, random_numbers) -> list[UpstreamState]:
    """Return the usable upstreams among all of a few, or among a random sample.

    All of them are considered if none of the sample is usable.
    """
    if len(states) <= MAX_CANDIDATES:
        return _usable(states, excluded, now_s)
    indices = {int(next(random_numbers) * len(states)) for _ in range(MAX_CANDIDATES)}
    sample = _usable((states[index] for index in indices), excluded, now_s)
    return sample or _usable(states, excluded, now_s)


def _usable(states, excluded, now_s) -> list[UpstreamState]:
    if not excluded:
        return [state for state in states if state.is_usable(now_s)]
    return [
        state
        for state in states
        if state.entry.name not in excluded and state.is_usable(now_s)
    ]


def _is_restart(known: UpstreamEntry, entry: UpstreamEntry) -> bool:
    return known.born_ms != entry.born_ms or known.address != entry.address
