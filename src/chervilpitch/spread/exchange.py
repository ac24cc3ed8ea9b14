"""Messages between instances: adverts, notes and their relay."""

from functools import singledispatch
from typing import Any

from chervilpitch.model import Send, Sender

from .advancing import advance
from .effects import ApplyCatalogue, SpreadEffect, record
from .learning import learn, note_conflict
from .messages import (
    NoteRequest,
    NotesReply,
    NoteText,
    RevisionAdvert,
    SnapshotPart,
    SnapshotRequest,
)
from .state import SpreadState, advert
from .transfer import begin_fetch, serve_snapshot, take_part

__all__ = ["progress", "push", "receive"]

ASK_AGAIN_S = 1.0
BEHIND_S = 20.0
MAX_PUSH_CHARACTERS = 8_000
MAX_REPLY_CHARACTERS = 250_000


def receive(
    state: SpreadState, message: Any, sender: Sender, now_s: float
) -> tuple[SpreadEffect, ...]:
    """Take a message of a peer.

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
        What the shell is to do.

    Raises
    ------
    TypeError
        If the message is none of this package.
    """
    effects = _receive(message, state, sender, now_s)
    state._peer_heard_at_s = max(state._peer_heard_at_s, now_s)
    return effects


@singledispatch
def _receive(
    message: Any, state: SpreadState, sender: Sender, now_s: float
) -> tuple[SpreadEffect, ...]:
    raise TypeError(type(message))


@_receive.register
def _(
    message: RevisionAdvert, state: SpreadState, sender: Sender, now_s: float
) -> tuple[SpreadEffect, ...]:
    chain = state.chain
    own = chain.catalogue
    state._peers_revision = max(state._peers_revision, message.revision)
    if message.is_ready:
        state._answered.add(sender.name)
    if (message.newest_revision, message.newest_digest) == own[:2]:
        confirmed_at_s = now_s - max(0.0, message.platform_age_s)
        state._platform_at_s = max(state._platform_at_s, confirmed_at_s)
    effects: list[SpreadEffect] = []
    if message.is_query or message.newest_revision < own.revision:
        effects.append(Send(sender.name, advert(state, now_s)))
    is_late = now_s >= state._in_force_at_s + BEHIND_S
    if message.revision < own.revision and message.is_ready and is_late:
        effects.extend(_report_stale(state, sender.name, message.revision))
    held = chain.digest_of(message.revision) or own.digest
    if message.revision == own.revision and held != message.digest:
        effects.extend(note_conflict(chain, own.revision, message.digest))
    if _is_wanted(state, message):
        effects.extend(_ask(state, sender.name, now_s))
    return tuple(effects)


def _is_wanted(state: SpreadState, message: RevisionAdvert) -> bool:
    """Whether the sender holds a note that is unknown or not in force here."""
    chain = state.chain
    if message.revision > chain.catalogue.revision:
        return True
    if message.newest_revision <= chain.catalogue.revision:
        return False
    return (message.newest_revision, message.newest_digest) != chain.newest


def _ask(state: SpreadState, peer: str, now_s: float) -> tuple[SpreadEffect, ...]:
    """Ask one peer at a time for the notes after the revision in force."""
    if state._fetch is not None:
        return ()
    if now_s < state._asked_until_s:
        state._ask_next = peer
        return ()
    state._asked_until_s = now_s + ASK_AGAIN_S
    state._ask_next = ""
    return (Send(peer, NoteRequest(state.chain.catalogue.revision)),)


def _report_stale(
    state: SpreadState, origin: str, revision: int
) -> tuple[SpreadEffect, ...]:
    """Record a peer that has an older revision in force, once for each."""
    if not state.is_first_report(origin, revision):
        return ()
    return (record("peer-behind", origin, f"revision={revision}"),)


@_receive.register
def _(
    message: NoteRequest, state: SpreadState, sender: Sender, now_s: float
) -> tuple[SpreadEffect, ...]:
    if state.chain.is_pruned_after(message.from_revision):
        return (Send(sender.name, NotesReply((), True)),)
    notes = _limited(state.chain.texts_after(message.from_revision))
    return (Send(sender.name, NotesReply(notes, False)),) if notes else ()


def _limited(notes: tuple[NoteText, ...]) -> tuple[NoteText, ...]:
    """Return the first notes that fit in one reply, at least one."""
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
        effects.extend(learn(state.chain, note.text, now_s, note.is_in_force))
    effects.extend(progress(state, now_s))
    state._asked_until_s = now_s
    resolving = state.chain.resolving
    is_past = any(n.is_in_force and n.revision >= resolving for n in message.notes)
    if message.is_pruned or (resolving and is_past):
        effects.extend(begin_fetch(state, sender.name, now_s))
        return tuple(effects)
    in_force = state.chain.catalogue.revision
    more = sender.name if before < in_force < state._peers_revision else ""
    if more or state._ask_next:
        effects.extend(_ask(state, more or state._ask_next, now_s))
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
    effects = take_part(state, message.part, message.data, now_s)
    return (*effects, *relay(state, effects, now_s))


def progress(state: SpreadState, now_s: float) -> tuple[SpreadEffect, ...]:
    """Put in force what may be, and tell the peers when anything is new.

    Parameters
    ----------
    state : SpreadState
        State of the instance; changed in place.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of SpreadEffect
        `ApplyCatalogue`, records and adverts.
    """
    effects = advance(state.chain, now_s)
    if state._platform_head == state.chain.catalogue[:2]:
        state._platform_at_s = max(state._platform_at_s, state._head_at_s)
    return (*effects, *relay(state, effects, now_s))


def relay(
    state: SpreadState, effects: tuple[SpreadEffect, ...], now_s: float
) -> tuple[SpreadEffect, ...]:
    """Tell the peers when the effects or the newest note are news.

    Parameters
    ----------
    state : SpreadState
        State of the instance; changed in place.
    effects : tuple of SpreadEffect
        Effects decided so far.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of SpreadEffect
        The adverts.
    """
    if any(isinstance(effect, ApplyCatalogue) for effect in effects):
        state._in_force_at_s = now_s
        state._relayed = state.chain.newest
        return push(state, now_s)
    if state.chain.newest == state._relayed:
        return ()
    state._relayed = state.chain.newest
    return (*push(state, now_s), *_push_notes(state))


def _push_notes(state: SpreadState) -> tuple[SpreadEffect, ...]:
    """Send the notes that wait to the neighbours when they are small."""
    notes = state.chain.texts_after(state.chain.catalogue.revision)
    if not notes or sum(len(note.text) for note in notes) > MAX_PUSH_CHARACTERS:
        return ()
    message = NotesReply(notes, False)
    return tuple(Send(name, message) for name in state.neighbours.push)


def push(state: SpreadState, now_s: float) -> tuple[SpreadEffect, ...]:
    """Advertise to the neighbours.

    Parameters
    ----------
    state : SpreadState
        State of the instance.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of SpreadEffect
        One advert for each neighbour.
    """
    message = advert(state, now_s)
    return tuple(Send(name, message) for name in state.neighbours.push)
