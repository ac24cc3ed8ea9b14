"""A new catalogue adds no tokens to any bucket."""

import pytest

from chervilpitch.limits import admit, group_seats, home_seats
from chervilpitch.limits.homes import HOMES_PER_REGION
from chervilpitch.limits.witnesses import witness_seats
from chervilpitch.model import ClientAccount, RefusalKind
from tests.limits.fleet import Fleet, catalogue_of, overshoot, seat_table

SEATS = seat_table(2, 1, 4)
SLOW = ClientAccount("fitters", 10.0, 20.0)
FAST = ClientAccount("fitters", 30.0, 60.0)


def saturate(fleet):
    for node in fleet.nodes.values():
        while fleet.request(node, "fitters"):
            pass


def start_fleet(account, seats=SEATS):
    fleet = Fleet(catalogue_of((account,), seats))
    fleet.start_all()
    fleet.run(20)
    return fleet


@pytest.mark.parametrize("before, after", [(SLOW, FAST), (FAST, SLOW)])
def test_a_change_applied_by_some_instances_stays_within_the_greater_limits(
    before, after
):
    fleet = start_fleet(before)
    fleet.run(3, saturate)
    for node in list(fleet.nodes.values())[::2]:
        fleet.apply_catalogue(node, catalogue_of((after,), SEATS, 2))
    fleet.run(5, saturate)
    for node in fleet.nodes.values():
        fleet.apply_catalogue(node, catalogue_of((after,), SEATS, 2))
    fleet.run(5, saturate)
    assert overshoot(fleet.admitted, FAST) == 0


def test_a_raised_burst_is_not_filled_by_the_change():
    fleet = start_fleet(SLOW)
    for node in fleet.nodes.values():
        fleet.apply_catalogue(node, catalogue_of((FAST,), SEATS, 2))
    saturate(fleet)
    assert len(fleet.admitted) <= SLOW.burst


def test_an_account_withdrawn_and_added_again_starts_empty():
    fleet = start_fleet(SLOW)
    saturate(fleet)
    for accounts, revision in (((), 2), ((SLOW,), 3)):
        for node in fleet.nodes.values():
            fleet.apply_catalogue(node, catalogue_of(accounts, SEATS, revision))
    fleet.run(10, saturate)
    assert overshoot(fleet.admitted, SLOW) == 0


def test_a_withdrawn_account_is_refused():
    fleet = start_fleet(SLOW)
    node = fleet.nodes["n0"]
    fleet.apply_catalogue(node, catalogue_of((), SEATS, 2))
    assert not fleet.request(node, "fitters")


def test_a_refusal_says_that_the_request_was_not_run():
    fleet = start_fleet(SLOW)
    saturate(fleet)
    node = fleet.nodes["n0"]
    refusal = admit(node.state, "fitters", node.clock(fleet.now_s)).unwrap_err()
    assert refusal.kind is RefusalKind.RATE_EXCEEDED
    assert refusal.run == "not-run" and refusal.retry_at_s > fleet.now_s


def test_seats_changed_on_some_instances_only_do_not_overshoot():
    fleet = start_fleet(FAST)
    remaining = dict(SEATS)
    homes = fleet.nodes["n0"].state.homes("fitters")
    del remaining[homes[0]]
    for node in fleet.nodes.values():
        if node.seat != homes[0]:
            fleet.apply_catalogue(node, catalogue_of((FAST,), remaining, 2))
    fleet.run(40, saturate)
    assert overshoot(fleet.admitted, FAST) == 0


def test_adding_a_seat_that_is_no_home_fills_no_bucket():
    fleet = start_fleet(FAST)
    homes = fleet.nodes["n0"].state.homes("fitters")
    fleet.run(3, saturate)
    for number in range(100, 140):
        added = SEATS | {number: SEATS[0]}
        catalogue = catalogue_of((FAST,), added, 2)
        if homes_of(catalogue) == homes:
            break
    for node in fleet.nodes.values():
        fleet.apply_catalogue(node, catalogue)
    fleet.run(10, saturate)
    assert homes_of(catalogue) == homes
    assert overshoot(fleet.admitted, FAST) == 0


def test_seats_changed_twice_do_not_overshoot():
    fleet = start_fleet(FAST)
    remaining = dict(SEATS)
    homes = fleet.nodes["n0"].state.homes("fitters")
    del remaining[homes[0]]
    again = remaining | {100: remaining[homes[1]]}
    for revision, seats in ((2, remaining), (3, again)):
        for node in fleet.nodes.values():
            if node.seat != homes[0]:
                fleet.apply_catalogue(node, catalogue_of((FAST,), seats, revision))
        fleet.run(1, saturate)
    fleet.run(30, saturate)
    assert overshoot(fleet.admitted, FAST) == 0


@pytest.mark.parametrize("shape", [(2, 1, 4), (2, 2, 4)])
def test_a_withdrawn_seat_whose_witnesses_keep_the_old_table_does_not_overshoot(shape):
    seats = seat_table(*shape)
    fleet = start_fleet(FAST, seats)
    remaining = dict(seats)
    home = fleet.nodes["n0"].state.homes("fitters")[0]
    del remaining[home]
    outdated_seats = {home, *witness_seats(home, seats)}
    for node in fleet.nodes.values():
        if node.seat not in outdated_seats:
            fleet.apply_catalogue(node, catalogue_of((FAST,), remaining, 2))
    fleet.run(40, saturate)
    assert overshoot(fleet.admitted, FAST) == 0


def homes_of(catalogue):
    groups = group_seats(catalogue.seats)
    return home_seats("fitters", groups, HOMES_PER_REGION)
