"""Address answers: homes first, two failure domains, a bounded life."""

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
    state = fleet.one(name)
    return select_addresses(
        state, seats, account, fleet.now_s, caller=caller, caller_domain=domain
    )


def domain_of(fleet, name):
    return fleet.listed[name].failure_domain


@pytest.mark.parametrize("domain", DOMAINS)
def test_the_home_of_the_region_goes_first_and_others_of_the_region_follow(domain):
    fleet = running_fleet()
    given_names = ask(fleet, domain=domain).instances
    homes = home_seats("fitters", group_seats(seats_of(fleet.listed)))
    assert fleet.listed[given_names[0]].seat in homes
    domains = [domain_of(fleet, name) for name in given_names]
    assert domains[0] != domains[1]
    assert {d.partition("/")[0] for d in domains} == {domain.partition("/")[0]}


def test_all_instances_give_one_caller_the_same_answer():
    fleet = running_fleet()
    answers = {ask(fleet, name, domain="sindh/a").addresses for name in fleet.listed}
    assert len(answers) == 1


def test_callers_of_one_account_share_its_home_and_spread_over_the_others():
    fleet = running_fleet()
    answers = [ask(fleet, caller=f"c{n}").instances for n in range(200)]
    assert len({answer[0] for answer in answers}) == 1
    seconds = [answer[1] for answer in answers]
    shares = {name: seconds.count(name) for name in set(seconds)}
    assert len(shares) >= 5 and min(shares.values()) > 12


def test_callers_without_an_account_spread_over_their_domain():
    fleet = running_fleet()
    answers = [ask(fleet, account=None, caller=f"c{n}") for n in range(200)]
    firsts = {a.instances[0] for a in answers}
    assert firsts == {n for n in fleet.listed if domain_of(fleet, n) == "punjab/a"}


def test_a_suspect_home_comes_after_a_sure_other():
    fleet = running_fleet()
    first = ask(fleet).instances[0]
    fleet.stop(first)
    fleet.run(10)
    observer = "i0" if first != "i0" else "i6"
    assert first not in ask(fleet, observer, domain="punjab/a").instances


def test_another_domain_is_no_reason_to_name_a_suspect_second():
    fleet = running_fleet(8)
    for name in set(fleet.listed) - {"i0", "i6"}:
        fleet.stop(name)
    fleet.run(10)
    assert set(ask(fleet).instances[:2]) == {"i0", "i6"}


def test_with_everyone_silent_the_listed_are_still_named():
    fleet = running_fleet(12)
    fleet.cuts = {(name, "i0") for name in fleet.listed}
    fleet.run(60)
    names = ask(fleet).instances
    assert len(names) == 4


def test_a_shared_address_is_named_once():
    fleet = running_fleet(2)
    fleet.publish(fleet.listed | {"again": instance(1, "again")})
    addresses = ask(fleet).addresses
    assert len(addresses) == len(set(addresses)) == 2


def test_an_answer_ends_at_its_deadline():
    fleet = running_fleet(4)
    asked_at_s = fleet.now_s
    given_answer = ask(fleet)
    assert remaining_lifetime_s(given_answer, asked_at_s) == 30
    assert remaining_lifetime_s(given_answer, asked_at_s + 12) == 18
    assert remaining_lifetime_s(given_answer, asked_at_s + 99) == 0


def test_an_old_view_gives_a_short_lived_answer():
    fleet = running_fleet(4)
    fleet.now_s += 600
    assert remaining_lifetime_s(ask(fleet), fleet.now_s) == 5


def test_nobody_is_told_to_use_a_leaver_after_it_stops_serving():
    fleet = running_fleet(36)
    fleet.leave("i7")
    serves_until_s = linger_until(fleet.one("i7"))
    last_named_s = fleet.now_s
    for _ in range(40):
        fleet.run(1)
        named = {n for i in fleet.listed for n in ask(fleet, i, "a7").instances}
        if "i7" in named:
            last_named_s = fleet.now_s
    assert last_named_s + 30 < serves_until_s


def test_linger_is_counted_from_the_beginning_of_leaving():
    fleet = running_fleet(2)
    state = fleet.one("i0")
    assert linger_until(state) is None
    begin_leaving(state, 100.0)
    assert begin_leaving(state, 130.0) == ()
    tick(state, 140.0)
    assert linger_until(state) == 162.0
    assert state.own.state is InstanceState.LEAVING


@settings(max_examples=30)
@given(st.lists(st.integers(0, 23), max_size=6, unique=True), st.randoms())
def test_naive_names_leavers_and_dead_under_list_lag_and_ours_does_not(seats, random):
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
    naive.follow_list(fleet.listed)
    lost_addresses = {fleet.listed[name].callers_address for name in lost}
    named = {a for n in range(300) for a in naive.answer(f"account {n}")}
    assert bool(named & lost_addresses) == bool(lost)


@pytest.mark.parametrize(
    "order", ["membership, chervilpitch.limits", "limits, chervilpitch.membership"]
)
def test_either_package_may_be_imported_first(order):
    command = f"import chervilpitch.{order}"
    environment = os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)}
    program = [sys.executable, "-c", command]
    subprocess.run(program, check=True, timeout=60, env=environment)
