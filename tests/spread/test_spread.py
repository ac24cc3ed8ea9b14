"""Notes reach every instance in order even if few can reach the platform."""

import pytest

from chervilpitch.model import Sender
from chervilpitch.spread import (
    NotesReply,
    NoteText,
    PlatformValue,
    SnapshotPart,
    receive,
    status,
)
from chervilpitch.spread.naive import NaiveSpread
from tests.spread.fleet import Fleet, note_text, publish_snapshot

PEER = Sender("i1", 1)


def started_fleet(count=9, notes=2, **options):
    """Return a ready fleet with the first notes in force."""
    fleet = Fleet(count, **options)
    for _ in range(notes):
        fleet.platform.publish()
    fleet.run(20)
    assert fleet.in_force() == {fleet.platform.head}
    assert fleet.are_ready()
    return fleet


def test_note_is_in_force_everywhere_within_seconds():
    fleet = started_fleet()
    fleet.platform.publish()
    fleet.run(4)
    assert fleet.in_force() == {fleet.platform.head}


def test_note_reaches_all_when_one_instance_reaches_the_platform():
    fleet = started_fleet()
    fleet.without_platform = set(fleet.states) - {"i4"}
    fleet.platform.publish()
    fleet.run(8)
    assert fleet.in_force() == {fleet.platform.head}


def test_catalogue_stays_in_force_while_the_platform_is_unreachable():
    fleet = started_fleet()
    fleet.without_platform = set(fleet.states)
    fleet.run(600)
    assert fleet.in_force() == {fleet.platform.head}


def test_stale_replica_is_ignored_and_recorded():
    fleet = started_fleet(notes=4)
    fleet.replica_lags = {name: 2 for name in fleet.states}
    fleet.run(30)
    assert fleet.in_force() == {fleet.platform.head}
    assert fleet.recorders_of("platform-stale") == set(fleet.states)


def test_lost_late_and_duplicated_messages_only_delay_a_note():
    fleet = started_fleet(loss=0.4, seed=3)
    fleet.without_platform = set(fleet.states) - {"i0"}
    fleet.platform.publish()
    fleet.run(60)
    assert fleet.in_force() == {fleet.platform.head}


def test_both_sides_of_a_partition_converge_after_it_heals():
    fleet = started_fleet()
    names = sorted(fleet.states)
    fleet.partition(names[:4], names[4:])
    fleet.without_platform = set(names[4:])
    fleet.platform.publish()
    fleet.run(10)
    assert fleet.in_force(names[:4]) == {fleet.platform.head}
    fleet.cut_links = set()
    fleet.run(20)
    assert fleet.in_force() == {fleet.platform.head}


def test_restarted_instance_catches_up_from_peers_without_the_platform():
    fleet = started_fleet()
    fleet.without_platform = set(fleet.states)
    fleet.start("i3")
    fleet.run(10)
    assert fleet.in_force() == {fleet.platform.head}
    assert fleet.are_ready()


def test_restarted_instance_with_a_stale_replica_waits_for_the_revision_of_peers():
    fleet = started_fleet(notes=4)
    fleet.replica_lags = {"i3": 2}
    fleet.start("i3")
    for _ in range(40):
        fleet.run(0.25)
        seen = status(fleet.states["i3"])
        assert not seen.is_ready or seen.revision == 4
    assert fleet.are_ready()


def test_fleet_restarted_at_once_is_not_ready_at_a_stale_revision():
    fleet = started_fleet(notes=4)
    fleet.replica_lags = {"i3": 2, "i4": 2}
    for name in sorted(fleet.states):
        fleet.start(name)
    for _ in range(80):
        fleet.run(0.25)
        for state in fleet.states.values():
            assert not status(state).is_ready or status(state).revision == 4
    assert fleet.are_ready()


def test_instance_without_platform_and_peers_never_becomes_ready():
    fleet = Fleet(3)
    fleet.platform.publish()
    fleet.without_platform = set(fleet.states)
    fleet.run(60)
    assert not any(status(state).is_ready for state in fleet.states.values())


def test_instance_without_peers_becomes_ready_from_the_platform():
    fleet = Fleet(3)
    fleet.platform.publish()
    fleet.partition(["i0"], ["i1"], ["i2"])
    fleet.run(10)
    assert fleet.are_ready()
    assert fleet.in_force() == {fleet.platform.head}


def test_instance_far_behind_fetches_a_snapshot_from_a_peer():
    fleet = started_fleet(count=3, notes=300)
    fleet.without_platform = set(fleet.states)
    fleet.start("i2")
    fleet.run(20)
    assert fleet.in_force() == {fleet.platform.head}


def test_new_fleet_far_behind_fetches_the_published_snapshot():
    fleet = Fleet(3)
    for _ in range(270):
        fleet.platform.publish()
    publish_snapshot(fleet.platform)
    fleet.platform.publish()
    fleet.run(20)
    assert fleet.in_force() == {fleet.platform.head}
    assert fleet.recorders_of("snapshot-in-force")


def test_new_fleet_fetches_the_snapshot_when_old_notes_are_gone():
    fleet = Fleet(3)
    for _ in range(6):
        fleet.platform.publish()
    publish_snapshot(fleet.platform)
    fleet.platform.publish()
    gone = {f"notes/{number}": b"" for number in range(1, 7)}
    fleet.platform.write(gone, fleet.platform.head)
    fleet.run(20)
    assert fleet.in_force() == {fleet.platform.head}
    assert fleet.are_ready()


def test_unreadable_note_is_rejected_and_the_next_one_is_applied():
    fleet = started_fleet()
    good = fleet.platform.head
    fleet.platform.write({"notes/3": b"\xff[no"}, (3, "0" * 64))
    fleet.run(20)
    assert fleet.in_force() == {good}
    assert fleet.recorders_of("note-refused") == set(fleet.states)
    fleet.start("i3")
    fleet.run(20)
    assert fleet.are_ready()
    fleet.platform.head = good
    fleet.platform.publish()
    fleet.run(20)
    assert fleet.in_force() == {fleet.platform.head}


def test_note_with_another_digest_than_the_head_is_not_applied():
    fleet = started_fleet()
    good = fleet.platform.head
    text, _ = note_text(3, good[1])
    fleet.platform.write({"notes/3": text.encode()}, (3, "0" * 64))
    fleet.run(30)
    assert fleet.in_force() == {good}
    assert fleet.recorders_of("digest-mismatch")


@pytest.mark.parametrize(
    "message",
    [
        NotesReply((NoteText(3, "\0junk", True),), False),
        NotesReply((NoteText(3, "[note]\nrevision = 1\n", True),), True),
        SnapshotPart(9, -1, b"junk"),
        SnapshotPart(9, 0, b"junk"),
    ],
)
def test_malformed_message_leaves_the_catalogue_in_force(message):
    fleet = started_fleet(count=3)
    receive(fleet.states["i0"], message, PEER, fleet.now_s)
    fleet.run(10)
    assert fleet.in_force() == {fleet.platform.head}


FIRST, FIRST_DIGEST = note_text(1, "")
SECOND, _ = note_text(2, FIRST_DIGEST)


def test_naive_version_reverts_when_a_peer_sends_an_old_note_late():
    naive = NaiveSpread(())
    for text in (FIRST, SECOND, FIRST):
        naive.receive(NoteText(0, text, True))
    assert naive.catalogue.revision == 1


def test_naive_version_reverts_when_a_replica_is_stale():
    naive = NaiveSpread(())
    for text in (FIRST, SECOND, FIRST):
        naive.handle_platform_event(PlatformValue("notes/n", text.encode()))
    assert naive.catalogue.revision == 1
