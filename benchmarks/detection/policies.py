"""Adapters that give the compared detectors one interface."""

import random

from chervilpitch import health, routing
from chervilpitch.health import naive as naive_health
from chervilpitch.health.ejection import capacity
from chervilpitch.routing import naive as naive_routing

__all__ = ["NaiveDetector", "ProjectDetector"]

MAX_LATENCY_FACTOR = 6.0


class ProjectDetector:
    """The health and routing cores of this project."""

    name = "ours"

    def __init__(self, domain, catalogue, mean_latency_s, seed):
        self.health = health.HealthState(domain)
        rng = random.Random(seed)
        self.routing = routing.RoutingState(0, domain, self.health, rng)
        routing.apply_catalogue(self.routing, catalogue, 0.0)

    def reserve(self, route, failed, now_s, request_bytes, reused):
        result = routing.reserve(
            self.routing, route, failed, now_s, request_bytes=request_bytes
        )
        if result.is_err():
            return None
        reservation = result.unwrap()
        is_reused = reservation.upstream in reused
        health.request_sent(self.health, reservation.number, now_s, is_reused=is_reused)
        return reservation.upstream, reservation

    def record_progress(self, reservation, now_s):
        health.response_progressed(self.health, reservation.number, now_s)

    def release(self, reservation, observation, now_s):
        routing.release(self.routing, reservation, observation, now_s)

    def tick(self, now_s):
        health.tick(self.health, now_s)
        return health.silent_upstreams(self.health, now_s)

    def probes_due(self, now_s):
        return health.probes_due(self.health, now_s)

    def record_probe(self, name, is_well, now_s):
        observation = health.ProbeSucceeded(0.025) if is_well else health.ProbeFailed()
        health.observe(self.health, name, observation, now_s)

    def ejected(self, now_s):
        records = self.health.upstreams
        return {n for n in records if records[n].ejected_until_at_s is not None}

    def capacity(self, service, now_s):
        return capacity(self.health, service, now_s)


class NaiveDetector:
    """Fixed thresholds and no capacity floor; the latency bound is set per service."""

    name = "naive"

    def __init__(self, domain, catalogue, mean_latency_s, seed):
        self.health = naive_health.NaiveHealth(MAX_LATENCY_FACTOR * mean_latency_s)
        rng = random.Random(seed)
        self.routing = naive_routing.NaiveRouting(domain, self.health, rng)
        naive_health.apply_catalogue(self.health, catalogue, 0.0)

    def reserve(self, route, failed, now_s, request_bytes, reused):
        name = naive_routing.reserve(self.routing, route, failed, now_s)
        return None if name is None else (name, name)

    def record_progress(self, reservation, now_s):
        pass

    def release(self, reservation, observation, now_s):
        naive_routing.release(self.routing, reservation)
        naive_health.observe(self.health, reservation, observation, now_s)

    def tick(self, now_s):
        return ()

    def probes_due(self, now_s):
        return ()

    def record_probe(self, name, is_well, now_s):
        pass

    def ejected(self, now_s):
        names = self.health.records
        return set(names) - set(
            naive_health.eligible_upstreams(self.health, "service", now_s)
        )

    def capacity(self, service, now_s):
        names = naive_health.eligible_upstreams(self.health, service, now_s)
        return sum(self.health.records[n].upstream.slots for n in names)
