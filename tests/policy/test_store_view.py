"""Copies of the store's items, and what they prove."""

from chervilpitch.model import StoreItem, UpstreamEntry
from chervilpitch.policy import (
    Freshness,
    FreshnessLimits,
    ItemReplica,
    RetryBudget,
    UpstreamListing,
)


def entry(name, born_ms=1, sequence=1, **fields):
    given = UpstreamEntry(name, "s", "a:1", "z", 4, False, 0.0, born_ms, sequence)
    return given._replace(**fields)


def item(key, revision, is_removed=False):
    return StoreItem(key, b"" if is_removed else b"v", revision, is_removed)


def test_changes_in_any_order_give_the_newest_items():
    replica = ItemReplica()
    assert replica.apply([item("a", 5), item("b", 6)], 6) == ("a", "b")
    assert replica.apply([item("a", 4)], 6) == ()
    assert replica.apply([item("a", 7, True)], 7) == ("a",)
    assert replica.apply([item("a", 5)], 7) == ()
    assert [known.key for known in replica.items] == ["b"]


def test_what_changed_since_a_revision_includes_removals():
    replica = ItemReplica()
    replica.apply([item("a", 5), item("b", 6)], 6)
    replica.apply([item("a", 7, True)], 7)
    assert {known.key for known in replica.changes_since(5)} == {"a", "b"}
    assert [known.key for known in replica.changes_since(6)] == ["a"]


def test_a_complete_list_removes_what_it_lacks():
    replica = ItemReplica()
    replica.apply([item("a", 5), item("b", 6)], 6)
    assert replica.replace([item("b", 6)], 9) == ("a",)
    assert [known.key for known in replica.items] == ["b"]


def test_an_item_written_after_a_list_was_read_stays():
    replica = ItemReplica()
    replica.apply([item("a", 12)], 12)
    replica.replace([], 9)
    assert [known.key for known in replica.items] == ["a"]


def test_a_proof_is_worth_the_time_of_its_question():
    freshness = Freshness(FreshnessLimits.from_bounds(5.0, 2.0))
    assert not freshness.may_use_keys(0.0)
    assert freshness.add_proof(10.0, 10.5)
    assert not freshness.add_proof(9.0, 10.6)
    assert freshness.may_use_keys(14.6)
    assert not freshness.may_use_keys(14.8)
    assert not freshness.may_deny(13.0)


def test_the_end_of_a_gap_between_proofs_is_known():
    freshness = Freshness(FreshnessLimits.from_bounds(5.0, 2.0))
    freshness.add_proof(10.0, 10.0)
    freshness.add_proof(11.0, 11.2)
    assert freshness.gap_ended_at_s < 0
    freshness.add_proof(20.0, 20.1)
    assert freshness.gap_ended_at_s == 20.1


def test_proofs_that_are_old_but_come_all_the_time_are_no_gap():
    freshness = Freshness(FreshnessLimits.from_bounds(5.0, 2.0))
    for step in range(40):
        now_s = 10.0 + step * 0.6
        freshness.add_proof(now_s - 2.3, now_s)
    assert freshness.gap_ended_at_s < 0


def test_a_late_entry_of_an_earlier_incarnation_is_ignored():
    listing = UpstreamListing()
    listing.update([entry("a", born_ms=5, sequence=1)], 1.0, 0.0)
    listed = listing.update([entry("a", born_ms=4, sequence=9)], 2.0, 0.0)
    assert listed[0].born_ms == 5
    draining = entry("a", born_ms=5, sequence=3, is_draining=True)
    listing.update([draining], 3.0, 0.0)
    assert listing.update([entry("a", 5, 2)], 4.0, 0.0) == (draining,)


def test_a_removed_upstream_does_not_come_back_by_an_old_entry():
    listing = UpstreamListing()
    listing.update([entry("a", sequence=5)], 1.0, 0.0)
    assert listing.update([], 2.0, 0.0) == ()
    assert listing.update([entry("a", sequence=4)], 3.0, 0.0) == ()
    assert listing.update([entry("a", sequence=6)], 4.0, 0.0)


def test_entries_that_lapsed_during_an_outage_hold_until_they_should_be_back():
    listing = UpstreamListing()
    listing.update([entry("a")], 1.0, 0.0)
    assert listing.update([], 10.0, 12.0) == (entry("a"),)
    assert listing.update([], 12.1, 12.0) == ()


def test_repeats_stay_within_the_share_and_the_part_of_the_slack():
    budget = RetryBudget(0.2, 10.0, 50.0)
    for _ in range(100):
        budget.count_request(1.0)
    repeats = 0
    while budget.allows_retry(1.5, 20):
        budget.count_retry(1.5)
        repeats += 1
    assert 10 <= repeats <= 0.2 * 100 + 50 / 20
    assert not budget.allows_retry(9.0, 20)
    assert budget.allows_retry(25.0, 20)


def test_instances_that_repeat_all_they_may_stay_within_the_budget_together():
    budgets = [RetryBudget(0.2, 10.0, 58.0) for _ in range(36)]
    assert all(budget.allows_retry(1.0, 36) for budget in budgets)
    repeats = 0
    for number, budget in enumerate(budgets):
        for _ in range(number):
            budget.count_request(1.0)
        while budget.allows_retry(1.5, 36):
            budget.count_retry(1.5)
            repeats += 1
    assert 36 <= repeats <= 0.2 * sum(range(36)) + 58
