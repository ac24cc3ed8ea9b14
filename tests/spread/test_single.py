"""One instance in isolation: readiness, rejected notes and snapshot transfer."""

from chervilpitch.model import EMPTY_CATALOGUE, Instance, Send, Sender
from chervilpitch.notes import apply, parse, take_snapshot
from chervilpitch.spread import (
    NoteRequest,
    NotesReply,
    NoteText,
    PlatformHead,
    PlatformValue,
    RevisionAdvert,
    SnapshotPart,
    SnapshotRequest,
    SpreadState,
    catalogue,
    handle_platform_event,
    ready,
    receive,
    status,
    tick,
    update_instances,
)
from chervilpitch.spread.advancing import replace_catalogue
from tests.spread.fleet import note_text

PEER = Sender("i1", 1)
OWN = Instance("i0", 0, "punjab/a", "", "")
TEXTS, DIGESTS = [], [""]
for revision in range(1, 6):
    text, name = note_text(revision, DIGESTS[-1])
    TEXTS.append(text)
    DIGESTS.append(name)


def instance_at(revision):
    """Return an instance with one peer and the first notes in force."""
    state = SpreadState(OWN, 0.0)
    peer = Instance("i1", 1, "punjab/a", "", "")
    update_instances(state, {"i0": OWN, "i1": peer}, 0.0)
    notes = [NoteText(n + 1, TEXTS[n], True) for n in range(revision)]
    receive(state, NotesReply(tuple(notes), False), PEER, 0.0)
    assert catalogue(state)[:2] == (revision, DIGESTS[revision])
    return state


def advert(revision, digest="", is_ready=True):
    """Return an advert of a peer that has a revision in force."""
    return RevisionAdvert(revision, digest, revision, digest, 0.0, is_ready, False)


def snapshot_of(revision):
    """Return the catalogue at a revision and its snapshot."""
    current = EMPTY_CATALOGUE
    for text in TEXTS[:revision]:
        current = apply(current, parse(text, "x").unwrap()).unwrap()
    return current, take_snapshot(current)


def test_instance_is_not_ready_while_a_peer_has_a_newer_revision():
    state = instance_at(2)
    receive(state, advert(4, DIGESTS[4]), PEER, 1.0)
    handle_platform_event(state, PlatformHead(2, DIGESTS[2]), 1.0)
    tick(state, 60.0)
    assert not ready(state, 60.0)
    notes = tuple(NoteText(n, TEXTS[n - 1], True) for n in (3, 4))
    receive(state, NotesReply(notes, False), PEER, 61.0)
    assert ready(state, 61.0)


def test_advert_of_a_starting_peer_does_not_make_an_instance_ready():
    state = instance_at(0)
    receive(state, advert(0, is_ready=False), PEER, 1.0)
    assert not ready(state, 60.0)


def test_instance_waits_for_the_revision_of_a_starting_peer():
    state = instance_at(2)
    receive(state, advert(4, DIGESTS[4], is_ready=False), PEER, 1.0)
    handle_platform_event(state, PlatformHead(2, DIGESTS[2]), 1.0)
    assert not ready(state, 60.0)


def test_note_below_the_head_waits_for_the_note_that_follows_it():
    state = instance_at(2)
    other, _ = note_text(3, DIGESTS[2], rate=7)
    handle_platform_event(state, PlatformHead(4, DIGESTS[4]), 1.0)
    handle_platform_event(state, PlatformValue("notes/3", other.encode()), 1.0)
    tick(state, 60.0)
    assert catalogue(state).revision == 2
    handle_platform_event(state, PlatformValue("notes/4", TEXTS[3].encode()), 61.0)
    assert catalogue(state).revision == 2
    handle_platform_event(state, PlatformValue("notes/3", TEXTS[2].encode()), 62.0)
    tick(state, 66.0)
    assert catalogue(state)[:2] == (4, DIGESTS[4])


def test_replaced_note_is_skipped_although_it_is_in_force_elsewhere():
    state = instance_at(2)
    lost, lost_digest = note_text(3, DIGESTS[2], rate=7)
    kept, kept_digest = note_text(3, DIGESTS[2], rate=8)
    decision, final = note_text(4, kept_digest, replaces=lost_digest)
    notes = (
        NoteText(3, kept, False),
        NoteText(4, decision, False),
        NoteText(3, lost, True),
    )
    receive(state, NotesReply(notes, False), PEER, 1.0)
    tick(state, 60.0)
    assert catalogue(state)[:2] == (4, final)


def test_older_or_equal_snapshot_is_ignored():
    state = instance_at(3)
    for revision in (2, 3):
        older, _ = snapshot_of(revision)
        assert replace_catalogue(state.chain, older) == ()
    assert catalogue(state).revision == 3


def test_transfer_of_an_older_snapshot_is_cancelled():
    state = instance_at(3)
    receive(state, NotesReply((), True), PEER, 1.0)
    _, snapshot = snapshot_of(2)
    effects = receive(state, SnapshotPart(2, -1, snapshot.head), PEER, 2.0)
    assert [effect.event.name for effect in effects] == ["snapshot-given-up"]


def test_stalled_transfer_is_cancelled():
    state = instance_at(0)
    receive(state, NotesReply((), True), PEER, 1.0)
    assert any("given-up" in str(effect) for effect in tick(state, 12.0))
    again = receive(state, NotesReply((), True), PEER, 13.0)
    assert again == (Send("i1", SnapshotRequest(0, -1)),)


def test_only_notes_after_the_requested_revision_are_sent():
    (effect,) = receive(instance_at(3), NoteRequest(1), PEER, 1.0)
    assert [note.revision for note in effect.message.notes] == [2, 3]


def test_platform_confirmation_counts_only_from_a_peer_at_the_same_note():
    state = instance_at(3)
    receive(state, advert(2, DIGESTS[2]), PEER, 50.0)
    assert status(state).platform_at_s < 0
    receive(state, advert(3, DIGESTS[3]), PEER, 60.0)
    assert status(state).platform_at_s == 60.0


def test_snapshot_held_for_peers_expires():
    state = instance_at(3)
    (effect,) = receive(state, SnapshotRequest(0, -1), PEER, 1.0)
    assert effect.message.part == -1
    tick(state, 70.0)
    assert receive(state, SnapshotRequest(3, 0), PEER, 71.0) == ()


def test_number_of_remembered_conflicts_is_bounded():
    state = instance_at(2)
    for number in range(300):
        conflicting, _ = note_text(2, DIGESTS[1], rate=100 + number)
        invalid = NoteText(3, f"junk {number}\n", True)
        message = NotesReply((invalid, NoteText(2, conflicting, True)), False)
        receive(state, message, PEER, 1.0)
    assert len(state.chain.conflicts) <= 64
    assert len(state.chain.candidates) == 0
