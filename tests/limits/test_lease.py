"""A seat has at most one holder at a time."""

from chervilpitch.limits import limiter
from chervilpitch.limits.lease import LEASE_DURATION_S
from chervilpitch.limits.messages import Claim
from tests.limits.fleet import Fleet, catalogue_of, seat_table

SEATS = seat_table(2, 2, 3)


def start_fleet(**options):
    fleet = Fleet(catalogue_of((), SEATS))
    fleet.start_all(**options)
    fleet.run(6)
    return fleet


def holds(fleet, name):
    node = fleet.nodes[name]
    return node.state.lease.holds(node.clock(fleet.now_s))


def replace(fleet, seat):
    node = fleet.start(f"new{seat}", seat)
    listing = fleet.listed_instances()
    listing.pop(f"n{seat}", None)
    fleet.publish(listing)
    return node


def test_all_seats_are_held_after_a_cold_start():
    fleet = start_fleet()
    assert all(holds(fleet, name) for name in fleet.nodes)


def test_no_seat_is_held_in_the_first_lease_duration():
    fleet = Fleet(catalogue_of((), SEATS))
    fleet.start_all()
    fleet.run(3.9)
    assert not any(holds(fleet, name) for name in fleet.nodes)


def test_a_replacement_gets_no_lease_while_the_holder_runs():
    fleet = start_fleet()
    replace(fleet, 0)
    fleet.run(10)
    assert holds(fleet, "n0") and not holds(fleet, "new0")


def test_a_replacement_holds_the_seat_after_the_lease_of_an_isolated_holder():
    fleet = start_fleet()
    fleet.is_connected = lambda a, b: "n0" not in (a.sender.name, b.sender.name)
    replace(fleet, 0)
    fleet.run(6)
    assert holds(fleet, "new0") and not holds(fleet, "n0")


def test_a_paused_holder_has_lost_its_seat_before_it_handles_a_message():
    fleet = start_fleet()
    fleet.nodes["n0"].paused_until_s = fleet.now_s + 60
    replace(fleet, 0)
    fleet.run(8)
    assert holds(fleet, "new0") and not holds(fleet, "n0")


def test_a_partitioned_region_keeps_its_seats():
    fleet = start_fleet()
    fleet.is_connected = lambda a, b: SEATS[a.seat][:2] == SEATS[b.seat][:2]
    fleet.run(20)
    assert all(holds(fleet, name) for name in fleet.nodes)


def test_a_released_seat_is_held_by_the_replacement_within_two_seconds():
    fleet = start_fleet()
    node = fleet.nodes["n0"]
    fleet.send(
        node, limiter.release_seat_and_loans(node.state, node.clock(fleet.now_s))
    )
    replace(fleet, 0)
    fleet.run(2)
    assert holds(fleet, "new0") and not holds(fleet, "n0")


def test_a_new_witness_promises_nothing_for_a_lease_duration():
    fleet = start_fleet()
    fleet.nodes["n0"].is_stopped = True
    node = replace(fleet, 0)
    granted = []
    for step in range(400):
        fleet.run(0.05)
        now_s = node.clock(fleet.now_s)
        if node.state.lease.holds(now_s):
            age_s = now_s - node.state.lease.held_since_s
            answer = node.state.lease.answer_claim(Claim(1, step), 99, now_s)
            assert not answer.granted or age_s >= LEASE_DURATION_S
            granted.append(answer.granted or answer.taken)
    assert granted[-1] and not granted[0]


def test_a_region_without_any_lease_bootstraps_again():
    fleet = start_fleet()
    fleet.is_connected = lambda a, b: False
    fleet.run(15)
    assert not any(holds(fleet, name) for name in fleet.nodes)
    fleet.is_connected = lambda a, b: True
    fleet.run(7)
    assert all(holds(fleet, name) for name in fleet.nodes)


def test_a_fleet_of_one_seat_holds_it_after_a_lease_duration():
    fleet = Fleet(catalogue_of((), {0: "r0/d0"}))
    fleet.start_all()
    fleet.run(4.2)
    assert holds(fleet, "n0")


def test_a_region_replaced_whole_while_it_still_runs_is_held_once():
    fleet = Fleet(catalogue_of((), seat_table(1, 2, 3)))
    fleet.start_all()
    fleet.run(6)
    old = set(fleet.nodes)
    fleet.is_connected = lambda a, b: (a.sender.name in old) == (b.sender.name in old)
    for seat in range(6):
        replace(fleet, seat)
    fleet.publish(
        {n: i for n, i in fleet.listed_instances().items() if n not in old}, None
    )
    fleet.publish(to=[fleet.nodes[name] for name in old])
    fleet.run(10)
    held = [node.seat for name, node in fleet.nodes.items() if holds(fleet, name)]
    assert len(held) == len(set(held))
