"""Pushes reach every instance with few messages; few instances are readers."""

import pytest

from chervilpitch.model import Instance
from chervilpitch.spread.neighbours import find_neighbours


def fleet(count, domains=12):
    """Return instances spread evenly over failure domains."""
    return {
        f"i{n}": Instance(f"i{n}", n, f"r{n % domains % 4}/{n % domains}", "", "")
        for n in range(count)
    }


def hops_from(neighbours, origin, dead=frozenset()):
    """Return the hops from an instance to each live one that its pushes reach."""
    hops, queue = {origin: 0}, [origin]
    for name in queue:
        for to in neighbours[name].push:
            if to not in hops and to not in dead:
                hops[to] = hops[name] + 1
                queue.append(to)
    return hops


@pytest.fixture(scope="module")
def large():
    instances = fleet(480)
    return {name: find_neighbours(own, instances) for name, own in instances.items()}


def test_pushes_from_an_instance_reach_all_within_a_few_hops(large):
    hops = hops_from(large, "i17")
    assert set(hops) == set(large)
    assert max(hops.values()) <= 14


def test_pushes_reach_nearly_all_live_instances_when_a_fifth_is_dead(large):
    dead = {f"i{n}" for n in range(0, 480, 5)}
    hops = hops_from(large, "i17", dead)
    assert len(hops) >= 0.95 * (480 - len(dead))


def test_most_instances_push_to_few_others(large):
    counts = sorted(len(neighbours.push) for neighbours in large.values())
    assert counts[int(0.9 * len(counts))] <= 6
    assert counts[-1] <= 6 + 22


def test_few_instances_of_a_large_fleet_read_the_platform(large):
    assert sum(neighbours.is_reader for neighbours in large.values()) == 36


def test_every_instance_of_a_small_fleet_reads_the_platform():
    instances = fleet(36, domains=6)
    assert all(find_neighbours(own, instances).is_reader for own in instances.values())


def test_instance_missing_from_the_list_finds_neighbours(large):
    own = Instance("new", 3, "r3/3", "", "")
    found = find_neighbours(own, fleet(480))
    assert found.push and found.start
    assert "new" not in found.push + found.start + found.ring
