"""Slots are reserved within limits, nearest first, and released once."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from chervilpitch import health, routing
from chervilpitch.health import naive as naive_health
from chervilpitch.model import RefusalKind, RunState
from chervilpitch.routing import naive as naive_routing
from tests.routing.builders import ROUTE, SUCCESS, catalogue, new_state, upstream

OBSERVATIONS = st.sampled_from(
    (SUCCESS, health.Shed(), health.ErrorResponse(500), health.Abandoned())
)
ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(("reserve", "reserve", "release", "again", "drain", "probe")),
        st.integers(0, 30),
        st.sampled_from((0.0, 0.01, 0.3, 5.0, -1.0)),
        OBSERVATIONS,
    ),
    max_size=80,
)


class SlotLimitedRouting:
    """Adapter of the package's routing to the interface that the oracle uses."""

    def __init__(self, upstreams):
        self.state = new_state(upstreams)

    def declare(self, upstreams, now_s):
        routing.apply_catalogue(self.state, catalogue(upstreams), now_s)

    def reserve(self, now_s):
        got = routing.reserve(self.state, ROUTE, (), now_s)
        return (got.unwrap().upstream, got.unwrap()) if got.is_ok() else None

    def probe(self, name, now_s):
        got = routing.reserve_probe(self.state, name, now_s)
        return (name, got.unwrap()) if got.is_ok() else None

    def release(self, held, end, now_s):
        routing.release(self.state, held, end, now_s)

    def in_flight(self, name):
        return self.state.in_flight(name)


class UnlimitedRouting:
    """Adapter of the naive routing to the same interface."""

    def __init__(self, upstreams):
        self.health = naive_health.NaiveHealth()
        rng = new_state(upstreams).rng
        self.state = naive_routing.NaiveRouting("north/a", self.health, rng)
        self.declare(upstreams, 0.0)

    def declare(self, upstreams, now_s):
        naive_health.apply_catalogue(self.health, catalogue(upstreams), now_s)

    def reserve(self, now_s):
        name = naive_routing.reserve(self.state, ROUTE, (), now_s)
        return name and (name, name)

    def probe(self, name, now_s):
        return None

    def release(self, held, end, now_s):
        naive_routing.release(self.state, held)
        naive_health.observe(self.health, held, end, now_s)

    def in_flight(self, name):
        return self.state.in_flight(name)


class Oracle:
    """Count slots independently of the code under test."""

    def __init__(self, policy_type):
        self.upstreams = [upstream(i, slots=1 + i % 4) for i in range(6)]
        self.policy = policy_type(self.upstreams)
        self.now_s = 0.0
        self.open = []
        self.released = []

    def run(self, actions):
        for kind, number, step_s, end in actions:
            self.now_s += step_s
            getattr(self, kind)(number, end)
            self.check()

    def reserve(self, number, end):
        reserved = self.policy.reserve(self.now_s)
        if reserved:
            assert not self.find(reserved[0]).draining
            self.open.append(reserved)

    def probe(self, number, end):
        name = self.upstreams[number % len(self.upstreams)].name
        self.open.extend(filter(None, [self.policy.probe(name, self.now_s)]))

    def release(self, number, end):
        if self.open:
            name, held = self.open.pop(number % len(self.open))
            self.policy.release(held, end, self.now_s)
            self.released.append(held)

    def again(self, number, end):
        if self.released:
            held = self.released[number % len(self.released)]
            self.policy.release(held, end, self.now_s)

    def drain(self, number, end):
        index = number % len(self.upstreams)
        item = self.upstreams[index]
        self.upstreams[index] = item._replace(draining=not item.draining)
        self.policy.declare(self.upstreams, self.now_s)

    def find(self, name):
        return next(u for u in self.upstreams if u.name == name)

    def check(self):
        held = Counter(name for name, _ in self.open)
        for item in self.upstreams:
            assert self.policy.in_flight(item.name) == held[item.name]
            assert held[item.name] <= item.slots


def violates_slots(policy_type, actions):
    try:
        Oracle(policy_type).run(actions)
    except AssertionError:
        return True
    return False


MANY_RESERVATIONS = [("reserve", 0, 0.0, SUCCESS)] * 40
DOUBLE_RELEASE = [
    *MANY_RESERVATIONS[:1],
    ("release", 0, 0.0, SUCCESS),
    ("again", 0, 0.0, SUCCESS),
]


@given(ACTIONS)
def test_slots_are_never_exceeded_and_are_released_once(actions):
    Oracle(SlotLimitedRouting).run(actions)


def test_the_naive_routing_exceeds_the_slots():
    assert violates_slots(UnlimitedRouting, MANY_RESERVATIONS)
    assert not violates_slots(SlotLimitedRouting, MANY_RESERVATIONS)


def test_the_naive_routing_releases_a_slot_twice():
    assert violates_slots(UnlimitedRouting, DOUBLE_RELEASE)
    assert not violates_slots(SlotLimitedRouting, DOUBLE_RELEASE)


