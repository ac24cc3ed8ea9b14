"""State of a store that comes back from an older copy: era, replica and listing."""

from chervilpitch.model import StoreItem, StorePosition, UpstreamEntry
from chervilpitch.policy import (
    Freshness,
    FreshnessLimits,
    ItemReplica,
    StoreEra,
    UpstreamListing,
)

SETTLED_S = 2.0


def item(key, revision, value=b"v", is_removed=False):
    return StoreItem(key, b"" if is_removed else value, revision, is_removed)


def entry(name, sequence, **fields):
    default = UpstreamEntry(name, "s", "a:1", "z", 4, False, 0.0, 1, sequence)
    return default._replace(**fields)


def keys(items):
    return {known.key for known in items}


def replica_of(*items, revision, era=1):
    replica = ItemReplica()
    replica.replace(items, revision, era)
    return replica


def test_positions_are_ordered_by_era_first():
    positions = [StorePosition(2, 1), StorePosition(1, 40), StorePosition(2, 0)]
    assert sorted(positions) == [positions[1], positions[2], positions[0]]


def test_list_of_a_later_era_replaces_items_at_higher_revisions():
    replica = replica_of(item("a", 30), item("b", 40), revision=40)
    changed = replica.replace((item("a", 7, b"w"), item("c", 8)), 9, 2)
    assert set(changed) == {"a", "b", "c"}
    assert (replica.era, replica.revision) == (2, 9)
    assert keys(replica.items) == {"a", "c"}


def test_item_at_the_same_revision_with_another_value_is_a_change():
    replica = replica_of(item("a", 7, b"v"), item("b", 8), revision=8)
    assert replica.replace((item("a", 7, b"w"), item("b", 8)), 8, 2) == ("a",)


def test_list_or_change_of_an_earlier_era_is_ignored():
    replica = replica_of(item("a", 7), revision=9, era=2)
    assert replica.replace((item("a", 50, b"w"), item("b", 51)), 60, 1) == ()
    assert replica.apply((item("b", 51),), 60, 1) == ()
    assert (replica.era, replica.revision) == (2, 9)
    assert keys(replica.items) == {"a"}


def test_change_of_a_later_era_waits_for_its_complete_list():
    replica = replica_of(item("a", 30), item("b", 40), revision=40)
    assert replica.apply((item("a", 12),), 12, 2) == ()
    assert (replica.era, replica.revision) == (1, 40)


def test_removal_in_an_earlier_era_hides_no_item_of_a_later_one():
    replica = replica_of(item("a", 30), revision=40)
    replica.apply((item("a", 45, is_removed=True),), 45, 1)
    replica.replace((), 20, 2)
    assert replica.apply((item("a", 21),), 21, 2) == ("a",)


def test_changes_before_the_list_of_an_era_are_not_known():
    replica = replica_of(item("a", 30), revision=40)
    replica.replace((item("a", 7), item("b", 8)), 9, 2)
    replica.apply((item("b", 10),), 10, 2)
    assert replica.changes_since(8) is None
    assert keys(replica.changes_since(9)) == {"b"}


def test_items_of_the_first_era_known_are_no_copies():
    replica = replica_of(item("a", 30), revision=40)
    assert replica.copied_until == 0
    replica.replace((item("a", 7),), 9, 2)
    assert replica.copied_until == 9


def test_first_era_is_no_change_and_an_earlier_one_is_ignored():
    era = StoreEra()
    assert not era.observe(5, 1.0)
    assert not era.observe(5, 2.0)
    assert era.changed_at_s < 0
    assert era.observe(6, 3.0)
    assert not era.observe(5, 4.0)
    assert (era.number, era.changed_at_s) == (6, 3.0)


def test_store_that_shows_an_older_version_proves_nothing_at_any_time():
    era = StoreEra()
    era.observe(1, 0.0)
    era.record_shown(14, False)
    assert era.proves(14, 1.0)
    era.observe(2, 10.0)
    assert not era.proves(14, 10.0)
    era.record_shown(7, True)
    assert not era.proves(14, 100.0)


def test_version_in_force_proves_at_once_if_it_was_written_again():
    era = StoreEra()
    era.observe(1, 0.0)
    era.observe(2, 10.0)
    era.record_shown(14, True)
    assert era.proves(14, 10.0)


def test_version_in_force_from_a_copy_proves_only_after_a_while():
    """A version that was acknowledged just before may be lost and unknown here."""
    era = StoreEra()
    era.observe(1, 0.0)
    era.observe(2, 10.0)
    era.record_shown(14, False)
    assert not era.proves(14, 11.9)
    assert era.proves(14, 10.0 + SETTLED_S)


def test_version_written_again_still_proves_when_it_is_listed_later():
    era = StoreEra()
    era.observe(1, 0.0)
    era.observe(2, 10.0)
    era.record_shown(14, True)
    era.record_shown(14, False)
    assert era.proves(14, 10.5)


def test_second_restoration_begins_anew():
    era = StoreEra()
    era.observe(1, 0.0)
    era.observe(2, 10.0)
    era.record_shown(14, True)
    era.observe(3, 11.0)
    assert not era.proves(14, 20.0)
    era.record_shown(14, False)
    assert not era.proves(14, 12.9)
    assert era.proves(14, 13.0)


def test_removed_upstream_is_not_restored_by_the_same_entry_of_a_copy():
    listing = UpstreamListing()
    listing.update([entry("a", 5)], 1.0, 0.0)
    assert listing.update([], 2.0, 0.0) == ()
    assert listing.update([entry("a", 5)], 3.0, 0.0, {"a"}) == ()
    assert listing.update([entry("a", 5)], 4.0, 0.0) == (entry("a", 5),)


def test_removed_upstream_is_listed_once_it_writes_again():
    listing = UpstreamListing()
    listing.update([entry("a", 5)], 1.0, 0.0)
    listing.update([], 2.0, 0.0)
    assert listing.update([entry("a", 6)], 3.0, 0.0, {"a"}) == (entry("a", 6),)


def test_draining_upstream_stays_draining_with_an_older_entry_of_a_copy():
    listing = UpstreamListing()
    draining = entry("a", 5, is_draining=True)
    listing.update([draining], 1.0, 0.0)
    assert listing.update([entry("a", 4)], 3.0, 0.0, {"a"}) == (draining,)


def test_begin_and_end_of_a_gap_between_proofs_are_recorded():
    freshness = Freshness(FreshnessLimits.from_bounds(5.0, 2.0))
    freshness.add_proof(10.0, 10.1)
    freshness.add_proof(20.0, 20.1)
    assert (freshness.gap_began_at_s, freshness.gap_ended_at_s) == (10.1, 20.1)
