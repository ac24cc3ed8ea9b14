"""Print processor time and memory of routing and health for one instance.

The instance uses 36 services of 16 upstreams each, as one of 3,700 daemons
before 51,000 upstreams would, and serves 127 requests a second.
"""

import random
import time
import tracemalloc

from chervilpitch import health, routing
from chervilpitch.model import EMPTY_CATALOGUE, Route, Upstream

SERVICES = 36
UPSTREAMS_EACH = 16
REQUESTS_PER_S = 127
SIMULATED_S = 30
TICK_S = 0.1
ROUTES = 11_000
MATCHES = 20_000
DOMAINS = tuple(f"region{r}/{d}" for r in range(4) for d in "abc")
SEATS = {seat: DOMAINS[seat % len(DOMAINS)] for seat in range(36)}


def make_catalogue():
    """Return the part of the catalogue that one instance uses."""
    upstreams, routes = {}, {}
    for i in range(SERVICES * UPSTREAMS_EACH):
        domain = DOMAINS[i // SERVICES % len(DOMAINS)]
        service = f"service{i % SERVICES}"
        name = f"u{i}"
        upstreams[name] = Upstream(name, service, f"10.0.0.1:{i}", domain, 4, 330)
    for i in range(ROUTES):
        name = f"route{i}"
        service = f"service{i % SERVICES}"
        routes[name] = Route(name, f"/area{i % 100}/part{i}", service, 5.0, True)
    return EMPTY_CATALOGUE._replace(upstreams=upstreams, routes=routes, seats=SEATS)


def serve(state, routes, rng):
    """Serve requests in simulated time; return the processor seconds spent."""
    now_s = next_tick_s = 0.0
    started = time.process_time()
    for _ in range(SIMULATED_S * REQUESTS_PER_S):
        now_s += 1 / REQUESTS_PER_S
        if now_s >= next_tick_s:
            tick(state, now_s)
            next_tick_s += TICK_S
        held = routing.reserve(state, rng.choice(routes), (), now_s).unwrap()
        latency_s = 0.04 * rng.lognormvariate(0.0, 0.5)
        health.response_progressed(state.health, held.number, now_s)
        seen = health.Answered(latency_s, 2_000, latency_s, 2)
        routing.release(state, held, seen, now_s)
    return time.process_time() - started


def tick(state, now_s):
    """Do the periodic work."""
    health.tick(state.health, now_s)
    health.silent_upstreams(state.health, now_s)
    health.probes_due(state.health, now_s)


def time_ticks(state):
    """Return the processor seconds of the periodic work alone."""
    started = time.process_time()
    for i in range(int(SIMULATED_S / TICK_S)):
        tick(state, SIMULATED_S + i * TICK_S)
    return time.process_time() - started


def main():
    rng = random.Random(1)
    catalogue = make_catalogue()
    tracemalloc.start()
    checker = health.HealthState(DOMAINS[0])
    state = routing.RoutingState(0, DOMAINS[0], checker, rng)
    routing.apply_catalogue(state, catalogue, 0.0)
    print(
        f"state after put_in_force: {tracemalloc.get_traced_memory()[0] / 1e6:.2f} MB"
    )
    tracemalloc.stop()
    spent_s = serve(state, list(catalogue.routes.values()), rng)
    ticks_s = time_ticks(state)
    each_s = (spent_s - ticks_s) / (SIMULATED_S * REQUESTS_PER_S)
    print(f"reserve and release: {1e6 * each_s:.0f} us a request")
    print(f"periodic work: {100 * ticks_s / SIMULATED_S:.2f}% of a core")
    started = time.process_time()
    for i in range(MATCHES):
        routing.match(state.table, f"/area{i % 100}/part{i}/item/7", "shops")
    each = (time.process_time() - started) / MATCHES
    print(f"match among {ROUTES} routes: {1e6 * each:.1f} us")


if __name__ == "__main__":
    main()
