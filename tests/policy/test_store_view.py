"""Replicas of store items, freshness, upstream listing and retry budget."""

import pytest

from chervilpitch.model import StoreItem, UpstreamEntry
from chervilpitch.policy import (
    Freshness,
    FreshnessLimits,
    ItemReplica,
    RetryBudget,
    UpstreamListing,
)


def entry(name, born_ms=1, sequence=1, **fields):
    default = UpstreamEntry(name, "s", "a:1", "z", 4, False, 0.0, born_ms, sequence)
    return default._replace(**fields)


def item(key, revision, is_removed=False):
    return StoreItem(key, b"" if is_removed else b"v", revision, is_removed)


def test_changes_in_any_order_yield_the_newest_items():
    replica = ItemReplica()
    assert replica.apply([item("a", 5), item("b", 6)], 6) == ("a", "b")
    assert replica.apply([item("a", 4)], 6) == ()
    assert replica.apply([item("a", 7, True)], 7) == ("a",)
    assert replica.apply([item("a", 5)], 7) == ()
    assert [known.key for known in replica.items] == ["b"]


def test_changes_since_a_revision_include_removals():
    replica = ItemReplica()
    replica.apply([item("a", 5), item("b", 6)], 6)
    replica.apply([item("a", 7, True)], 7)
    assert {known.key for known in replica.changes_since(5)} == {"a", "b"}
    assert [known.key for known in replica.changes_since(6)] == ["a"]


def test_complete_list_removes_missing_items():
    replica = ItemReplica()
    replica.apply([item("a", 5), item("b", 6)], 6)
    assert replica.replace([item("b", 6)], 9) == ("a",)
    assert [known.key for known in replica.items] == ["b"]


def test_item_written_after_a_list_was_read_is_kept():
    replica = ItemReplica()
    replica.apply([item("a", 12)], 12)
    replica.replace([], 9)
    assert [known.key for known in replica.items] == ["a"]


def test_proof_is_valid_for_the_time_of_its_query():
    freshness = Freshness(FreshnessLimits.from_bounds(5.0, 2.0))
    assert not freshness.may_use_keys(0.0)
    assert freshness.add_proof(10.0, 10.5)
    assert not freshness.add_proof(9.0, 10.6)
    assert freshness.may_use_keys(14.6)
    assert not freshness.may_use_keys(14.8)
    assert not freshness.may_deny(13.0)


def test_end_of_a_gap_between_proofs_is_recorded():
    freshness = Freshness(FreshnessLimits.from_bounds(5.0, 2.0))
    freshness.add_proof(10.0, 10.0)
    freshness.add_proof(11.0, 11.2)
    assert freshness.gap_ended_at_s < 0
    freshness.add_proof(20.0, 20.1)
    assert freshness.gap_ended_at_s == 20.1


def test_regular_but_old_proofs_are_not_a_gap():
    freshness = Freshness(FreshnessLimits.from_bounds(5.0, 2.0))
    for step in range(40):
        now_s = 10.0 + step * 0.6
        freshness.add_proof(now_s - 2.3, now_s)
    assert freshness.gap_ended_at_s < 0


def test_late_entry_of_an_earlier_incarnation_is_ignored():
    listing = UpstreamListing()
    listing.update([entry("a", born_ms=5, sequence=1)], 1.0, 0.0)
    listed = listing.update([entry("a", born_ms=4, sequence=9)], 2.0, 0.0)
    assert listed[0].born_ms == 5
    draining = entry("a", born_ms=5, sequence=3, is_draining=True)
    listing.update([draining], 3.0, 0.0)
    assert listing.update([entry("a", 5, 2)], 4.0, 0.0) == (draining,)


def test_old_entry_does_not_restore_a_removed_upstream():
    listing = UpstreamListing()
    listing.update([entry("a", sequence=5)], 1.0, 0.0)
    assert listing.update([], 2.0, 0.0) == ()
    assert listing.update([entry("a", sequence=4)], 3.0, 0.0) == ()
    assert listing.update([entry("a", sequence=6)], 4.0, 0.0)


def test_entries_missing_after_an_outage_are_kept_until_the_deadline():
    listing = UpstreamListing()
    listing.update([entry("a")], 1.0, 0.0)
    assert listing.update([], 10.0, 12.0) == (entry("a"),)
    assert listing.update([], 12.1, 12.0) == ()


def test_retries_stay_within_the_ratio_and_the_share_of_the_slack():
    budget = RetryBudget(0.2, 10.0, 50.0)
    for _ in range(100):
        budget.count_request(1.0)
    retries = 0
    while budget.allows_retry(1.5, 20):
        budget.count_retry(1.5)
        retries += 1
    assert 10 <= retries <= 0.2 * 100 + 50 / 20
    assert not budget.allows_retry(9.0, 20)
    assert budget.allows_retry(25.0, 20)


def test_retries_of_all_instances_together_stay_within_the_budget():
    budgets = [RetryBudget(0.2, 10.0, 58.0) for _ in range(36)]
    assert all(budget.allows_retry(1.0, 36) for budget in budgets)
    retries = 0
    for number, budget in enumerate(budgets):
        for _ in range(number):
            budget.count_request(1.0)
        while budget.allows_retry(1.5, 36):
            budget.count_retry(1.5)
            retries += 1
    assert 36 <= retries <= 0.2 * sum(range(36)) + 58


@pytest.mark.parametrize("configuration_s", (3.0, 4.0, 10.0))
def test_denials_end_before_a_newer_configuration_must_be_in_force(configuration_s):
    """The key or path may be known in a configuration that has not arrived."""
    limits = FreshnessLimits.from_bounds(5.0, configuration_s)
    assert limits.denials_s < configuration_s
