"""Instances per service and upstreams per instance."""

from collections import Counter

from chervilpitch.model import region_of
from chervilpitch.routing import budgets, serving_seats, used_upstreams
from chervilpitch.routing.subset import service_share
from tests.routing.builders import DOMAINS, catalogue, upstream

TWELVE = tuple(f"r{r}/{d}" for r in range(4) for d in "abc")
SEATS = {seat: TWELVE[seat % 12] for seat in range(3_700)}


def test_every_instance_of_today_uses_all_upstreams():
    in_force = catalogue([upstream(i) for i in range(25)], seats=36)
    for seat in range(36):
        share = used_upstreams(in_force, seat)["desk"]
        assert len(share.upstreams) == 25
        assert share.users == 36


def test_a_big_fleet_spreads_a_service_over_all_failure_domains():
    seats = serving_seats("desk", SEATS, 330)
    domains = Counter(SEATS[seat] for seat in seats)
    assert set(domains) == set(TWELVE)
    assert set(domains.values()) == {3}


def test_losing_a_failure_domain_leaves_the_other_seats_as_they_were():
    left = {seat: domain for seat, domain in SEATS.items() if domain != TWELVE[0]}
    before = serving_seats("desk", SEATS, 330)
    after = serving_seats("desk", left, 330)
    assert {seat for seat in before if SEATS[seat] != TWELVE[0]} <= set(after)


def test_connections_of_all_instances_stay_within_the_upstreams():
    target = upstream(0, connections=330)
    for count in (32, 36, 200, 3_700):
        seats = {seat: TWELVE[seat % 12] for seat in range(count)}
        users = len(serving_seats("desk", seats, 330))
        assert users * budgets.connection_limit(target, users) <= 330


def test_services_are_spread_over_a_big_fleet():
    load = Counter()
    for number in range(3_200):
        load.update(serving_seats(f"service{number}", SEATS, 330))
    assert max(load.values()) < 70


def test_a_big_service_keeps_upstreams_in_every_failure_domain():
    upstreams = tuple(upstream(i, domains=TWELVE) for i in range(400))
    seat = serving_seats("desk", SEATS, 330)[0]
    share = service_share("desk", upstreams, seat, SEATS)
    domains = Counter(u.failure_domain for u in share.upstreams)
    assert set(domains.values()) == {3}
    left = [u for u in share.upstreams if u.failure_domain != TWELVE[0]]
    assert len(left) == 33
    assert len({region_of(u.failure_domain) for u in left}) == 4


def test_an_instance_outside_the_service_uses_nothing():
    members = serving_seats("desk", SEATS, 330)
    outside = next(seat for seat in SEATS if seat not in members)
    upstreams = tuple(upstream(i, domains=DOMAINS) for i in range(16))
    assert service_share("desk", upstreams, outside, SEATS).upstreams == ()
