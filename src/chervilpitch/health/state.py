"""State of the detector of one instance."""

import math
from collections.abc import Mapping
from typing import Any, NamedTuple

from chervilpitch.model import Upstream, region_of

from .baseline import LatencyTable
from .scores import NO_SCORES, Scores

__all__ = ["Exchange", "HealthState", "RoundTrips", "UpstreamHealth"]

NEVER_S = -math.inf
PROCESS_PAUSE_S = 0.5


class RoundTrips(NamedTuple):
    """Expected network round trips, which do not count against an upstream.

    Parameters
    ----------
    in_region_s : float
        Round trip to another failure domain of the region, in seconds.
    between_regions_s : float
        Round trip to another region, in seconds.
    """

    in_region_s: float = 0.003
    between_regions_s: float = 0.016


class UpstreamHealth(NamedTuple):
    """Health of one upstream.

    Parameters
    ----------
    upstream : Upstream
        The upstream as declared.
    scores : Scores
        CUSUM scores.
    error_flags : tuple of bool
        Whether each of the last exchanges ended in an error, oldest first;
        stalled, shed and abandoned ones are not recorded.
    ended_at_s : tuple of float
        When the last few exchanges ended, oldest first.
    suspect_from_at_s : float
        When its scores last rose from zero; infinite while they are zero.
    ejected_until_at_s : float or None
        Earliest time of readmission; None when not ejected.
    ejections : int
        Number of recent ejections; each doubles the length of the next.
    ejections_halved_at_s : float
        When the number of recent ejections is halved.
    ramp_ends_at_s : float
        When it gets its normal share of traffic again.
    draining_until_at_s : float
        When its own announcement that it is draining expires.
    reported_until_at_s : float
        When reports of other instances stop lowering its weight.
    probe_at_s : float
        When the next probe is due; infinite for none.
    """

    upstream: Upstream
    scores: Scores = NO_SCORES
    error_flags: tuple[bool, ...] = ()
    ended_at_s: tuple[float, ...] = ()
    suspect_from_at_s: float = math.inf
    ejected_until_at_s: float | None = None
    ejections: int = 0
    ejections_halved_at_s: float = math.inf
    ramp_ends_at_s: float = NEVER_S
    draining_until_at_s: float = NEVER_S
    reported_until_at_s: float = NEVER_S
    probe_at_s: float = math.inf


class Exchange(NamedTuple):
    """A request in flight.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    route : str
        Name of the route.
    request_bytes : int
        Size of the request body in bytes.
    is_reused : bool
        Whether the connection has carried an exchange before.
    started_at_s : float
        When it started.
    silent_from_at_s : float
        When the upstream last sent data; before that, when the whole request was
        sent or, until then, when the exchange started.
    has_response_started : bool
        Whether the first byte of the response has arrived.
    is_waiting : bool
        Whether the instance waits for the upstream rather than for the caller.
    """

    upstream: str
    route: str
    request_bytes: int
    is_reused: bool
    started_at_s: float
    silent_from_at_s: float
    has_response_started: bool = False
    is_waiting: bool = True


