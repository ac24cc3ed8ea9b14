"""Gossip between instances: adverts, requests for notes and pushed notes."""

from functools import singledispatch
from typing import Any

from chervilpitch.model import Send, Sender

from .advancing import advance
from .candidates import add_note, record_conflict
from .effects import ApplyCatalogue, SpreadEffect, record_event
from .messages import (
    NoteRequest,
    NotesReply,
    NoteText,
    RevisionAdvert,
    SnapshotPart,
    SnapshotRequest,
)
from .state import SpreadState, advert
from .transfer import handle_part, serve_snapshot, start_fetch

__all__ = ["advance_and_advertise", "advertise", "receive"]

NOTE_REQUEST_TIMEOUT_S = 1.0
STALE_PEER_GRACE_S = 20.0
MAX_PUSH_CHARACTERS = 8_000
MAX_REPLY_CHARACTERS = 250_000


def receive(
    state: SpreadState, message: Any, sender: Sender, now_s: float
) -> tuple[SpreadEffect, ...]:
    """Handle a message from a peer.

    Parameters
    ----------
    state : SpreadState
        State of the instance; changed in place.
    message : NamedTuple
        A message of this package.
    sender : Sender
        The authenticated sender.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of SpreadEffect
        Replies, requests, events to record and changes of the catalogue.

    Raises
    ------
    TypeError
        If the type of the message does not belong to this package.
    """
    effects = _receive(message, state, sender, now_s)
    state._peer_heard_at_s = max(state._peer_heard_at_s, now_s)
    return effects


@singledispatch
def _receive(
    message: Any, state: SpreadState, sender: Sender, now_s: float
) -> tuple[SpreadEffect, ...]:
    raise TypeError(f"unsupported message type: {type(message).__name__}")


@_receive.register
def _(
    message: RevisionAdvert, state: SpreadState, sender: Sender, now_s: float
) -> tuple[SpreadEffect, ...]:
    chain = state.chain
    own = chain.catalogue
    state._max_peer_revision = max(state._max_peer_revision, message.revision)
    if message.is_ready:
        state._ready_peers.add(sender.name)
    if (message.newest_revision, message.newest_digest) == own[:2]:
        confirmed_at_s = now_s - max(0.0, message.platform_age_s)
        state._platform_confirmed_at_s = max(
            state._platform_confirmed_at_s, confirmed_at_s
        )
    effects: list[SpreadEffect] = []
    if message.is_query or message.newest_revision < own.revision:
        effects.append(Send(sender.name, advert(state, now_s)))
    is_late = now_s >= state._applied_at_s + STALE_PEER_GRACE_S
    if message.revision < own.revision and message.is_ready and is_late:
        effects.extend(_record_stale_peer(state, sender.name, message.revision))
    held = chain.digest_in_force(message.revision) or own.digest
    if message.revision == own.revision and held != message.digest:
        effects.extend(record_conflict(chain, own.revision, message.digest))
    if _has_unknown_notes(state, message):
        effects.extend(_request_notes(state, sender.name, now_s))
    return tuple(effects)


def _has_unknown_notes(state: SpreadState, message: RevisionAdvert) -> bool:
    """Whether the sender has a newer note in force or other confirmed notes."""
    chain = state.chain
    if message.revision > chain.catalogue.revision:
        return True
    if message.newest_revision <= chain.catalogue.revision:
        return False
    return (message.newest_revision, message.newest_digest) != chain.newest


def _request_notes(
    state: SpreadState, peer: str, now_s: float
) -> tuple[SpreadEffect, ...]:
    """Request the notes after the revision in force, from one peer at a time.

    The last peer that advertises notes while a request is outstanding is queued.
    During a snapshot transfer nothing is requested.
    """
    if state._fetch is not None:
        return ()
    if now_s < state._next_note_request_at_s:
        state._queued_peer = peer
        return ()
    state._next_note_request_at_s = now_s + NOTE_REQUEST_TIMEOUT_S
    state._queued_peer = ""
    return (Send(peer, NoteRequest(state.chain.catalogue.revision)),)


def _record_stale_peer(
    state: SpreadState, origin: str, revision: int
) -> tuple[SpreadEffect, ...]:
    """Record an older revision in force at a peer, once for each pair of them."""
    if not state.is_first_report(origin, revision):
        return ()
    return (record_event("peer-behind", origin, f"revision={revision}"),)