def count_domains(state, now_s, count=200):
    counts = Counter()
    for i in range(count):
        held = routing.reserve(state, ROUTE, (), now_s + 0.01 * i).unwrap()
        counts[state.health.upstreams[held.upstream].upstream.failure_domain] += 1
        routing.release(state, held, SUCCESS, now_s + 0.01 * i)
    return counts


def test_the_own_failure_domain_is_preferred():
    counts = count_domains(new_state([upstream(i) for i in range(16)]), 0.0)
    assert counts["north/a"] > 180
    assert not counts["south/a"] and not counts["south/b"]


def test_a_small_failure_domain_is_combined_with_its_region():
    counts = count_domains(new_state([upstream(i) for i in range(8)]), 0.0)
    assert counts["north/a"] > 50 and counts["north/b"] > 50
    assert not counts["south/a"] and not counts["south/b"]


def test_other_regions_are_used_when_no_near_slot_is_free():
    state = new_state([upstream(i, slots=1) for i in range(4)])
    names = [routing.reserve(state, ROUTE, (), 0.0).unwrap().upstream for _ in "abcd"]
    assert set(names[:2]) == {"u00", "u01"}
    assert set(names[2:]) == {"u02", "u03"}
    refusal = routing.reserve(state, ROUTE, (), 0.0).unwrap_err()
    assert refusal.kind is RefusalKind.NO_SLOT
    assert refusal.run is RunState.NOT_RUN
    assert refusal.retry_at_s > 0.0


def test_the_third_attempt_goes_to_another_region():
    state = new_state([upstream(i) for i in range(16)])
    held = routing.reserve(state, ROUTE, ("u00", "u04"), 0.0).unwrap()
    assert held.upstream in {"u02", "u03", "u06", "u07", "u10", "u11", "u14", "u15"}


def test_an_upstream_that_failed_already_is_not_tried_again():
    state = new_state([upstream(i) for i in range(2)])
    assert routing.reserve(state, ROUTE, ("u00",), 0.0).unwrap().upstream == "u01"
    refusal = routing.reserve(state, ROUTE, ("u00", "u01"), 0.0).unwrap_err()
    assert refusal.kind is RefusalKind.NO_UPSTREAM
    assert refusal.run is RunState.NOT_RUN


def test_a_shed_request_starts_a_backoff():
    state = new_state([upstream(0)])
    held = routing.reserve(state, ROUTE, (), 0.0).unwrap()
    routing.release(state, held, health.Shed(), 0.0)
    refusal = routing.reserve(state, ROUTE, (), 0.001).unwrap_err()
    assert refusal.kind is RefusalKind.NO_SLOT
    assert routing.reserve(state, ROUTE, (), 0.03).is_ok()


def test_a_withdrawn_upstream_is_not_chosen_and_its_slots_are_released():
    state = new_state([upstream(0), upstream(1)])
    held = [routing.reserve(state, ROUTE, (), 0.0).unwrap() for _ in range(8)]
    routing.apply_catalogue(state, catalogue([upstream(1)]), 1.0)
    for item in held:
        routing.release(state, item, SUCCESS, 2.0)
    assert not state.reservations
    assert routing.reserve(state, ROUTE, (), 3.0).unwrap().upstream == "u01"


def test_an_added_upstream_gets_a_small_share_first():
    state = new_state([upstream(4 * i) for i in range(4)])
    routing.apply_catalogue(state, catalogue([upstream(4 * i) for i in range(5)]), 5.0)
    counts = Counter()
    for _ in range(300):
        held = routing.reserve(state, ROUTE, (), 5.0).unwrap()
        counts[held.upstream] += 1
        routing.release(state, held, SUCCESS, 5.0)
    assert 0 < counts["u16"] < 30


def send_requests(state, now_s, count, is_failing):
    """Send requests in sequence; return the time and how many reached failing ones."""
    failing_count = 0
    for _ in range(count):
        now_s += 0.03
        health.tick(state.health, now_s)
        held = routing.reserve(state, ROUTE, (), now_s).unwrap()
        failing_count += is_failing(held.upstream)
        end = health.Truncated() if is_failing(held.upstream) else SUCCESS
        routing.release(state, held, end, now_s)
    return now_s, failing_count


def test_a_failing_failure_domain_is_replaced_by_others():
    state = new_state([upstream(i) for i in range(16)])
    now_s, _ = send_requests(state, 0.0, 100, lambda name: False)
    own = {"u00", "u04", "u08", "u12"}
    now_s, _ = send_requests(state, now_s, 100, own.__contains__)
    _, failing_count = send_requests(state, now_s, 100, own.__contains__)
    assert failing_count == 0


def test_a_request_is_served_when_a_whole_region_fails():
    state = new_state([upstream(i) for i in range(16)])
    near = {f"u{i:02}" for i in range(16) if i % 4 < 2}
    now_s, _ = send_requests(state, 0.0, 100, lambda name: False)
    failed = []
    for _ in range(3):
        held = routing.reserve(state, ROUTE, failed, now_s).unwrap()
        end = health.ConnectFailed() if held.upstream in near else SUCCESS
        routing.release(state, held, end, now_s)
        failed.append(held.upstream)
    assert failed[-1] not in near