class HealthState:
    """Health of all upstreams as observed by one instance.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the instance.
    round_trips : RoundTrips
        Expected network round trips.
    """

    def __init__(
        self, failure_domain: str, round_trips: RoundTrips = RoundTrips()
    ) -> None:
        self._failure_domain = failure_domain
        self._round_trips = round_trips
        self._upstreams: dict[str, UpstreamHealth] = {}
        self._services: dict[str, tuple[str, ...]] = {}
        self._exchanges: dict[Any, Exchange] = {}
        self._in_flight: dict[str, set] = {}
        self._latencies = LatencyTable()
        self._now_s = NEVER_S
        self._ticked_at_s: float | None = None
        self._resumed_at_s = NEVER_S
        self._report_at_s = NEVER_S
        self._probes_resume_at_s = NEVER_S

    @property
    def upstreams(self) -> Mapping[str, UpstreamHealth]:
        """Health of each upstream, by name."""
        return self._upstreams

    @property
    def services(self) -> Mapping[str, tuple[str, ...]]:
        """Names of the upstreams of each service."""
        return self._services

    @property
    def exchanges(self) -> Mapping[Any, Exchange]:
        """Exchanges in flight, by id."""
        return self._exchanges

    @property
    def latencies(self) -> LatencyTable:
        """Recent latencies by class of request and upstream."""
        return self._latencies

    @property
    def resumed_at_s(self) -> float:
        """When the process last resumed after a pause."""
        return self._resumed_at_s

    def monotonic_time(self, now_s: float) -> float:
        """Return the time, never earlier than the latest recorded one."""
        return max(now_s, self._now_s)

    def advance_clock(self, now_s: float) -> float:
        """Record the time, detect a pause of the process, and return the time."""
        now_s = self._now_s = self.monotonic_time(now_s)
        if self._ticked_at_s is None:
            return now_s
        if now_s - self._ticked_at_s > PROCESS_PAUSE_S:
            self._resumed_at_s = self._ticked_at_s = now_s
        return now_s

    def record_tick(self, now_s: float) -> None:
        """Record that the periodic work ran."""
        self._ticked_at_s = now_s

    def update(self, name: str, **changes) -> UpstreamHealth:
        """Change the health record of one upstream and return it."""
        record = self._upstreams[name] = self._upstreams[name]._replace(**changes)
        return record

    def set_upstreams(self, records: dict[str, UpstreamHealth]) -> None:
        """Set the upstreams in use."""
        self._upstreams = records
        services: dict[str, list[str]] = {}
        for name in sorted(records):
            services.setdefault(records[name].upstream.service, []).append(name)
        self._services = {key: tuple(names) for key, names in services.items()}
        self._latencies.keep_upstreams(records.__contains__)

    def other_upstreams(self, name: str) -> tuple[str, ...]:
        """Return the names of the other upstreams of the same service."""
        service = self._upstreams[name].upstream.service
        return tuple(other for other in self._services[service] if other != name)

    def add_exchange(self, exchange_id, exchange: Exchange) -> None:
        """Add an exchange, or replace it after a change."""
        self._exchanges[exchange_id] = exchange
        self._in_flight.setdefault(exchange.upstream, set()).add(exchange_id)

    def pop_exchange(self, exchange_id) -> Exchange | None:
        """Remove an exchange and return it, ``None`` if it is unknown."""
        exchange = self._exchanges.pop(exchange_id, None)
        if exchange is None:
            return None
        exchange_ids = self._in_flight[exchange.upstream]
        exchange_ids.discard(exchange_id)
        if not exchange_ids:
            del self._in_flight[exchange.upstream]
        return exchange

    def in_flight(self, name: str) -> tuple[Exchange, ...]:
        """Return the exchanges in flight at one upstream."""
        exchange_ids = self._in_flight.get(name)
        return (
            tuple(self._exchanges[key] for key in exchange_ids) if exchange_ids else ()
        )

    def network_delay_s(self, name: str) -> float:
        """Return the expected network round trip to an upstream, in seconds."""
        domain = self._upstreams[name].upstream.failure_domain
        if domain == self._failure_domain:
            return 0.0
        if region_of(domain) == region_of(self._failure_domain):
            return self._round_trips.in_region_s
        return self._round_trips.between_regions_s

    def try_start_report(self, now_s: float, next_at_s: float) -> bool:
        """Return whether a report to peers is due; if so, set the next time."""
        if now_s < self._report_at_s:
            return False
        self._report_at_s = next_at_s
        return True

    def try_start_probe(self, now_s: float, next_at_s: float) -> bool:
        """Return whether a probe may start; if so, set the next time."""
        if now_s < self._probes_resume_at_s:
            return False
        self._probes_resume_at_s = next_at_s
        return True
