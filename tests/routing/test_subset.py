"""Number of instances per service and of upstreams per instance."""

from collections import Counter

from chervilpitch.model import region_of
from chervilpitch.routing import concurrency_windows, serving_seats, used_upstreams
from chervilpitch.routing.subset import service_share
from tests.routing.builders import DOMAINS, catalogue, upstream

TWELVE_DOMAINS = tuple(f"r{r}/{d}" for r in range(4) for d in "abc")
SEATS = {seat: TWELVE_DOMAINS[seat % 12] for seat in range(3_700)}


def test_every_instance_of_a_small_fleet_uses_all_upstreams():
    current = catalogue([upstream(i) for i in range(25)], seats=36)
    for seat in range(36):
        share = used_upstreams(current, seat)["desk"]
        assert len(share.upstreams) == 25
        assert share.users == 36


def test_a_large_fleet_spreads_a_service_over_all_failure_domains():
    seats = serving_seats("desk", SEATS, 330)
    domains = Counter(SEATS[seat] for seat in seats)
    assert set(domains) == set(TWELVE_DOMAINS)
    assert set(domains.values()) == {3}


def test_losing_a_failure_domain_does_not_change_the_other_seats():
    left = {
        seat: domain for seat, domain in SEATS.items() if domain != TWELVE_DOMAINS[0]
    }
    before = serving_seats("desk", SEATS, 330)
    after = serving_seats("desk", left, 330)
    assert {seat for seat in before if SEATS[seat] != TWELVE_DOMAINS[0]} <= set(after)


def test_connections_of_all_instances_stay_within_the_limit_of_the_upstream():
    target = upstream(0, connections=330)
    for count in (32, 36, 200, 3_700):
        seats = {seat: TWELVE_DOMAINS[seat % 12] for seat in range(count)}
        users = len(serving_seats("desk", seats, 330))
        assert users * concurrency_windows.connection_limit(target, users) <= 330


def test_services_are_spread_over_a_large_fleet():
    load = Counter()
    for number in range(3_200):
        load.update(serving_seats(f"service{number}", SEATS, 330))
    assert max(load.values()) < 70


def test_a_large_service_keeps_upstreams_in_every_failure_domain():
    upstreams = tuple(upstream(i, domains=TWELVE_DOMAINS) for i in range(400))
    seat = serving_seats("desk", SEATS, 330)[0]
    share = service_share("desk", upstreams, seat, SEATS)
    domains = Counter(u.failure_domain for u in share.upstreams)
    assert set(domains.values()) == {3}
    left = [u for u in share.upstreams if u.failure_domain != TWELVE_DOMAINS[0]]
    assert len(left) == 33
    assert len({region_of(u.failure_domain) for u in left}) == 4


def test_an_instance_that_does_not_serve_the_service_uses_no_upstreams():
    members = serving_seats("desk", SEATS, 330)
    outside = next(seat for seat in SEATS if seat not in members)
    upstreams = tuple(upstream(i, domains=DOMAINS) for i in range(16))
    assert service_share("desk", upstreams, outside, SEATS).upstreams == ()
