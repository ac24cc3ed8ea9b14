"""No schedule of faults admits more than a single global bucket would."""

import random

from hypothesis import given
from hypothesis import strategies as st

from chervilpitch.limits import naive
from chervilpitch.limits.bucket import MAX_CLOCK_DRIFT
from chervilpitch.model import ClientAccount, Sender
from tests.limits.fleet import Fleet, catalogue_of, overshoot, seat_table

SEATS = seat_table(2, 2, 2)
ACCOUNTS = (ClientAccount("large", 40.0, 15.0), ClientAccount("small", 4.0, 7.0))
CLOCK_DRIFTS = st.floats(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT)
INDEX = st.integers(0, 30)

FAULTS = st.one_of(
    st.tuples(st.just("replace"), st.integers(0, 7), st.sets(INDEX, max_size=6)),
    st.tuples(st.just("kill"), INDEX, st.none()),
    st.tuples(st.just("pause"), INDEX, st.floats(0.1, 12)),
    st.tuples(st.just("cut"), st.sets(INDEX, max_size=8), st.booleans()),
    st.tuples(st.just("heal"), st.none(), st.none()),
    st.tuples(st.just("publish"), st.sets(INDEX, max_size=6), st.none()),
)
SCHEDULE = st.lists(st.tuples(FAULTS, st.floats(0.05, 6)), min_size=2, max_size=9)


def saturate(fleet):
    """Send more requests than can be admitted to every instance."""
    for node in fleet.nodes.values():
        for account in ACCOUNTS:
            while fleet.request(node, account.name):
                pass


def apply_fault(fleet, kind, subject, detail):
    nodes = list(fleet.nodes.values())
    if kind == "replace":
        replacements = sum(node.seat == subject for node in nodes)
        if replacements < 3:
            clock_rate = 1 + fleet.random.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT)
            clock_offset_s = fleet.random.uniform(0, 1e5)
            fleet.start(
                f"n{subject}-{replacements}", subject, clock_offset_s, clock_rate
            )
        listing = {n.sender.name: n for n in nodes}
        listing = {
            name: instance
            for name, instance in fleet.listed_instances().items()
            if instance.seat != subject or name not in listing
        }
        unaware = {nodes[i % len(nodes)].sender.name for i in detail}
        aware = [n for n in fleet.nodes.values() if n.sender.name not in unaware]
        fleet.publish(listing, aware)
    elif kind == "kill":
        nodes[subject % len(nodes)].is_stopped = True
    elif kind == "pause":
        nodes[subject % len(nodes)].paused_until_s = fleet.now_s + detail
    elif kind == "cut":
        side = {nodes[i % len(nodes)].sender.name for i in subject}
        one_way = detail
        fleet.is_connected = lambda a, b: (a.sender.name in side) == (
            b.sender.name in side
        ) or (one_way and a.sender.name in side)
    elif kind == "heal":
        fleet.is_connected = lambda a, b: True
    elif kind == "publish":
        fleet.publish(to=[nodes[i % len(nodes)] for i in subject])


def unreliable_delays(rng):
    """Return the delays of the copies of a message; it may be lost or duplicated."""
    copies = rng.choice([0, 1, 1, 1, 1, 2])
    return [rng.choice([0.001, 0.01, 0.1, 1.0, 5.0, 20.0]) for _ in range(copies)]


def start_fleet(seed, clock_errors):
    fleet = Fleet(catalogue_of(ACCOUNTS, SEATS), seed)
    for seat, clock_error in zip(SEATS, clock_errors):
        clock_offset_s = fleet.random.uniform(0, 1e5)
        fleet.start(f"n{seat}", seat, clock_offset_s, 1 + clock_error)
    fleet.publish()
    return fleet


@given(
    seed=st.integers(0, 2**32),
    clock_errors=st.lists(CLOCK_DRIFTS, min_size=8, max_size=8),
    is_lossless=st.booleans(),
    schedule=SCHEDULE,
)
def test_no_schedule_of_faults_overshoots(seed, clock_errors, is_lossless, schedule):
    fleet = start_fleet(seed, clock_errors)
    fleet.run(9)
    if not is_lossless:
        fleet.copy_delays = unreliable_delays
    for (kind, subject, detail), for_s in schedule:
        apply_fault(fleet, kind, subject, detail)
        fleet.run(for_s, saturate)
    fleet.run(8, saturate)
    for account in ACCOUNTS:
        assert overshoot(fleet.admitted, account) == 0


def test_a_saturated_fleet_admits_nearly_the_whole_rate():
    fleet = start_fleet(1, [0.0] * 8)
    fleet.run(9)
    fleet.run(20, saturate)
    spent = sum(cost for _, name, cost in fleet.admitted if name == "large")
    assert spent > 0.97 * 20 * 40


def test_overshoot_of_the_naive_limiter_is_detected():
    catalogue = catalogue_of(ACCOUNTS, SEATS)
    fleet = random.Random(1), [naive.NaiveLimitState(Sender(f"n{i}", i)) for i in SEATS]
    admitted = []
    for state in fleet[1]:
        naive.apply_catalogue(state, catalogue, 0.0)
    for step in range(200):
        now_s = step * 0.05
        for i, state in enumerate(fleet[1]):
            sees_all = i % 2
            naive.update_instances(state, SEATS if sees_all else {0: ""}, now_s)
            while naive.admit(state, "large", now_s).is_ok():
                admitted.append((now_s, "large", 1.0))
    assert overshoot(admitted, ACCOUNTS[0]) > 15
