"""Simulate one instance that sends requests to one service."""

import heapq
import itertools
import random
from typing import NamedTuple

from chervilpitch.health import Answered
from chervilpitch.model import EMPTY_CATALOGUE, Route, Upstream

from .faults import LARGE_REQUEST_BYTES, Fault, draw_outcome, draw_request_bytes

__all__ = ["SimulationResult", "simulate"]

DOMAINS = tuple(f"region{r}/{d}" for r in range(3) for d in "ab")
INSTANCES = 36
WARM_UP_S = 60.0
FAULT_DURATION_S = 60.0
TICK_INTERVAL_S = 0.1
PROBE_DURATION_S = 0.025
MAX_ATTEMPTS = 3
LATE_FACTOR = 4.0
FAULTY_UPSTREAM = "u00"


class SimulationResult(NamedTuple):
    """Results of one run.

    `detected_s` is the time from the start of the fault to its detection, or None.
    """

    detected_s: float | None
    false_ejections: int
    min_capacity: float
    requests: int
    unserved: int
    late: int
    ejected_share: float


class _Simulation:
    def __init__(self, detector_type, service, fault: Fault, seed):
        self.service = service
        self.fault = fault
        self.rng = random.Random(seed)
        self.route = Route("route", "/", "service", service.timeout_s, True)
        upstreams = {u.name: u for u in _upstreams(service)}
        seats = {i: DOMAINS[i % len(DOMAINS)] for i in range(INSTANCES)}
        catalogue = EMPTY_CATALOGUE._replace(
            upstreams=upstreams, routes={"route": self.route}, seats=seats
        )
        self.detector = detector_type(
            DOMAINS[0], catalogue, service.mean_latency_s, seed
        )
        self.slots = sum(u.slots for u in upstreams.values())
        self.queue = []
        self.order = itertools.count()
        self.reused = set(upstreams)
        self.previously_ejected = set()
        self.detected_s = None
        self.false_ejections = 0
        self.min_capacity = 1.0
        self.requests = self.unserved = self.late = 0
        self.faulty_ticks = self.ejected_ticks = 0

    def run(self):
        self.schedule(0.0, self.handle_arrival)
        self.schedule(0.0, self.run_tick)
        while self.queue:
            now_s, _, action, args = heapq.heappop(self.queue)
            if now_s > WARM_UP_S + FAULT_DURATION_S:
                break
            action(now_s, *args)
            self.update_ejections(now_s)
        ejected_share = self.ejected_ticks / max(1, self.faulty_ticks)
        return SimulationResult(
            self.detected_s,
            self.false_ejections,
            self.min_capacity,
            self.requests,
            self.unserved,
            self.late,
            ejected_share,
        )

    def schedule(self, at_s, action, *args):
        heapq.heappush(self.queue, (at_s, next(self.order), action, args))

    def handle_arrival(self, now_s):
        self.schedule(
            now_s + self.rng.expovariate(self.service.rate_per_s), self.handle_arrival
        )
        self.start_attempt(now_s, now_s, draw_request_bytes(self.rng), ())

    def start_attempt(self, now_s, started_at_s, size, failed):
        reserved = self.detector.reserve(self.route, failed, now_s, size, self.reused)
        if reserved is None:
            self.record_request(started_at_s, size, False, now_s)
            return
        name, reservation = reserved
        outcome = self.draw_attempt(name, now_s, size)
        if outcome.first_byte_s is not None:
            at_s = now_s + outcome.first_byte_s
            self.schedule(at_s, self.record_first_byte, reservation)
        args = (started_at_s, size, (*failed, name), reservation, outcome)
        self.schedule(now_s + outcome.end_s, self.finish_attempt, *args)

    def draw_attempt(self, name, now_s, size):
        is_affected = self.fault.is_fleet_wide or name == FAULTY_UPSTREAM
        fault = self.fault if is_affected else Fault("none")
        elapsed_s = now_s - WARM_UP_S
        reused = name in self.reused
        return draw_outcome(self.service, fault, elapsed_s, reused, size, self.rng)

    def record_first_byte(self, now_s, reservation):
        self.detector.record_progress(reservation, now_s)

    def finish_attempt(self, now_s, started_at_s, size, failed, reservation, outcome):
        self.detector.release(reservation, outcome.observation, now_s)
        served = isinstance(outcome.observation, Answered)
        if served or len(failed) == MAX_ATTEMPTS:
            self.record_request(started_at_s, size, served, now_s)
        else:
            self.start_attempt(now_s, started_at_s, size, failed)

    def record_request(self, started_at_s, size, served, now_s):
        if started_at_s < WARM_UP_S:
            return
        self.requests += 1
        self.unserved += not served
        if served and size < LARGE_REQUEST_BYTES:
            self.late += (
                now_s - started_at_s > LATE_FACTOR * self.service.mean_latency_s
            )

    def run_tick(self, now_s):
        self.schedule(now_s + TICK_INTERVAL_S, self.run_tick)
        self.reused -= set(self.detector.tick(now_s))
        for name in self.detector.probes_due(now_s):
            self.schedule(now_s + PROBE_DURATION_S, self.finish_probe, name)
        if now_s >= WARM_UP_S and self.detected_s is not None:
            self.faulty_ticks += 1
            self.ejected_ticks += FAULTY_UPSTREAM in self.previously_ejected

    def finish_probe(self, now_s, name):
        is_ill = (
            name == FAULTY_UPSTREAM
            and now_s >= WARM_UP_S
            and not self.fault.is_harmless
        )
        is_wrong = (
            self.fault.has_wrong_probes
            and name == FAULTY_UPSTREAM
            and now_s >= WARM_UP_S
        )
        self.detector.record_probe(name, is_ill == is_wrong, now_s)

    def update_ejections(self, now_s):
        ejected = self.detector.ejected(now_s)
        if ejected == self.previously_ejected:
            return
        capacity_share = self.detector.capacity("service", now_s) / self.slots
        self.min_capacity = min(self.min_capacity, capacity_share)
        for name in ejected - self.previously_ejected:
            self.record_ejection(name, now_s)
        self.previously_ejected = ejected

    def record_ejection(self, name, now_s):
        is_true_detection = name == FAULTY_UPSTREAM and not self.fault.is_harmless
        if not is_true_detection or now_s < WARM_UP_S:
            self.false_ejections += 1
        elif self.detected_s is None:
            self.detected_s = now_s - WARM_UP_S


def simulate(detector_type, service, fault: Fault, seed: int) -> SimulationResult:
    """Simulate one detector with one fault."""
    return _Simulation(detector_type, service, fault, seed).run()


def _upstreams(service):
    for i in range(service.upstreams):
        domain = DOMAINS[i % len(DOMAINS)]
        address = f"127.0.0.1:{9000 + i}"
        yield Upstream(f"u{i:02}", "service", address, domain, service.slots, 330)
