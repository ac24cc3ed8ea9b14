"""Ejection never reduces the capacity in use below the floor, at any time."""

from hypothesis import given
from hypothesis import strategies as st

from chervilpitch import health
from chervilpitch.health import naive
from chervilpitch.health.ejection import FLOOR_SHARE, ramp_weight
from chervilpitch.health.evidence import DRAINING_TTL_S
from tests.health.builders import answered, catalogue, upstream

FAILURES = (
    health.ErrorResponse(500),
    health.ConnectFailed(),
    health.Truncated(),
    health.Stalled(5.0),
    answered(4.0),
    health.ProbeFailed(),
)
SUCCESSES = (answered(), answered(0.05), health.ProbeSucceeded(0.02), health.Shed())
OBSERVATIONS = st.sampled_from((*FAILURES, *SUCCESSES, health.DrainAnnounced()))
LONG_STEPS_S = st.sampled_from((6.0, 61.0, 3_600.0, -5.0, -600.0))
SHORT_STEPS_S = st.sampled_from((0.0, 0.01, 0.1, 1.0))
STEPS_S = st.one_of(SHORT_STEPS_S, LONG_STEPS_S)
NUMBERS = st.integers(0, 9)
UPSTREAMS = st.builds(
    upstream, st.integers(0, 9), st.sampled_from((1, 3, 4, 16)), st.booleans()
)
DECLARATIONS = st.lists(UPSTREAMS, max_size=12)
EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("observe"), STEPS_S, NUMBERS, OBSERVATIONS),
        *[st.tuples(st.just("fail"), SHORT_STEPS_S, NUMBERS, st.sampled_from(FAILURES))]
        * 4,
        st.tuples(st.just("serve"), STEPS_S, NUMBERS, st.none()),
        st.tuples(st.just("declare"), STEPS_S, DECLARATIONS, st.none()),
        st.tuples(st.just("start"), STEPS_S, NUMBERS, st.none()),
        st.tuples(st.just("tick"), STEPS_S, st.none(), st.none()),
    ),
    min_size=5,
    max_size=60,
)


class GrayFailureDetector:
    """Adapter of the package's detector to the interface that the oracle uses."""

    def __init__(self):
        self.state = health.HealthState("north/a")
        self.apply_catalogue = lambda c, t: health.apply_catalogue(self.state, c, t)
        self.observe = lambda n, o, t: health.observe(self.state, n, o, t)
        self.tick = lambda t: health.tick(self.state, t)
        self.eligible = lambda t: health.eligible_upstreams(self.state, "desk", t)
        self.share = lambda n, t: ramp_weight(self.state, n, t)

    def start(self, name, number, now_s):
        health.exchange_started(self.state, name, number, now_s)


class ThresholdDetector:
    """Adapter of the detector with fixed thresholds to the same interface."""

    def __init__(self):
        self.state = naive.NaiveHealth()
        self.apply_catalogue = lambda c, t: naive.apply_catalogue(self.state, c, t)
        self.observe = lambda n, o, t: naive.observe(self.state, n, o, t)
        self.tick = lambda t: None
        self.eligible = lambda t: naive.eligible_upstreams(self.state, "desk", t)
        self.share = lambda n, t: 1.0
        self.start = lambda name, number, now_s: None


