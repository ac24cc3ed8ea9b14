"""Selected addresses: home instances first, two failure domains, limited lifetime."""

import os
import subprocess
import sys

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chervilpitch.limits.homes import group_seats, home_seats
from chervilpitch.membership import (
    begin_leaving,
    linger_until,
    remaining_lifetime_s,
    select_addresses,
    tick,
)
from chervilpitch.membership.naive import NaiveMembership
from chervilpitch.model import InstanceState
from tests.membership.fleet import DOMAINS, Fleet, instance, seats_of


def running_fleet(size=36):
    fleet = Fleet(size)
    fleet.run(5)
    return fleet


def ask(fleet, name="i0", account="fitters", caller="c", domain=None, count=4):
    seats = seats_of(fleet.listed)
    state = fleet.state_of(name)
    return select_addresses(
        state, seats, account, fleet.now_s, caller=caller, caller_domain=domain
    )


def domain_of(fleet, name):
    return fleet.listed[name].failure_domain


@pytest.mark.parametrize("domain", DOMAINS)
def test_home_of_the_region_comes_first_and_others_of_the_region_follow(domain):
    fleet = running_fleet()
    selected = ask(fleet, domain=domain).instances
    homes = home_seats("fitters", group_seats(seats_of(fleet.listed)))
    assert fleet.listed[selected[0]].seat in homes
    domains = [domain_of(fleet, name) for name in selected]
    assert domains[0] != domains[1]
    assert {d.partition("/")[0] for d in domains} == {domain.partition("/")[0]}


def test_all_instances_select_the_same_addresses_for_one_caller():
    fleet = running_fleet()
    selections = {ask(fleet, name, domain="sindh/a").addresses for name in fleet.listed}
    assert len(selections) == 1


def test_callers_of_one_account_share_its_home_and_spread_over_the_others():
    fleet = running_fleet()
    selections = [ask(fleet, caller=f"c{n}").instances for n in range(200)]
    assert len({selection[0] for selection in selections}) == 1
    seconds = [selection[1] for selection in selections]
    shares = {name: seconds.count(name) for name in set(seconds)}
    assert len(shares) >= 5 and min(shares.values()) > 12


def test_callers_without_an_account_spread_over_their_domain():
    fleet = running_fleet()
    selections = [ask(fleet, account=None, caller=f"c{n}") for n in range(200)]
    firsts = {a.instances[0] for a in selections}
    assert firsts == {n for n in fleet.listed if domain_of(fleet, n) == "punjab/a"}


def test_a_suspect_home_comes_after_unsuspected_instances():
    fleet = running_fleet()
    first = ask(fleet).instances[0]
    fleet.stop(first)
    fleet.run(10)
    observer = "i0" if first != "i0" else "i6"
    assert first not in ask(fleet, observer, domain="punjab/a").instances


def test_a_suspect_is_not_moved_to_second_place_for_its_domain():
    fleet = running_fleet(8)
    for name in set(fleet.listed) - {"i0", "i6"}:
        fleet.stop(name)
    fleet.run(10)
    assert set(ask(fleet).instances[:2]) == {"i0", "i6"}


def test_listed_instances_are_selected_even_if_all_are_silent():
    fleet = running_fleet(12)
    fleet.blocked_links = {(name, "i0") for name in fleet.listed}
    fleet.run(60)
    names = ask(fleet).instances
    assert len(names) == 4


def test_a_shared_address_is_selected_once():
    fleet = running_fleet(2)
    fleet.publish(fleet.listed | {"again": instance(1, "again")})
    addresses = ask(fleet).addresses
    assert len(addresses) == len(set(addresses)) == 2


def test_remaining_lifetime_is_zero_after_the_expiry():
    fleet = running_fleet(4)
    asked_at_s = fleet.now_s
    selection = ask(fleet)
    assert remaining_lifetime_s(selection, asked_at_s) == 30
    assert remaining_lifetime_s(selection, asked_at_s + 12) == 18
    assert remaining_lifetime_s(selection, asked_at_s + 99) == 0


def test_a_stale_view_gives_addresses_a_short_lifetime():
    fleet = running_fleet(4)
    fleet.now_s += 600
    assert remaining_lifetime_s(ask(fleet), fleet.now_s) == 5


def test_a_leaving_instance_is_not_selected_after_it_stops_serving():
    fleet = running_fleet(36)
    fleet.leave("i7")
    serves_until_s = linger_until(fleet.state_of("i7"))
    last_named_s = fleet.now_s
    for _ in range(40):
        fleet.run(1)
        named = {n for i in fleet.listed for n in ask(fleet, i, "a7").instances}
        if "i7" in named:
            last_named_s = fleet.now_s
    assert last_named_s + 30 < serves_until_s


def test_linger_time_starts_when_leaving_begins():
    fleet = running_fleet(2)
    state = fleet.state_of("i0")
    assert linger_until(state) is None
    begin_leaving(state, 100.0)
    assert begin_leaving(state, 130.0) == ()
    tick(state, 140.0)
    assert linger_until(state) == 162.0
    assert state.own.state is InstanceState.LEAVING


@settings(max_examples=30)
@given(st.lists(st.integers(0, 23), max_size=6, unique=True), st.randoms())
def test_only_naive_membership_selects_lost_instances_under_list_lag(seats, random):
    fleet = Fleet(24)
    fleet.run(4, step_s=1)
    lost = [f"i{seat}" for seat in seats]
    dead = set(random.sample(lost, len(lost) // 2))
    for name in lost:
        if name in dead:
            fleet.stop(name)
        else:
            fleet.leave(name)
    fleet.run(9, step_s=1)
    observers = [name for name in fleet.listed if name not in lost]
    asked = random.sample(observers, 3)
    ours = {n for i in asked for n in ask(fleet, i, f"account {i}").instances}
    assert not ours & set(lost)
    naive = NaiveMembership()
    naive.apply_list(fleet.listed)
    lost_addresses = {fleet.listed[name].callers_address for name in lost}
    named = {a for n in range(300) for a in naive.select_addresses(f"account {n}")}
    assert bool(named & lost_addresses) == bool(lost)


@pytest.mark.parametrize(
    "order", ["membership, chervilpitch.limits", "limits, chervilpitch.membership"]
)
def test_either_package_may_be_imported_first(order):
    command = f"import chervilpitch.{order}"
    environment = os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)}
    program = [sys.executable, "-c", command]
    subprocess.run(program, check=True, timeout=60, env=environment)
