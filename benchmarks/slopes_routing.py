"""Slopes of routing and health: choice, ticks, catalogues put in force."""

import itertools
import random
from collections.abc import Iterator

from chervilpitch import health, limits, routing
from chervilpitch.model import EMPTY_CATALOGUE, Catalogue, Route, Upstream

from .slopes_fleet import DOMAINS, catalogue
from .slopes_measure import Point, held_bytes, timed, value

__all__ = ["at_scale", "choice", "ticks"]

TOPIC = "routing"
UPSTREAMS_OF_SERVICE = (4, 8, 16, 36)
UPSTREAMS_IN_USE = (150, 300, 600, 1_200)
SAMPLED = 40


def at_scale(scale: float) -> Iterator[Point]:
    """Yield what depends on the fleet and on the catalogue."""
    before = catalogue(scale)
    seats = len(before.seats)
    state = _state()
    yield timed(
        TOPIC,
        "put_in_force",
        "daemons",
        seats,
        lambda: routing.apply_catalogue(state, before, 0.0),
    )
    used = len(state.health.upstreams)
    yield value(
        TOPIC, "services in use", "services", "daemons", seats, len(state.shares)
    )
    yield value(TOPIC, "upstreams in use", "upstreams", "daemons", seats, used)
    yield timed(
        TOPIC,
        "serving seats of one service",
        "daemons",
        seats,
        lambda: routing.serving_seats("service-0007", before.seats, 330),
    )
    yield from _connections(state, seats)
    yield from _routes(before)
    yield from _reached(before)


def _state():
    held = health.HealthState(DOMAINS[0])
    return routing.RoutingState(0, DOMAINS[0], held, random.Random(1))


def _connections(state, seats) -> Iterator[Point]:
    """Yield the most connections of all instances to one upstream."""
    most = max(
        share.users * routing.connections_allowed(state, upstream.name)
        for share in state.shares.values()
        for upstream in share.upstreams
    )
    name = "connections of the fleet to one upstream"
    yield value(TOPIC, name, "connections", "daemons", seats, most)


def _routes(before) -> Iterator[Point]:
    size = len(before.routes)
    taken, table = held_bytes(lambda: routing.build_table(before))
    yield value(TOPIC, "route table", "bytes", "routes", size, taken)
    yield timed(
        TOPIC, "build_table", "routes", size, lambda: routing.build_table(before)
    )
    path = before.routes["route-00007"].prefix + "/item/9?full=1"
    yield timed(
        TOPIC, "match", "routes", size, lambda: routing.match(table, path, "a").unwrap()
    )


def _reached(before: Catalogue) -> Iterator[Point]:
    """Yield the share of homes of accounts that may use a service."""
    seats = before.seats
    groups = limits.group_seats(seats)
    names = [f"account-{n:06d}" for n in range(SAMPLED)]
    homes = [set(limits.home_seats(name, groups)) for name in names]
    serving = [
        set(routing.serving_seats(f"service-{n:04d}", seats, 330))
        for n in range(SAMPLED)
    ]
    pairs = list(itertools.product(homes, serving))
    share = sum(len(h & s) / len(h) for h, s in pairs) / len(pairs)
    name = "homes of an account that use a service"
    yield value(TOPIC, name, "share", "daemons", len(seats), share)
    without = sum(not h & s for h, s in pairs) / len(pairs)
    name = "accounts and services without a common seat"
    yield value(TOPIC, name, "share", "daemons", len(seats), without)


def _service(name: str, count: int) -> dict[str, Upstream]:
    upstreams = (
        Upstream(f"{name}-{n}", name, f"10.0.0.{n}:1", DOMAINS[n % 12], 4, 330)
        for n in range(count)
    )
    return {upstream.name: upstream for upstream in upstreams}


def choice() -> Iterator[Point]:
    """Yield an upstream's choice and release by the size of its service."""
    seats = {n: DOMAINS[n % len(DOMAINS)] for n in range(36)}
    for size in UPSTREAMS_OF_SERVICE:
        state = _state()
        used = _service("desk", size)
        before = EMPTY_CATALOGUE._replace(upstreams=used, seats=seats)
        routing.apply_catalogue(state, before, 0.0)
        yield timed(
            TOPIC,
            "upstream chosen and released",
            "upstreams of service",
            size,
            _exchange(state, "desk"),
        )


def _exchange(state, service):
    route = Route("r", "/r", service, 5.0, True)
    clock = itertools.count()

    def run():
        now_s = 1.0 + next(clock) / 127
        held = routing.reserve(state, route, (), now_s).unwrap()
        answered = health.Answered(0.01, 2_000, 0.012, 2)
        return routing.release(state, held, answered, now_s + 0.002)

    return run


def ticks() -> Iterator[Point]:
    """Yield ticks and memory by the upstreams that an instance uses."""
    seats = {n: DOMAINS[n % len(DOMAINS)] for n in range(36)}
    for size in UPSTREAMS_IN_USE:
        state = _state()
        services = [f"service-{n}" for n in range(size // 15)]
        used = {}
        for service in services:
            used |= _service(service, 15)
        before = EMPTY_CATALOGUE._replace(upstreams=used, seats=seats)
        taken, _ = held_bytes(lambda: _warm(state, before, services))
        size = len(used)
        per = "upstreams in use"
        yield value("health", "upstreams in use", "bytes", per, size, taken)
        held = state.health
        for name, call in (("tick", health.tick), ("report", health.report)):
            yield timed("health", name, per, size, _at(call, held))
        yield timed("health", "probes_due", per, size, _at(health.probes_due, held))


def _at(call, held):
    return lambda: call(held, 40.0)


def _warm(state, before, services):
    routing.apply_catalogue(state, before, 0.0)
    for service in services:
        run = _exchange(state, service)
        for _ in range(60):
            run()
