"""Homes and witnesses of accounts and seats."""

from chervilpitch.limits.homes import group_seats, home_seats
from chervilpitch.limits.witnesses import quorum_of, witness_seats
from tests.limits.fleet import seat_table

SEATS = seat_table(3, 2, 6)


def test_each_region_has_its_homes_in_different_failure_domains():
    homes = home_seats("fitters", group_seats(SEATS), 2)
    assert sorted(SEATS[seat] for seat in homes) == sorted(set(SEATS.values()))


def test_witnesses_are_in_three_failure_domains_of_two_regions():
    for seat, domain in SEATS.items():
        domains = [SEATS[witness] for witness in witness_seats(seat, SEATS)]
        assert domains[0] == domain and len(set(domains)) == 3
        assert sum(other[:2] == domain[:2] for other in domains) == 2
        assert seat not in witness_seats(seat, SEATS)


def test_small_fleets_have_fewer_witnesses():
    sizes = [len(witness_seats(0, seat_table(1, 1, n))) for n in (1, 2, 3, 4, 5)]
    assert sizes == [0, 1, 2, 3, 3]
    assert [quorum_of(tuple(range(n))) for n in range(4)] == [0, 1, 2, 2]


def test_a_new_seat_moves_few_accounts():
    more = group_seats({**SEATS, 36: "r0/d0"})
    groups = group_seats(SEATS)
    names = [f"account-{number}" for number in range(300)]
    moved = sum(home_seats(name, groups) != home_seats(name, more) for name in names)
    assert 0 < moved < 60
