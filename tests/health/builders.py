"""Catalogues, observations and detector states for the health tests."""

from chervilpitch.health import Answered, HealthState, apply_catalogue, observe, tick
from chervilpitch.model import EMPTY_CATALOGUE, Route, Upstream

DOMAINS = ("north/a", "north/b", "south/a", "south/b")
NORMAL_LATENCY_S = 0.04


def upstream(number, slots=4, draining=False):
    name = f"u{number:02}"
    domain = DOMAINS[number % len(DOMAINS)]
    return Upstream(name, "desk", f"10.0.0.1:{number}", domain, slots, 330, draining)


def catalogue(upstreams, routes=()):
    return EMPTY_CATALOGUE._replace(
        upstreams={u.name: u for u in upstreams},
        routes={name: Route(name, f"/{name}", "desk", 5.0, True) for name in routes},
    )


def answered(latency_s=NORMAL_LATENCY_S):
    return Answered(latency_s, 1_000, latency_s, 2)


def new_state(count=8):
    state = HealthState("north/a")
    apply_catalogue(state, catalogue(upstream(i) for i in range(count)), 0.0)
    return state


def observe_rounds(state, now_s, rounds, observation_of):
    """Observe every upstream 10 times a second; return the time and the events."""
    events = []
    for _ in range(rounds):
        now_s += 0.1
        events += tick(state, now_s)
        for name in list(state.upstreams):
            events += observe(state, name, observation_of(name), now_s)
    return now_s, [effect.event for effect in events]


def state_with_baseline(count=8):
    state = new_state(count)
    now_s, _ = observe_rounds(state, 0.0, 30, lambda name: answered())
    return state, now_s


def ejected_upstreams(state):
    records = state.upstreams
    return {name for name in records if records[name].ejected_until_at_s is not None}
