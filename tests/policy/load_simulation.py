"""Simulation of the instances of a region with upstreams that hang intermittently."""

import heapq
import itertools
import math
import random
from typing import NamedTuple

from chervilpitch.model import RequestKind, UpstreamEntry
from chervilpitch.policy import LatencyBaseline, Location, UpstreamTable

AIM_S = 0.8
TIMEOUT_S = 2.0
SLOTS = 4
SERVICE_TIME_S = 0.24
HANG_PROBABILITY = 0.75
FAULT_INTERVAL_S = 9.0
FAULT_DURATION_S = 2.7
RECOVERY_S = 2.0
TRIED_WITHIN_S = 2.0
REPORT_INTERVAL_S = 0.1
HEDGE_SURVIVAL = 0.04


class SimulationResult(NamedTuple):
    """Counts of requests by outcome."""

    requested: int
    failed_safe: int
    failed_unsafe: int
    hedged: int
    min_tried_share: float

    @property
    def failed_share(self):
        return (self.failed_safe + self.failed_unsafe) / self.requested


class SimulatedUpstreams:
    """Upstreams that hang periodically, each with a random phase."""

    def __init__(self, count, rng, has_faults):
        self.names = [f"u{number}" for number in range(count)]
        self._phases = {name: rng.uniform(0, FAULT_INTERVAL_S) for name in self.names}
        self._rng = rng
        self._has_faults = has_faults
        self.in_flight = dict.fromkeys(self.names, 0)

    def entries(self):
        return [
            UpstreamEntry(name, "desk", f"{name}:1", "n1", SLOTS, False, 0.0, 1, 1)
            for name in self.names
        ]

    def is_faulty(self, name, now_s):
        phase = (now_s + self._phases[name]) % FAULT_INTERVAL_S
        return self._has_faults and phase < FAULT_DURATION_S

    def healthy_since_s(self, name, now_s):
        """Return the time since which an upstream is healthy, or now if it is not."""
        if not self._has_faults:
            return 0.0
        phase = (now_s + self._phases[name]) % FAULT_INTERVAL_S
        healthy_for_s = phase - FAULT_DURATION_S - RECOVERY_S
        return now_s - max(0.0, healthy_for_s)

    def service_time_s(self, name, now_s):
        """Return the service time of a request, infinite if it hangs."""
        if self.is_faulty(name, now_s) and self._rng.random() < HANG_PROBABILITY:
            return math.inf
        queued = max(0, self.in_flight[name] + 1 - SLOTS) / SLOTS
        return SERVICE_TIME_S * self._rng.lognormvariate(-0.06, 0.35) * (1 + queued)


class PolicyInstance:
    """An instance that uses the placement policy under test."""

    def __init__(self, name, upstreams, rng):
        self.name = name
        self._rng = rng
        location = Location("north", "n1", {"n1": "north"})
        self.table = UpstreamTable(location)
        self.table.update_entries(upstreams.entries(), 0.0)
        self.baseline = LatencyBaseline(AIM_S)

    def choose(self, kind, excluded, now_s):
        draws = iter(self._rng.random, None)
        choice = self.table.choose("desk", kind, self.baseline, excluded, now_s, draws)
        return choice.upstream.entry.name if choice else None

    def start_attempt(self, attempt, name, now_s):
        self.table.get(name).start_attempt(attempt, self.baseline, now_s)

    def record_success(self, attempt, name, now_s):
        self.table.get(name).record_success(attempt, now_s)

    def record_abandoned(self, attempt, name, now_s):
        self.table.get(name).record_abandoned(attempt, now_s)

    def hedge_after_s(self):
        return age_at(self.baseline, HEDGE_SURVIVAL)


def age_at(baseline, survival):
    """Return the age in seconds that this share of good responses exceeds."""
    low_s, high_s = 0.0, baseline.median_s * 20
    for _ in range(20):
        middle_s = (low_s + high_s) / 2
        if baseline.survival(middle_s) > survival:
            low_s = middle_s
        else:
            high_s = middle_s
    return high_s


class NaiveInstance:
    """Baseline: least in flight on this instance, ejection for 2 s after a failure."""

    def __init__(self, name, upstreams, rng):
        self.name = name
        self._rng = rng
        self._in_flight = dict.fromkeys(upstreams.names, 0)
        self._ejected_until_s = dict.fromkeys(upstreams.names, 0.0)

    def choose(self, kind, excluded, now_s):
        names = [name for name in self._in_flight if name not in excluded]
        allowed = [name for name in names if now_s >= self._ejected_until_s[name]]
        key = lambda name: (self._in_flight[name], self._rng.random())  # noqa: E731
        return min(allowed or names, key=key)

    def start_attempt(self, attempt, name, now_s):
        self._in_flight[name] += 1

    def record_success(self, attempt, name, now_s):
        self._in_flight[name] -= 1

    def record_abandoned(self, attempt, name, now_s):
        self._in_flight[name] -= 1
        self._ejected_until_s[name] = now_s + 2.0

    def hedge_after_s(self):
        return math.inf


