"""Catalogues, upstreams and routing states for the routing tests."""

import random

from chervilpitch import health, routing
from chervilpitch.model import EMPTY_CATALOGUE, Route, Upstream

DOMAINS = ("north/a", "north/b", "south/a", "south/b")
ROUTE = Route("stock", "/stock", "desk", 5.0, True)
SUCCESS = health.Answered(0.04, 1_000, 0.04, 2)


def upstream(number, slots=4, draining=False, connections=330, domains=DOMAINS):
    domain = domains[number % len(domains)]
    address = f"10.0.0.1:{number}"
    return Upstream(
        f"u{number:02}", "desk", address, domain, slots, connections, draining
    )


def catalogue(upstreams, seats=36, domains=DOMAINS):
    return EMPTY_CATALOGUE._replace(
        routes={ROUTE.name: ROUTE},
        upstreams={u.name: u for u in upstreams},
        seats={seat: domains[seat % len(domains)] for seat in range(seats)},
    )


def new_state(upstreams, seed=1):
    state = routing.RoutingState(
        0, "north/a", health.HealthState("north/a"), random.Random(seed)
    )
    routing.apply_catalogue(state, catalogue(upstreams), 0.0)
    return state