@_receive.register
def _(
    message: NoteRequest, state: SpreadState, sender: Sender, now_s: float
) -> tuple[SpreadEffect, ...]:
    if state.chain.is_pruned_after(message.from_revision):
        return (Send(sender.name, NotesReply((), True)),)
    notes = _first_that_fit(state.chain.texts_after(message.from_revision))
    return (Send(sender.name, NotesReply(notes, False)),) if notes else ()


def _first_that_fit(notes: tuple[NoteText, ...]) -> tuple[NoteText, ...]:
    """Return the first notes that fit into one reply, at least one."""
    chosen: list[NoteText] = []
    size = 0
    for note in notes:
        size += len(note.text)
        if chosen and size > MAX_REPLY_CHARACTERS:
            break
        chosen.append(note)
    return tuple(chosen)


@_receive.register
def _(
    message: NotesReply, state: SpreadState, sender: Sender, now_s: float
) -> tuple[SpreadEffect, ...]:
    before = state.chain.catalogue.revision
    effects: list[SpreadEffect] = []
    for note in message.notes:
        effects.extend(add_note(state.chain, note.text, now_s, note.is_in_force))
    effects.extend(advance_and_advertise(state, now_s))
    state._next_note_request_at_s = now_s
    resolving = state.chain.resolving_revision
    is_resolved_at_peer = any(
        n.is_in_force and n.revision >= resolving for n in message.notes
    )
    if message.is_pruned or (resolving and is_resolved_at_peer):
        effects.extend(start_fetch(state, sender.name, now_s))
        return tuple(effects)
    in_force = state.chain.catalogue.revision
    more = sender.name if before < in_force < state._max_peer_revision else ""
    if more or state._queued_peer:
        effects.extend(_request_notes(state, more or state._queued_peer, now_s))
    return tuple(effects)


@_receive.register
def _(
    message: SnapshotRequest, state: SpreadState, sender: Sender, now_s: float
) -> tuple[SpreadEffect, ...]:
    return serve_snapshot(state, message, sender.name, now_s)


@_receive.register
def _(
    message: SnapshotPart, state: SpreadState, sender: Sender, now_s: float
) -> tuple[SpreadEffect, ...]:
    fetch = state._fetch
    if fetch is None or fetch.source != sender.name:
        return ()
    if fetch.revision not in (0, message.revision):
        return ()
    effects = handle_part(state, message.part, message.data, now_s)
    return (*effects, *advertise_changes(state, effects, now_s))


def advance_and_advertise(state: SpreadState, now_s: float) -> tuple[SpreadEffect, ...]:
    """Apply the candidates that are due and advertise changes to the peers.

    Parameters
    ----------
    state : SpreadState
        State of the instance; changed in place.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of SpreadEffect
        `ApplyCatalogue`, events to record and adverts.
    """
    effects = advance(state.chain, now_s)
    if state._platform_head == state.chain.catalogue[:2]:
        state._platform_confirmed_at_s = max(
            state._platform_confirmed_at_s, state._head_read_at_s
        )
    return (*effects, *advertise_changes(state, effects, now_s))


def advertise_changes(
    state: SpreadState, effects: tuple[SpreadEffect, ...], now_s: float
) -> tuple[SpreadEffect, ...]:
    """Advertise to the peers if the catalogue or the newest note has changed.

    Parameters
    ----------
    state : SpreadState
        State of the instance; changed in place.
    effects : tuple of SpreadEffect
        Effects decided so far; an `ApplyCatalogue` among them is a change.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of SpreadEffect
        Adverts, and the waiting notes if the catalogue is unchanged.
    """
    if any(isinstance(effect, ApplyCatalogue) for effect in effects):
        state._applied_at_s = now_s
        state._advertised_newest = state.chain.newest
        return advertise(state, now_s)
    if state.chain.newest == state._advertised_newest:
        return ()
    state._advertised_newest = state.chain.newest
    return (*advertise(state, now_s), *_push_notes(state))


def _push_notes(state: SpreadState) -> tuple[SpreadEffect, ...]:
    """Push the waiting notes if they have at most `MAX_PUSH_CHARACTERS` in total."""
    notes = state.chain.texts_after(state.chain.catalogue.revision)
    if not notes or sum(len(note.text) for note in notes) > MAX_PUSH_CHARACTERS:
        return ()
    message = NotesReply(notes, False)
    return tuple(Send(name, message) for name in state.neighbours.push)


def advertise(state: SpreadState, now_s: float) -> tuple[SpreadEffect, ...]:
    """Send an advert to every push neighbour.

    Parameters
    ----------
    state : SpreadState
        State of the instance.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of SpreadEffect
        One `Send` for each neighbour.
    """
    message = advert(state, now_s)
    return tuple(Send(name, message) for name in state.neighbours.push)
