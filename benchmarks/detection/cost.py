"""Measure the processor time and memory of routing and health in one instance.

The instance uses 36 services of 16 upstreams each, as one of 3,700 instances with
51,000 upstreams in all does, and serves 127 requests per second.
"""

import random
import time
import tracemalloc

from chervilpitch import health, routing
from chervilpitch.model import EMPTY_CATALOGUE, Route, Upstream

SERVICES = 36
UPSTREAMS_PER_SERVICE = 16
REQUESTS_PER_S = 127
SIMULATED_S = 30
TICK_INTERVAL_S = 0.1
ROUTES = 11_000
MATCHES = 20_000
DOMAINS = tuple(f"region{r}/{d}" for r in range(4) for d in "abc")
SEATS = {seat: DOMAINS[seat % len(DOMAINS)] for seat in range(36)}


def make_catalogue():
    """Return the part of the catalogue that one instance uses."""
    upstreams, routes = {}, {}
    for i in range(SERVICES * UPSTREAMS_PER_SERVICE):
        domain = DOMAINS[i // SERVICES % len(DOMAINS)]
        service = f"service{i % SERVICES}"
        name = f"u{i}"
        upstreams[name] = Upstream(name, service, f"10.0.0.1:{i}", domain, 4, 330)
    for i in range(ROUTES):
        name = f"route{i}"
        service = f"service{i % SERVICES}"
        routes[name] = Route(name, f"/area{i % 100}/part{i}", service, 5.0, True)
    return EMPTY_CATALOGUE._replace(upstreams=upstreams, routes=routes, seats=SEATS)


def measure_requests_s(state, routes, rng):
    """Serve requests in simulated time and return the processor seconds used."""
    now_s = next_tick_s = 0.0
    started_s = time.process_time()
    for _ in range(SIMULATED_S * REQUESTS_PER_S):
        now_s += 1 / REQUESTS_PER_S
        if now_s >= next_tick_s:
            run_periodic_work(state, now_s)
            next_tick_s += TICK_INTERVAL_S
        reservation = routing.reserve(state, rng.choice(routes), (), now_s).unwrap()
        latency_s = 0.04 * rng.lognormvariate(0.0, 0.5)
        health.response_progressed(state.health, reservation.number, now_s)
        observation = health.Answered(latency_s, 2_000, latency_s, 2)
        routing.release(state, reservation, observation, now_s)
    return time.process_time() - started_s


def run_periodic_work(state, now_s):
    """Run the periodic work of health once."""
    health.tick(state.health, now_s)
    health.silent_upstreams(state.health, now_s)
    health.probes_due(state.health, now_s)


def measure_periodic_work_s(state):
    """Return the processor seconds used by the periodic work alone."""
    started_s = time.process_time()
    for i in range(int(SIMULATED_S / TICK_INTERVAL_S)):
        run_periodic_work(state, SIMULATED_S + i * TICK_INTERVAL_S)
    return time.process_time() - started_s


def main():
    rng = random.Random(1)
    catalogue = make_catalogue()
    tracemalloc.start()
    health_state = health.HealthState(DOMAINS[0])
    state = routing.RoutingState(0, DOMAINS[0], health_state, rng)
    routing.apply_catalogue(state, catalogue, 0.0)
    print(
        f"state after put_in_force: {tracemalloc.get_traced_memory()[0] / 1e6:.2f} MB"
    )
    tracemalloc.stop()
    total_s = measure_requests_s(state, list(catalogue.routes.values()), rng)
    ticks_s = measure_periodic_work_s(state)
    per_request_s = (total_s - ticks_s) / (SIMULATED_S * REQUESTS_PER_S)
    print(f"reserve and release: {1e6 * per_request_s:.0f} us a request")
    print(f"periodic work: {100 * ticks_s / SIMULATED_S:.2f}% of a core")
    started_s = time.process_time()
    for i in range(MATCHES):
        routing.match(state.table, f"/area{i % 100}/part{i}/item/7", "shops")
    per_match_s = (time.process_time() - started_s) / MATCHES
    print(f"match among {ROUTES} routes: {1e6 * per_match_s:.1f} us")


if __name__ == "__main__":
    main()
