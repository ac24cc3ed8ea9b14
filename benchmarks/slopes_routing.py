"""Measure how the cost of routing and health grows with their sizes.

This covers the choice of an upstream, periodic ticks and applying a catalogue.
"""

import itertools
import random
from collections.abc import Iterator

from chervilpitch import health, limits, routing
from chervilpitch.model import EMPTY_CATALOGUE, Catalogue, Route, Upstream

from .slopes_fleet import DOMAINS, make_catalogue
from .slopes_measure import Point, make_point, measure_allocated, time_call

__all__ = ["measure_at_scale", "measure_choice", "measure_ticks"]

TOPIC = "routing"
UPSTREAMS_OF_SERVICE = (4, 8, 16, 36)
UPSTREAMS_IN_USE = (150, 300, 600, 1_200)
SAMPLED_NAMES = 40


def measure_at_scale(scale: float) -> Iterator[Point]:
    """Yield the points that depend on the sizes of the fleet and the catalogue."""
    catalogue = make_catalogue(scale)
    seats = len(catalogue.seats)
    state = _create_state()
    yield time_call(
        TOPIC,
        "put_in_force",
        "daemons",
        seats,
        lambda: routing.apply_catalogue(state, catalogue, 0.0),
    )
    upstream_count = len(state.health.upstreams)
    yield make_point(
        TOPIC, "services in use", "services", "daemons", seats, len(state.shares)
    )
    yield make_point(
        TOPIC, "upstreams in use", "upstreams", "daemons", seats, upstream_count
    )
    yield time_call(
        TOPIC,
        "serving seats of one service",
        "daemons",
        seats,
        lambda: routing.serving_seats("service-0007", catalogue.seats, 330),
    )
    yield from _measure_connections(state, seats)
    yield from _measure_routes(catalogue)
    yield from _measure_seat_overlap(catalogue)


def _create_state():
    health_state = health.HealthState(DOMAINS[0])
    return routing.RoutingState(0, DOMAINS[0], health_state, random.Random(1))


def _measure_connections(state, seats) -> Iterator[Point]:
    """Yield the maximum number of connections of all instances to one upstream."""
    max_connections = max(
        share.users * routing.connections_allowed(state, upstream.name)
        for share in state.shares.values()
        for upstream in share.upstreams
    )
    name = "connections of the fleet to one upstream"
    yield make_point(TOPIC, name, "connections", "daemons", seats, max_connections)


def _measure_routes(catalogue) -> Iterator[Point]:
    size = len(catalogue.routes)
    allocated_bytes, table = measure_allocated(lambda: routing.build_table(catalogue))
    yield make_point(TOPIC, "route table", "bytes", "routes", size, allocated_bytes)
    yield time_call(
        TOPIC, "build_table", "routes", size, lambda: routing.build_table(catalogue)
    )
    path = catalogue.routes["route-00007"].prefix + "/item/9?full=1"
    yield time_call(
        TOPIC, "match", "routes", size, lambda: routing.match(table, path, "a").unwrap()
    )


def _measure_seat_overlap(catalogue: Catalogue) -> Iterator[Point]:
    """Yield the share of home seats of accounts whose instances use a service."""
    seats = catalogue.seats
    groups = limits.group_seats(seats)
    names = [f"account-{n:06d}" for n in range(SAMPLED_NAMES)]
    home_sets = [set(limits.home_seats(name, groups)) for name in names]
    serving_sets = [
        set(routing.serving_seats(f"service-{n:04d}", seats, 330))
        for n in range(SAMPLED_NAMES)
    ]
    pairs = list(itertools.product(home_sets, serving_sets))
    share = sum(len(h & s) / len(h) for h, s in pairs) / len(pairs)
    name = "homes of an account that use a service"
    yield make_point(TOPIC, name, "share", "daemons", len(seats), share)
    disjoint_share = sum(not h & s for h, s in pairs) / len(pairs)
    name = "accounts and services without a common seat"
    yield make_point(TOPIC, name, "share", "daemons", len(seats), disjoint_share)


def _make_service(name: str, count: int) -> dict[str, Upstream]:
    upstreams = (
        Upstream(f"{name}-{n}", name, f"10.0.0.{n}:1", DOMAINS[n % 12], 4, 330)
        for n in range(count)
    )
    return {upstream.name: upstream for upstream in upstreams}


def measure_choice() -> Iterator[Point]:
    """Yield the time to reserve and release an upstream by the size of its service."""
    seats = {n: DOMAINS[n % len(DOMAINS)] for n in range(36)}
    for size in UPSTREAMS_OF_SERVICE:
        state = _create_state()
        upstreams = _make_service("desk", size)
        catalogue = EMPTY_CATALOGUE._replace(upstreams=upstreams, seats=seats)
        routing.apply_catalogue(state, catalogue, 0.0)
        yield time_call(
            TOPIC,
            "upstream chosen and released",
            "upstreams of service",
            size,
            _make_exchange(state, "desk"),
        )


def _make_exchange(state, service):
    route = Route("r", "/r", service, 5.0, True)
    clock = itertools.count()

    def run():
        now_s = 1.0 + next(clock) / 127
        reservation = routing.reserve(state, route, (), now_s).unwrap()
        answered = health.Answered(0.01, 2_000, 0.012, 2)
        return routing.release(state, reservation, answered, now_s + 0.002)

    return run


def measure_ticks() -> Iterator[Point]:
    """Yield tick times and memory by the number of upstreams that an instance uses."""
    seats = {n: DOMAINS[n % len(DOMAINS)] for n in range(36)}
    for size in UPSTREAMS_IN_USE:
        state = _create_state()
        services = [f"service-{n}" for n in range(size // 15)]
        upstreams = {}
        for service in services:
            upstreams |= _make_service(service, 15)
        catalogue = EMPTY_CATALOGUE._replace(upstreams=upstreams, seats=seats)
        allocated_bytes, _ = measure_allocated(
            lambda: _create_records(state, catalogue, services)
        )
        size = len(upstreams)
        per = "upstreams in use"
        yield make_point(
            "health", "upstreams in use", "bytes", per, size, allocated_bytes
        )
        health_state = state.health
        for name, call in (("tick", health.tick), ("report", health.report)):
            yield time_call("health", name, per, size, _make_call(call, health_state))
        yield time_call(
            "health",
            "probes_due",
            per,
            size,
            _make_call(health.probes_due, health_state),
        )


def _make_call(call, health_state):
    return lambda: call(health_state, 40.0)


def _create_records(state, catalogue, services):
    routing.apply_catalogue(state, catalogue, 0.0)
    for service in services:
        run = _make_exchange(state, service)
        for _ in range(60):
            run()
