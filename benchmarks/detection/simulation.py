"""One instance before one service, in simulated time."""

import heapq
import itertools
import random
from typing import NamedTuple

from chervilpitch.health import Answered
from chervilpitch.model import EMPTY_CATALOGUE, Route, Upstream

from .faults import BIG_BYTES, Fault, draw_request_bytes, outcome_of

__all__ = ["Run", "simulate"]

DOMAINS = tuple(f"region{r}/{d}" for r in range(3) for d in "ab")
INSTANCES = 36
WARM_UP_S = 60.0
FAULT_S = 60.0
TICK_S = 0.1
PROBE_S = 0.025
MAX_TRIES = 3
LATE_FACTOR = 4.0
FAULTY = "u00"


class Run(NamedTuple):
    """What one run showed."""

    detected_s: float | None
    false_ejections: int
    min_capacity: float
    requests: int
    unserved: int
    late: int
    ejected_share: float


class _Simulation:
    def __init__(self, policy_type, service, fault: Fault, seed):
        self.service = service
        self.fault = fault
        self.rng = random.Random(seed)
        self.route = Route("route", "/", "service", service.timeout_s, True)
        upstreams = {u.name: u for u in _upstreams(service)}
        seats = {i: DOMAINS[i % len(DOMAINS)] for i in range(INSTANCES)}
        catalogue = EMPTY_CATALOGUE._replace(
            upstreams=upstreams, routes={"route": self.route}, seats=seats
        )
        self.policy = policy_type(DOMAINS[0], catalogue, service.mean_s, seed)
        self.slots = sum(u.slots for u in upstreams.values())
        self.queue = []
        self.order = itertools.count()
        self.reused = set(upstreams)
        self.was_ejected = set()
        self.detected_s = None
        self.false_ejections = 0
        self.min_capacity = 1.0
        self.requests = self.unserved = self.late = 0
        self.faulty_ticks = self.ejected_ticks = 0

    def run(self):
        self.at(0.0, self.arrive)
        self.at(0.0, self.tick)
        while self.queue:
            now_s, _, action, args = heapq.heappop(self.queue)
            if now_s > WARM_UP_S + FAULT_S:
                break
            action(now_s, *args)
            self.watch(now_s)
        share = self.ejected_ticks / max(1, self.faulty_ticks)
        return Run(
            self.detected_s,
            self.false_ejections,
            self.min_capacity,
            self.requests,
            self.unserved,
            self.late,
            share,
        )

    def at(self, when_s, action, *args):
        heapq.heappush(self.queue, (when_s, next(self.order), action, args))

    def arrive(self, now_s):
        self.at(now_s + self.rng.expovariate(self.service.rate_per_s), self.arrive)
        self.attempt(now_s, now_s, draw_request_bytes(self.rng), ())

    def attempt(self, now_s, since_s, size, failed):
        taken = self.policy.reserve(self.route, failed, now_s, size, self.reused)
        if taken is None:
            self.count(since_s, size, False, now_s)
            return
        name, held = taken
        outcome = self.draw(name, now_s, size)
        if outcome.first_byte_s is not None:
            at_s = now_s + outcome.first_byte_s
            self.at(at_s, self.first_byte, held)
        args = (since_s, size, (*failed, name), held, outcome)
        self.at(now_s + outcome.end_s, self.end, *args)

    def draw(self, name, now_s, size):
        affected = self.fault.is_fleet_wide or name == FAULTY
        fault = self.fault if affected else Fault("none")
        since_s = now_s - WARM_UP_S
        reused = name in self.reused
        return outcome_of(self.service, fault, since_s, reused, size, self.rng)

    def first_byte(self, now_s, held):
        self.policy.progressed(held, now_s)

    def end(self, now_s, since_s, size, failed, held, outcome):
        self.policy.release(held, outcome.observation, now_s)
        served = isinstance(outcome.observation, Answered)
        if served or len(failed) == MAX_TRIES:
            self.count(since_s, size, served, now_s)
        else:
            self.attempt(now_s, since_s, size, failed)

    def count(self, since_s, size, served, now_s):
        if since_s < WARM_UP_S:
            return
        self.requests += 1
        self.unserved += not served
        if served and size < BIG_BYTES:
            self.late += now_s - since_s > LATE_FACTOR * self.service.mean_s

    def tick(self, now_s):
        self.at(now_s + TICK_S, self.tick)
        self.reused -= set(self.policy.tick(now_s))
        for name in self.policy.probes_due(now_s):
            self.at(now_s + PROBE_S, self.probe_end, name)
        if now_s >= WARM_UP_S and self.detected_s is not None:
            self.faulty_ticks += 1
            self.ejected_ticks += FAULTY in self.was_ejected

    def probe_end(self, now_s, name):
        ill = name == FAULTY and now_s >= WARM_UP_S and not self.fault.is_harmless
        lies = self.fault.probes_lie and name == FAULTY and now_s >= WARM_UP_S
        self.policy.probed(name, ill == lies, now_s)

    def watch(self, now_s):
        ejected = self.policy.ejected(now_s)
        if ejected == self.was_ejected:
            return
        left = self.policy.capacity("service", now_s) / self.slots
        self.min_capacity = min(self.min_capacity, left)
        for name in ejected - self.was_ejected:
            self.note(name, now_s)
        self.was_ejected = ejected

    def note(self, name, now_s):
        rightly = name == FAULTY and not self.fault.is_harmless
        if not rightly or now_s < WARM_UP_S:
            self.false_ejections += 1
        elif self.detected_s is None:
            self.detected_s = now_s - WARM_UP_S


def simulate(policy_type, service, fault: Fault, seed: int) -> Run:
    """Run one detector against one fault."""
    return _Simulation(policy_type, service, fault, seed).run()


def _upstreams(service):
    for i in range(service.upstreams):
        domain = DOMAINS[i % len(DOMAINS)]
        address = f"127.0.0.1:{9000 + i}"
        yield Upstream(f"u{i:02}", "service", address, domain, service.slots, 330)