class Simulation:
    """Event-driven simulation of requests from callers to upstreams."""

    def __init__(self, instance_class, seed, requests_per_s, has_faults=True):
        self._rng = random.Random(seed)
        self._upstreams = SimulatedUpstreams(9, self._rng, has_faults)
        self._instances = [
            instance_class(f"i{number}", self._upstreams, self._rng)
            for number in range(12)
        ]
        self._requests_per_s = requests_per_s
        self._queue = []
        self._sequence = itertools.count()
        self._completed = set()
        self._failed = {RequestKind.SAFE: 0, RequestKind.UNSAFE: 0}
        self._requested = 0
        self._hedged = 0
        self._last_tried_at_s = dict.fromkeys(self._upstreams.names, 0.0)
        self._min_tried_share = 1.0

    def run(self, until_s):
        self._schedule(0.0, self._handle_arrival, until_s)
        self._schedule(0.0, self._exchange_reports, until_s)
        while self._queue:
            now_s, _, handler, args = heapq.heappop(self._queue)
            handler(now_s, *args)
        return SimulationResult(
            self._requested,
            self._failed[RequestKind.SAFE],
            self._failed[RequestKind.UNSAFE],
            self._hedged,
            self._min_tried_share,
        )

    def _schedule(self, at_s, handler, *args):
        heapq.heappush(self._queue, (at_s, next(self._sequence), handler, args))

    def _handle_arrival(self, now_s, until_s):
        if now_s >= until_s:
            return
        is_safe = self._rng.random() < 0.3
        kind = RequestKind.SAFE if is_safe else RequestKind.UNSAFE
        instance = self._rng.choice(self._instances)
        self._requested += 1
        request = self._requested
        self._send_attempt(now_s, request, instance, kind, frozenset())
        if is_safe:
            delay_s = instance.hedge_after_s()
            self._schedule(now_s + delay_s, self._hedge, request, instance)
        self._schedule(now_s + TIMEOUT_S, self._handle_deadline, request, kind)
        self._schedule(
            now_s + self._rng.expovariate(self._requests_per_s),
            self._handle_arrival,
            until_s,
        )

    def _send_attempt(self, now_s, request, instance, kind, excluded):
        name = instance.choose(kind, excluded, now_s)
        attempt = next(self._sequence)
        self._last_tried_at_s[name] = now_s
        instance.start_attempt(attempt, name, now_s)
        service_time_s = self._upstreams.service_time_s(name, now_s)
        self._upstreams.in_flight[name] += 1
        attempt_args = (request, attempt, instance, name)
        if service_time_s < TIMEOUT_S:
            self._schedule(now_s + service_time_s, self._handle_response, *attempt_args)
        else:
            self._schedule(now_s + TIMEOUT_S, self._handle_hang, *attempt_args)

    def _hedge(self, now_s, request, instance):
        if request not in self._completed:
            self._hedged += 1
            self._send_attempt(now_s, request, instance, RequestKind.SAFE, frozenset())

    def _handle_response(self, now_s, request, attempt, instance, name):
        self._upstreams.in_flight[name] -= 1
        self._completed.add(request)
        instance.record_success(attempt, name, now_s)

    def _handle_hang(self, now_s, request, attempt, instance, name):
        self._upstreams.in_flight[name] -= 1
        instance.record_abandoned(attempt, name, now_s)

    def _handle_deadline(self, now_s, request, kind):
        if request not in self._completed:
            self._failed[kind] += 1

    def _exchange_reports(self, now_s, until_s):
        if now_s >= until_s:
            return
        for sender in self._instances:
            table = getattr(sender, "table", None)
            reports = table.next_reports(now_s) if table else ()
            for other in self._instances:
                if reports and other is not sender:
                    other.table.add_reports(reports, sender.name, now_s)
        self._measure_tried_share(now_s)
        self._schedule(now_s + REPORT_INTERVAL_S, self._exchange_reports, until_s)

    def _measure_tried_share(self, now_s):
        """Record the share of healthy upstreams that got a request recently."""
        since_s = now_s - TRIED_WITHIN_S
        healthy = [
            name
            for name in self._upstreams.names
            if self._upstreams.healthy_since_s(name, now_s) <= since_s
        ]
        tried = sum(self._last_tried_at_s[name] >= since_s for name in healthy)
        if healthy and since_s > 0:
            share = tried / len(healthy)
            self._min_tried_share = min(self._min_tried_share, share)
