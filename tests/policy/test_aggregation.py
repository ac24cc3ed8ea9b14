"""Selection of the aggregators of a region and of each instance's own one."""

from collections import Counter

import pytest

from chervilpitch.policy import (
    Member,
    MemberState,
    aggregators_of,
    preferred_aggregators,
    rank,
)

SERVING = int(MemberState.SERVING)


def region(sizes):
    """Return the instances of a region by rank, given the sizes of its domains."""
    members = [
        Member(f"{domain}{number}", 1, 1, "north", domain, "c", "p", SERVING)
        for domain, size in sizes.items()
        for number in range(size)
    ]
    return rank(members)


def group_sizes(ranked):
    """Return the number of instances that prefer each aggregator."""
    names = {item.name for item in aggregators_of(ranked)}
    others = [item for item in ranked if item.name not in names]
    return Counter(preferred_aggregators(ranked, item)[0].name for item in others)


def test_all_instances_of_a_small_region_are_aggregators():
    ranked = region({"a": 6, "b": 6})
    assert aggregators_of(ranked) == ranked


@pytest.mark.parametrize("sizes", [{"a": 15, "b": 15}, {"a": 32, "b": 36, "c": 30}])
def test_each_failure_domain_has_as_many_aggregators(sizes):
    counts = Counter(item.failure_domain for item in aggregators_of(region(sizes)))
    assert set(counts) == set(sizes)
    assert len(set(counts.values())) == 1
    assert min(counts.values()) >= 2


@pytest.mark.parametrize("sizes", [{"a": 32, "b": 36, "c": 30}, {"a": 300, "b": 310}])
def test_groups_of_similar_failure_domains_are_of_similar_size(sizes):
    counts = group_sizes(region(sizes))
    assert max(counts.values()) <= 1.5 * min(counts.values())


def test_the_group_of_an_aggregator_that_stops_is_divided_among_the_others():
    ranked = region({"a": 120, "b": 120})
    aggregators = {item.name for item in aggregators_of(ranked)}
    second_choices = Counter(
        preferred_aggregators(ranked, item)[1].name
        for item in ranked
        if item.name not in aggregators
        and preferred_aggregators(ranked, item)[0].name == ranked[0].name
    )
    assert len(second_choices) >= 3


def test_instances_that_leave_are_no_aggregators():
    ranked = region({"a": 20, "b": 20})
    leaving = ranked[0]._replace(state=int(MemberState.LEAVING))
    changed = rank([leaving, *ranked[1:]])
    assert leaving not in aggregators_of(changed)
    assert len(aggregators_of(changed)) == len(aggregators_of(ranked))