class Oracle:
    """Apply events and compare the capacity in use with the floor after each one."""

    def __init__(self, detector):
        self.detector = detector
        self.now_s = self.latest_s = 0.0
        self.draining_until_at_s = {}
        self.declare([upstream(i) for i in range(8)])

    def declare(self, upstreams):
        current = catalogue(upstreams)
        self.declared = current.upstreams
        kept = self.draining_until_at_s.items()
        self.draining_until_at_s = {n: t for n, t in kept if n in self.declared}
        self.detector.apply_catalogue(current, self.now_s)

    def run(self, events):
        for number, (kind, step_s, target, observation) in enumerate(events):
            self.now_s = max(0.0, self.now_s + step_s)
            self.latest_s = max(self.latest_s, self.now_s)
            self.apply(kind, target, observation, number)
            self.check(self.latest_s)
            self.check(self.latest_s + 0.3)
            self.check(self.latest_s + DRAINING_TTL_S)

    def apply(self, kind, target, observation, number):
        if kind == "observe":
            self.observe(f"u{target:02}", observation)
        elif kind == "fail":
            self.fail_repeatedly(f"u{target:02}", observation)
        elif kind == "serve":
            for name in sorted(self.declared):
                self.observe(name, answered())
        elif kind == "declare":
            self.declare(target)
        elif kind == "start":
            self.detector.start(f"u{target:02}", number, self.now_s)
        else:
            self.detector.tick(self.now_s)

    def fail_repeatedly(self, failing, observation):
        """Let one upstream fail while the others respond."""
        for _ in range(6):
            self.observe(failing, observation)
            for name in sorted(self.declared.keys() - {failing}):
                self.observe(name, answered())

    def observe(self, name, observation):
        if isinstance(observation, health.DrainAnnounced) and name in self.declared:
            self.draining_until_at_s[name] = self.latest_s + DRAINING_TTL_S
        self.detector.observe(name, observation, self.now_s)

    def is_usable(self, name, now_s):
        draining_until_at_s = self.draining_until_at_s.get(name, 0.0)
        return not self.declared[name].draining and now_s >= draining_until_at_s

    def check(self, now_s):
        slots = {name: u.slots for name, u in self.declared.items()}
        usable = sum(slots[n] for n in slots if self.is_usable(n, now_s))
        floor = min(FLOOR_SHARE * sum(slots.values()), usable)
        eligible = self.detector.eligible(now_s)
        assert all(self.is_usable(name, now_s) for name in eligible)
        in_use = sum(slots[n] * self.detector.share(n, now_s) for n in eligible)
        assert in_use >= floor - 1e-6


ALL_FAIL = [("fail", 0.1, i, health.ErrorResponse(500)) for i in range(8)]
FAIL_THEN_WITHDRAW = [
    *[("serve", 0.1, None, None)] * 10,
    *[("fail", 0.1, i, health.ErrorResponse(500)) for i in (0, 1, 2, 0, 1, 2)],
    ("declare", 0.1, [upstream(i) for i in range(4)], None),
]


def violates_floor(detector, events):
    try:
        Oracle(detector).run(events)
    except AssertionError:
        return True
    return False


@given(EVENTS)
def test_floor_holds_after_every_event(events):
    Oracle(GrayFailureDetector()).run(events)


def test_naive_detector_breaks_the_floor_when_all_fail():
    assert violates_floor(ThresholdDetector(), ALL_FAIL)
    assert not violates_floor(GrayFailureDetector(), ALL_FAIL)


def test_naive_detector_breaks_the_floor_on_withdrawal():
    assert violates_floor(ThresholdDetector(), FAIL_THEN_WITHDRAW)
    assert not violates_floor(GrayFailureDetector(), FAIL_THEN_WITHDRAW)


def test_the_events_do_eject_before_the_withdrawal():
    detector = GrayFailureDetector()
    Oracle(detector).run(FAIL_THEN_WITHDRAW[:-1])
    assert len(detector.eligible(10.0)) == 5


@given(EVENTS)
def test_the_capacity_left_is_counted_in_slots(events):
    """Guard against a floor counted in upstreams.

    It would allow ejection of the one upstream that has most of the slots.
    """
    detector = GrayFailureDetector()
    oracle = Oracle(detector)
    oracle.declare([upstream(0, slots=16), *(upstream(i, 1) for i in range(1, 8))])
    kept = [event for event in events if event[0] not in ("declare", "observe")]
    oracle.run(kept)
    assert "u00" in detector.eligible(oracle.latest_s)
