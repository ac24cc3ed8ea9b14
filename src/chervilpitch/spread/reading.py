"""Reads of the platform: the head, notes and snapshots."""

from functools import singledispatch
from typing import Any

from chervilpitch.notes import digest as note_digest
from chervilpitch.notes import parse

from .candidates import add_note, record_conflict
from .chain import MAX_RECENT_NOTES
from .effects import HEAD_NAME, ReadPlatform, SpreadEffect, record_event
from .events import PlatformEvent, PlatformFailed, PlatformHead, PlatformValue
from .exchange import advance_and_advertise, advertise_changes
from .neighbours import stagger_delay_s
from .state import SpreadState, is_watching_platform
from .transfer import SNAPSHOT_HEAD, cancel_fetch, handle_part, start_fetch

__all__ = ["due_reads", "handle_platform_event"]

HEAD_WATCH_TIMEOUT_S = 10.0
HEAD_WATCH_GRACE_S = 5.0
HEAD_RETRY_DELAY_S = 5.0
HEAD_RETRY_JITTER_S = 5.0
VALUE_RETRY_DELAY_S = 1.0
NON_READER_JITTER_S = 10.0
MAX_NOTE_READS = 8


def due_reads(state: SpreadState, now_s: float) -> tuple[SpreadEffect, ...]:
    """Return the reads that are due.

    Parameters
    ----------
    state : SpreadState
        State of the instance; changed in place.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of SpreadEffect
        A long poll of the head and reads of missing notes or of a snapshot.
    """
    if not is_watching_platform(state, now_s):
        return ()
    effects: list[SpreadEffect] = []
    if now_s >= state._head_due_at_s:
        is_known = state._platform_head is not None
        until_s = now_s + HEAD_WATCH_TIMEOUT_S if is_known else 0.0
        state._head_due_at_s = now_s + HEAD_WATCH_TIMEOUT_S + HEAD_WATCH_GRACE_S
        effects.append(ReadPlatform(HEAD_NAME, until_s))
    effects.extend(_read_notes(state, now_s))
    return tuple(effects)


def _read_notes(state: SpreadState, now_s: float) -> tuple[SpreadEffect, ...]:
    """Read the notes between the one in force and the published head.

    A snapshot is read instead if the head is too far ahead, or if a note that
    resolves a conflict replaces the note in force.
    """
    if state._platform_head is None or state._fetch is not None:
        return ()
    revision, digest = state._platform_head
    in_force = state.chain.catalogue.revision
    if revision <= in_force or state.chain.is_rejected(digest):
        return ()
    is_snapshot_needed = (
        revision - in_force > MAX_RECENT_NOTES or state.chain.resolving_revision
    )
    if is_snapshot_needed and _try_schedule_read(state, SNAPSHOT_HEAD, now_s):
        return start_fetch(state, "", now_s)
    last = min(revision, in_force + MAX_NOTE_READS)
    names = [
        f"notes/{number}"
        for number in range(in_force + 1, last + 1)
        if not _is_published_note_known(state, number)
    ]
    return tuple(
        ReadPlatform(n, 0.0) for n in names if _try_schedule_read(state, n, now_s)
    )


def _is_published_note_known(state: SpreadState, number: int) -> bool:
    """Whether the published note of a revision need not be read.

    The digest of the newest note is in the head; any other note is known to be
    the published one only by a note that follows it.
    """
    chain = state.chain
    revision, digest = state._platform_head or (0, "")
    if number == revision:
        return chain.is_known(number, digest)
    return chain.has_successor(number)


def _try_schedule_read(state: SpreadState, name: str, now_s: float) -> bool:
    """Whether a value may be read now.

    If so, the next read of the value is delayed by `VALUE_RETRY_DELAY_S`.
    """
    if now_s < state._value_due_at_s.get(name, now_s):
        return False
    later = {n: due for n, due in state._value_due_at_s.items() if due > now_s}
    state._value_due_at_s = later | {name: now_s + VALUE_RETRY_DELAY_S}
    return True


def handle_platform_event(
    state: SpreadState, event: PlatformEvent, now_s: float
) -> tuple[SpreadEffect, ...]:
    """Handle the result of a read of the platform.

    Parameters
    ----------
    state : SpreadState
        State of the instance; changed in place.
    event : PlatformEvent
        The head or value that was read, or the failure of the read.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of SpreadEffect
        Further reads, adverts, events to record and changes of the catalogue.

    Raises
    ------
    TypeError
        If the type of the event does not belong to this package.
    """
    return _handle_event(event, state, now_s)


@singledispatch
def _handle_event(
    event: Any, state: SpreadState, now_s: float
) -> tuple[SpreadEffect, ...]:
    raise TypeError(f"unsupported platform event: {type(event).__name__}")


