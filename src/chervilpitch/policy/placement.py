"""Which upstream gets a request.

Answers upstreams that hang while their health check is good: evidence of all
instances of a region counts, and a request that must not be repeated goes where an
answer came back lately. Requests that may be repeated try those in doubt.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from chervilpitch.model import RequestKind, UpstreamEntry

from .latency import LatencyBaseline
from .upstream_state import UpstreamReport, UpstreamState

__all__ = ["Choice", "Location", "UpstreamTable"]

FAILURE_COST_S = {
    RequestKind.SAFE: 0.8,
    RequestKind.UNSAFE: 2.5,
    RequestKind.UPLOAD: 2.5,
}
SAME_REGION_COSTS_S = {
    RequestKind.SAFE: 0.02,
    RequestKind.UNSAFE: 0.02,
    RequestKind.UPLOAD: 0.04,
}
ELSEWHERE_COSTS_S = {
    RequestKind.SAFE: 0.3,
    RequestKind.UNSAFE: 0.4,
    RequestKind.UPLOAD: 1.8,
}
LOAD_COST_S = 0.02
JITTER_S = 0.02
SCOUT_AFTER_S = 0.8
SCOUT_SHARES = {
    RequestKind.SAFE: 0.6,
    RequestKind.UNSAFE: 0.25,
    RequestKind.UPLOAD: 0.25,
}
UNTRIED_S = 1.3
UNTRIED_SUSPICION = 0.3


class Location(NamedTuple):
    """Where an instance runs.

    Parameters
    ----------
    region, failure_domain : str
        Its region and failure domain.
    region_of : mapping of str to str
        Region of each failure domain.
    """

    region: str
    failure_domain: str
    region_of: Mapping[str, str]


class Choice(NamedTuple):
    """An upstream chosen for a request.

    Parameters
    ----------
    upstream : UpstreamState
        The upstream.
    expected_s : float
        Seconds until its answer is expected.
    """

    upstream: UpstreamState
    expected_s: float


class UpstreamTable:
    """All upstreams and what is known of them.

    Parameters
    ----------
    location : Location
        Where this instance runs.
    """

    def __init__(self, location: Location):
        self._location = location
        self._states: dict[str, UpstreamState] = {}
        self._by_service: dict[str, dict[str, UpstreamState]] = {}
        self._next_number = 0

    def update_entries(self, entries: Iterable[UpstreamEntry], now_s: float) -> None:
        """Take in the complete list of upstreams."""
        listed = {entry.name: entry for entry in entries}
        states = {}
        for name, entry in listed.items():
            state = self._states.get(name)
            if state is None or _is_new_start(state.entry, entry):
                state = UpstreamState(entry, now_s)
            else:
                state.update_entry(entry)
            states[name] = state
        self._states = states
        self._by_service = {}
        for name, state in states.items():
            self._by_service.setdefault(state.entry.service, {})[name] = state

    def get(self, name: str) -> UpstreamState | None:
        """Return what is known of an upstream."""
        return self._states.get(name)

    def count(self, service: str) -> int:
        """Return the number of upstreams that are listed for a service."""
        return len(self._by_service.get(service, ()))

    def next_attempt_number(self) -> int:
        """Return a number for an exchange."""
        self._next_number += 1
        return self._next_number

    def choose(
        self,
        service: str,
        kind: RequestKind,
        baseline: LatencyBaseline,
        excluded: frozenset[str],
        now_s: float,
        draws: Iterable[float],
    ) -> Choice | None:
        """Return the upstream that costs a request the least expected time.

        Parameters
        ----------
        service : str
            Name of the service.
        kind : RequestKind
            What may be repeated.
        baseline : LatencyBaseline
            How long answers of the route take.
        excluded : frozenset of str
            Upstreams that the request was sent to before.
        now_s : float
            Monotonic time in seconds.
        draws : iterable of float
            Random numbers from 0 to 1, one for each candidate and one more.

        Returns
        -------
        Choice or None
            None when no upstream can take the request.
        """
        usable = [
            state
            for name, state in self._by_service.get(service, {}).items()
            if name not in excluded and state.is_usable(now_s)
        ]
        if not usable:
            return None
        numbers = iter(draws)
        if next(numbers) < SCOUT_SHARES[kind]:
            scouted = self._to_scout(usable, kind, now_s)
            if scouted is not None:
                return Choice(scouted, self._expected_s(scouted, baseline, now_s))
        costs = [
            (self._cost_s(state, kind, baseline, now_s) + next(numbers) * JITTER_S, at)
            for at, state in enumerate(usable)
        ]
        best = usable[min(costs)[1]]
        return Choice(best, self._expected_s(best, baseline, now_s))

    def add_reports(
        self, reports: Iterable[UpstreamReport], source: str, now_s: float
    ) -> None:
        """Take in what another instance tells."""
        for report in reports:
            state = self._states.get(report.upstream)
            if state is not None:
                state.add_report(report, source, now_s)

    def is_report_urgent(self, now_s: float) -> bool:
        """Return whether others should know at once what happened."""
        return any(state.is_report_urgent(now_s) for state in self._states.values())

    def next_reports(self, now_s: float) -> tuple[UpstreamReport, ...]:
        """Return what is to be told to others."""
        made = (state.next_report(now_s) for state in self._states.values())
        return tuple(report for report in made if report is not None)

    def _to_scout(self, usable, kind, now_s) -> UpstreamState | None:
        """Return the upstream in the region that was tried least lately."""
        near = [state for state in usable if self._is_near(state)]
        if not near:
            return None
        state = min(near, key=lambda item: item.tried_at_s)
        untried_s = now_s - state.tried_at_s
        if kind.is_idempotent:
            return state if untried_s > SCOUT_AFTER_S else None
        is_sound = state.failure_probability(now_s) < UNTRIED_SUSPICION
        return state if untried_s > UNTRIED_S and is_sound else None

    def _cost_s(self, state, kind, baseline, now_s):
        failure_s = FAILURE_COST_S[kind] * state.failure_probability(now_s)
        load_s = LOAD_COST_S * state.load(now_s)
        distance_s = self._distance_s(state, kind)
        return (
            self._expected_s(state, baseline, now_s) + failure_s + load_s + distance_s
        )

    def _expected_s(self, state, baseline, now_s):
        slots = state.entry.slots
        queued = max(0, state.load(now_s) + 1 - slots)
        usual_s = min(baseline.median_s, baseline.aim_s / 2)
        return usual_s * state.slowness(now_s) * (1 + queued / slots)

    def _distance_s(self, state, kind):
        domain = state.entry.failure_domain
        if domain == self._location.failure_domain:
            return 0.0
        costs_s = SAME_REGION_COSTS_S if self._is_near(state) else ELSEWHERE_COSTS_S
        return costs_s[kind]

    def _is_near(self, state):
        region = self._location.region_of.get(state.entry.failure_domain)
        return region == self._location.region


def _is_new_start(known: UpstreamEntry, entry: UpstreamEntry) -> bool:
    return known.born_ms != entry.born_ms or known.address != entry.address
