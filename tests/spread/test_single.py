"""One instance by itself: what it refuses, waits for and holds back."""

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


def alone(revision):
    """Return an instance that has the first notes in force, and one peer."""
    state = SpreadState(OWN, 0.0)
    peer = Instance("i1", 1, "punjab/a", "", "")
    update_instances(state, {"i0": OWN, "i1": peer}, 0.0)
    notes = [NoteText(n + 1, TEXTS[n], True) for n in range(revision)]
    receive(state, NotesReply(tuple(notes), False), PEER, 0.0)
    assert catalogue(state)[:2] == (revision, DIGESTS[revision])
    return state


def advert(revision, digest="", is_ready=True):
    """Return an advert of a peer with a revision in force."""
    return RevisionAdvert(revision, digest, revision, digest, 0.0, is_ready, False)


def snapshot_of(revision):
    """Return a snapshot at a revision."""
    current = EMPTY_CATALOGUE
    for text in TEXTS[:revision]:
        current = apply(current, parse(text, "x").unwrap()).unwrap()
    return current, take_snapshot(current)


def test_instance_is_not_ready_while_a_peer_has_more_in_force():
    state = alone(2)
    receive(state, advert(4, DIGESTS[4]), PEER, 1.0)
    handle_platform_event(state, PlatformHead(2, DIGESTS[2]), 1.0)
    tick(state, 60.0)
    assert not ready(state, 60.0)
    notes = tuple(NoteText(n, TEXTS[n - 1], True) for n in (3, 4))
    receive(state, NotesReply(notes, False), PEER, 61.0)
    assert ready(state, 61.0)


def test_answer_of_a_peer_that_is_starting_itself_does_not_count():
    state = alone(0)
    receive(state, advert(0, is_ready=False), PEER, 1.0)
    assert not ready(state, 60.0)


def test_revision_in_force_at_a_starting_peer_is_waited_for():
    state = alone(2)
    receive(state, advert(4, DIGESTS[4], is_ready=False), PEER, 1.0)
    handle_platform_event(state, PlatformHead(2, DIGESTS[2]), 1.0)
    assert not ready(state, 60.0)


def test_note_below_the_head_waits_for_the_note_that_follows_it():
    state = alone(2)
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


def test_replaced_note_is_passed_over_although_it_is_in_force_elsewhere():
    state = alone(2)
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
    state = alone(3)
    for revision in (2, 3):
        older, _ = snapshot_of(revision)
        assert replace_catalogue(state.chain, older) == ()
    assert catalogue(state).revision == 3


def test_transfer_of_an_older_snapshot_is_given_up():
    state = alone(3)
    receive(state, NotesReply((), True), PEER, 1.0)
    _, snapshot = snapshot_of(2)
    effects = receive(state, SnapshotPart(2, -1, snapshot.head), PEER, 2.0)
    assert [effect.event.name for effect in effects] == ["snapshot-given-up"]


def test_transfer_that_stalls_is_given_up():
    state = alone(0)
    receive(state, NotesReply((), True), PEER, 1.0)
    assert any("given-up" in str(effect) for effect in tick(state, 12.0))
    again = receive(state, NotesReply((), True), PEER, 13.0)
    assert again == (Send("i1", SnapshotRequest(0, -1)),)


def test_only_the_notes_after_the_revision_asked_for_are_sent():
    (effect,) = receive(alone(3), NoteRequest(1), PEER, 1.0)
    assert [note.revision for note in effect.message.notes] == [2, 3]


def test_sign_of_the_platform_is_taken_only_from_a_peer_at_the_same_note():
    state = alone(3)
    receive(state, advert(2, DIGESTS[2]), PEER, 50.0)
    assert status(state).platform_at_s < 0
    receive(state, advert(3, DIGESTS[3]), PEER, 60.0)
    assert status(state).platform_at_s == 60.0


def test_snapshot_kept_for_peers_is_dropped_after_a_while():
    state = alone(3)
    (effect,) = receive(state, SnapshotRequest(0, -1), PEER, 1.0)
    assert effect.message.part == -1
    tick(state, 70.0)
    assert receive(state, SnapshotRequest(3, 0), PEER, 71.0) == ()


def test_memory_of_refused_notes_and_conflicts_is_bounded():
    state = alone(2)
    for number in range(300):
        rival, _ = note_text(2, DIGESTS[1], rate=100 + number)
        junk = NoteText(3, f"junk {number}\n", True)
        message = NotesReply((junk, NoteText(2, rival, True)), False)
        receive(state, message, PEER, 1.0)
    assert len(state.chain.conflicts) <= 64
    assert len(state.chain.candidates) == 0
