"""Conflicting notes of one revision: held back, recorded, resolved by a later note."""

from chervilpitch.notes import digest, parse
from chervilpitch.spread import suspended
from tests.spread.test_spread import started_fleet


def conflicting_fleet():
    """Return a fleet whose two sides have different third notes in force."""
    fleet = started_fleet()
    names = sorted(fleet.states)
    ours, theirs = names[:4], names[4:]
    fleet.partition(ours, theirs)
    fleet.without_platform = set(theirs)
    kept = fleet.platform.publish(rate=5)
    fleet.run(10)
    lost = fleet.platform.publish_conflicting(rate=9)
    fleet.without_platform = set(ours)
    fleet.run(10)
    assert fleet.in_force(ours) == {(3, kept)}
    assert fleet.in_force(theirs) == {(3, lost)}
    fleet.cut_links, fleet.without_platform = set(), set()
    return fleet, kept, lost


def publish_racing_notes(fleet):
    """Serve conflicting notes of one revision from two replicas at the same time."""
    fleet.replica_lags = {name: 1 for name in ("i0", "i1", "i2", "i3")}
    fleet.platform.publish(rate=5)
    fleet.platform.publish_conflicting(rate=9)
    fleet.run(30)


def test_racing_notes_are_both_held_back_and_recorded():
    fleet = started_fleet(delays_s=(0.0, 0.25))
    good = fleet.platform.head
    publish_racing_notes(fleet)
    assert fleet.in_force() == {good}
    assert fleet.recorders_of("conflict") == set(fleet.states)


def test_racing_notes_and_slow_messages_leave_at_most_one_in_force():
    for seed in range(10):
        fleet = started_fleet(delays_s=(0.25, 1.0), seed=seed)
        publish_racing_notes(fleet)
        assert len(fleet.in_force()) == 1
        assert fleet.recorders_of("conflict")


def test_account_withdrawn_by_a_waiting_note_is_suspended_at_once():
    fleet = started_fleet()
    _, last = fleet.platform.head
    text = f"[note]\nrevision = 3\nfollows = {last}\n[withdrawn account a]\n"
    name = digest(parse(text, "x").unwrap())
    fleet.platform.write({"notes/3": text.encode()}, (3, name))
    fleet.run(2.5)
    assert fleet.in_force() == {(2, last)}
    for state in fleet.states.values():
        assert suspended(state).accounts == {"a"}


def test_note_that_follows_a_conflicting_note_resolves_the_conflict():
    fleet = started_fleet()
    first = fleet.platform.publish(rate=5)
    fleet.platform.publish_conflicting(rate=9)
    fleet.replica_lags = {"i0": 1, "i1": 1}
    fleet.run(20)
    fleet.replica_lags = {}
    fleet.platform.publish(follows=first)
    fleet.run(20)
    assert fleet.in_force() == {fleet.platform.head}


def test_note_conflicting_with_one_in_force_is_rejected_and_recorded():
    fleet = started_fleet()
    kept = fleet.platform.publish(rate=5)
    fleet.run(10)
    fleet.platform.publish_conflicting(rate=9)
    fleet.run(20)
    assert fleet.in_force() == {(3, kept)}
    assert fleet.recorders_of("conflict") == set(fleet.states)


def test_conflicting_notes_in_force_stay_until_an_operator_resolves_them():
    fleet, kept, lost = conflicting_fleet()
    fleet.run(30)
    assert fleet.in_force() == {(3, kept), (3, lost)}
    assert fleet.recorders_of("conflict") == set(fleet.states)


def test_note_that_replaces_the_conflicting_one_reunites_the_sides():
    fleet, kept, lost = conflicting_fleet()
    fleet.run(10)
    fleet.platform.publish(follows=kept, replaces=lost)
    fleet.run(40)
    assert fleet.in_force() == {fleet.platform.head}


def test_resolution_reunites_a_side_that_applied_further_notes():
    fleet, kept, lost = conflicting_fleet()
    names = [n for n in fleet.states if fleet.in_force([n]) == {(3, lost)}]
    fleet.partition(names, set(fleet.states) - set(names))
    fleet.without_platform = set(fleet.states) - set(names)
    further = fleet.platform.publish(follows=lost)
    fleet.run(15)
    assert fleet.in_force(names) == {(4, further)}
    fleet.cut_links, fleet.without_platform = set(), set()
    fleet.platform.head = (3, kept)
    fleet.platform.publish(rate=30)
    fleet.platform.publish(replaces=further)
    fleet.run(60)
    assert fleet.in_force() == {fleet.platform.head}


def test_note_that_does_not_replace_the_conflicting_one_leaves_it_in_force():
    fleet, kept, lost = conflicting_fleet()
    names = [n for n in fleet.states if fleet.in_force([n]) == {(3, lost)}]
    fleet.platform.publish(follows=kept)
    fleet.run(40)
    assert fleet.in_force(names) == {(3, lost)}


def test_instance_started_during_a_conflict_applies_the_note_in_force():
    fleet = started_fleet()
    kept = fleet.platform.publish(rate=5)
    fleet.run(10)
    fleet.platform.publish_conflicting(rate=9)
    fleet.start("i2")
    fleet.run(20)
    assert fleet.in_force() == {(3, kept)}
    assert fleet.are_ready()