@_handle_event.register
def _(
    event: PlatformHead, state: SpreadState, now_s: float
) -> tuple[SpreadEffect, ...]:
    state._head_due_at_s = now_s
    state._platform_failed = False
    state._head_read_at_s = now_s
    own = state.chain.catalogue
    is_repeated = state._platform_head == (event.revision, event.digest)
    if event.revision < own.revision:
        state._platform_head = state._platform_head or (event.revision, event.digest)
        state._head_due_at_s = now_s + HEAD_RETRY_DELAY_S
        detail = f"in-force={own.revision}"
        if not state.is_first_report("", event.revision):
            return ()
        return (record_event("platform-stale", event.revision, detail),)
    state._platform_head = (event.revision, event.digest)
    if event.revision == own.revision and event.digest != own.digest:
        return record_conflict(state.chain, event.revision, event.digest)
    if event.revision == own.revision:
        state._platform_confirmed_at_s = max(state._platform_confirmed_at_s, now_s)
    if not state.neighbours.is_reader and state._is_ready and not is_repeated:
        delay_s = stagger_delay_s(
            state._own.name, f"notes/{event.revision}", NON_READER_JITTER_S
        )
        state._value_due_at_s[f"notes/{event.revision}"] = now_s + delay_s
        state._head_due_at_s = now_s + delay_s
    return due_reads(state, now_s)


@_handle_event.register
def _(
    event: PlatformValue, state: SpreadState, now_s: float
) -> tuple[SpreadEffect, ...]:
    if event.name.startswith("snapshot/"):
        return _handle_snapshot_value(state, event, now_s)
    number = event.name.removeprefix("notes/")
    if not number.isdecimal() or state._platform_head is None:
        return ()
    if not event.data:
        return _handle_missing_note(state, int(number), now_s)
    effects = list(_handle_note(state, int(number), event.data, now_s))
    effects.extend(advance_and_advertise(state, now_s))
    effects.extend(due_reads(state, now_s))
    return tuple(effects)


def _handle_missing_note(
    state: SpreadState, number: int, now_s: float
) -> tuple[SpreadEffect, ...]:
    """Fetch a snapshot if the next note is no longer published."""
    if number != state.chain.catalogue.revision + 1:
        return ()
    return start_fetch(state, "", now_s)


def _handle_note(
    state: SpreadState, number: int, data: bytes, now_s: float
) -> tuple[SpreadEffect, ...]:
    """Add a published note; the newest one must have the digest in the head."""
    revision, digest = state._platform_head
    if number != revision:
        return add_note(state.chain, data, now_s, is_confirmed=False)
    parsed = parse(data, f"notes/{number}")
    if parsed.is_ok() and note_digest(parsed.ok_value) == digest:
        return add_note(state.chain, data, now_s)
    state._value_due_at_s[f"notes/{number}"] = now_s + HEAD_WATCH_TIMEOUT_S
    if parsed.is_ok():
        return _record_digest_mismatch(state, number, note_digest(parsed.ok_value))
    state._unreadable_head = (revision, digest)
    return add_note(state.chain, data, now_s)


def _record_digest_mismatch(
    state: SpreadState, number: int, seen: str
) -> tuple[SpreadEffect, ...]:
    """Record once that a note differs from the digest in the head."""
    if not state.is_first_report(seen, number):
        return ()
    return (record_event("digest-mismatch", number, f"digest={seen}"),)


def _handle_snapshot_value(
    state: SpreadState, event: PlatformValue, now_s: float
) -> tuple[SpreadEffect, ...]:
    fetch = state._fetch
    if fetch is None or fetch.source:
        return ()
    if not event.data:
        return cancel_fetch(state)
    name = event.name.rpartition("/")[2]
    if event.name == SNAPSHOT_HEAD:
        part = -1
    elif event.name == f"snapshot/{fetch.revision}/{name}" and name.isdecimal():
        part = int(name)
    else:
        return ()
    effects = handle_part(state, part, event.data, now_s)
    return (*effects, *advertise_changes(state, effects, now_s))


@_handle_event.register
def _(
    event: PlatformFailed, state: SpreadState, now_s: float
) -> tuple[SpreadEffect, ...]:
    if event.name.startswith("snapshot/"):
        is_ours = state._fetch is not None and not state._fetch.source
        return cancel_fetch(state) if is_ours else ()
    if event.name != HEAD_NAME:
        return ()
    was_failed = state._platform_failed
    state._platform_failed = True
    delay_s = stagger_delay_s(state._own.name, "retry", HEAD_RETRY_JITTER_S)
    state._head_due_at_s = now_s + HEAD_RETRY_DELAY_S + delay_s
    return () if was_failed else (record_event("platform-failed", event.name),)
