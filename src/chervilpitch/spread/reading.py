"""Reading the platform: the head, notes and snapshots."""

from functools import singledispatch
from typing import Any

from chervilpitch.notes import digest as note_digest
from chervilpitch.notes import parse

from .chain import RECENT_NOTES
from .effects import HEAD, ReadPlatform, SpreadEffect, record
from .events import PlatformEvent, PlatformFailed, PlatformHead, PlatformValue
from .exchange import progress, relay
from .learning import learn, note_conflict
from .neighbours import stagger_s
from .state import SpreadState, is_reading
from .transfer import SNAPSHOT_HEAD, begin_fetch, drop_fetch, take_part

__all__ = ["handle_platform_event", "read_due"]

WATCH_S = 10.0
WATCH_GRACE_S = 5.0
RETRY_S = 5.0
RETRY_SPREAD_S = 5.0
VALUE_RETRY_S = 1.0
UNNAMED_SPREAD_S = 10.0
NOTES_AT_ONCE = 8


def read_due(state: SpreadState, now_s: float) -> tuple[SpreadEffect, ...]:
    """Return the reads that fall due.

    Parameters
    ----------
    state : SpreadState
        State of the instance; changed in place.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of SpreadEffect
        A watch of the head and reads of notes that are missing.
    """
    if not is_reading(state, now_s):
        return ()
    effects: list[SpreadEffect] = []
    if now_s >= state._head_due_at_s:
        is_known = state._platform_head is not None
        until_s = now_s + WATCH_S if is_known else 0.0
        state._head_due_at_s = now_s + WATCH_S + WATCH_GRACE_S
        effects.append(ReadPlatform(HEAD, until_s))
    effects.extend(_read_notes(state, now_s))
    return tuple(effects)


def _read_notes(state: SpreadState, now_s: float) -> tuple[SpreadEffect, ...]:
    """Read the notes between the one in force and the published head."""
    if state._platform_head is None or state._fetch is not None:
        return ()
    revision, digest = state._platform_head
    in_force = state.chain.catalogue.revision
    if revision <= in_force or state.chain.is_refused(digest):
        return ()
    is_far = revision - in_force > RECENT_NOTES or state.chain.resolving
    if is_far and _is_due(state, SNAPSHOT_HEAD, now_s):
        return begin_fetch(state, "", now_s)
    last = min(revision, in_force + NOTES_AT_ONCE)
    names = [
        f"notes/{number}"
        for number in range(in_force + 1, last + 1)
        if not _is_held(state, number)
    ]
    return tuple(ReadPlatform(n, 0.0) for n in names if _is_due(state, n, now_s))


def _is_held(state: SpreadState, number: int) -> bool:
    """Whether the published note of a revision is among the candidates."""
    chain = state.chain
    revision, digest = state._platform_head or (0, "")
    if number == revision:
        return chain.knows(number, digest)
    return chain.has_successor(number)


def _is_due(state: SpreadState, name: str, now_s: float) -> bool:
    """Whether a value may be read now; it is then not read again for a while."""
    if now_s < state._value_due_at_s.get(name, now_s):
        return False
    later = {n: due for n, due in state._value_due_at_s.items() if due > now_s}
    state._value_due_at_s = later | {name: now_s + VALUE_RETRY_S}
    return True


def handle_platform_event(
    state: SpreadState, event: PlatformEvent, now_s: float
) -> tuple[SpreadEffect, ...]:
    """Take an answer of the platform.

    Parameters
    ----------
    state : SpreadState
        State of the instance; changed in place.
    event : PlatformEvent
        The answer, or its failure.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of SpreadEffect
        What the shell is to do.

    Raises
    ------
    TypeError
        If the event is none of this package.
    """
    return _answered(event, state, now_s)


@singledispatch
def _answered(event: Any, state: SpreadState, now_s: float) -> tuple[SpreadEffect, ...]:
    raise TypeError(type(event))


@_answered.register
def _(
    event: PlatformHead, state: SpreadState, now_s: float
) -> tuple[SpreadEffect, ...]:
    state._head_due_at_s = now_s
    state._platform_failed = False
    state._head_at_s = now_s
    own = state.chain.catalogue
    is_repeated = state._platform_head == (event.revision, event.digest)
    if event.revision < own.revision:
        state._platform_head = state._platform_head or (event.revision, event.digest)
        state._head_due_at_s = now_s + RETRY_S
        detail = f"in-force={own.revision}"
        if not state.is_first_report("", event.revision):
            return ()
        return (record("platform-stale", event.revision, detail),)
    state._platform_head = (event.revision, event.digest)
    if event.revision == own.revision and event.digest != own.digest:
        return note_conflict(state.chain, event.revision, event.digest)
    if event.revision == own.revision:
        state._platform_at_s = max(state._platform_at_s, now_s)
    if not state.neighbours.is_reader and state._is_ready and not is_repeated:
        delay_s = stagger_s(
            state._own.name, f"notes/{event.revision}", UNNAMED_SPREAD_S
        )
        state._value_due_at_s[f"notes/{event.revision}"] = now_s + delay_s
        state._head_due_at_s = now_s + delay_s
    return read_due(state, now_s)


@_answered.register
def _(
    event: PlatformValue, state: SpreadState, now_s: float
) -> tuple[SpreadEffect, ...]:
    if event.name.startswith("snapshot/"):
        return _take_snapshot_value(state, event, now_s)
    number = event.name.removeprefix("notes/")
    if not number.isdecimal() or state._platform_head is None:
        return ()
    if not event.data:
        return _take_missing_note(state, int(number), now_s)
    effects = list(_take_note(state, int(number), event.data, now_s))
    effects.extend(progress(state, now_s))
    effects.extend(read_due(state, now_s))
    return tuple(effects)


def _take_missing_note(
    state: SpreadState, number: int, now_s: float
) -> tuple[SpreadEffect, ...]:
    """Turn to the snapshot when the next note is no longer published."""
    if number != state.chain.catalogue.revision + 1:
        return ()
    return begin_fetch(state, "", now_s)


def _take_note(
    state: SpreadState, number: int, data: bytes, now_s: float
) -> tuple[SpreadEffect, ...]:
    """Learn a published note; the newest one only when the head confirms it."""
    revision, digest = state._platform_head
    if number != revision:
        return learn(state.chain, data, now_s, is_vouched=False)
    parsed = parse(data, f"notes/{number}")
    if parsed.is_ok() and note_digest(parsed.ok_value) == digest:
        return learn(state.chain, data, now_s)
    state._value_due_at_s[f"notes/{number}"] = now_s + WATCH_S
    if parsed.is_ok():
        return _report_mismatch(state, number, note_digest(parsed.ok_value))
    state._unreadable_head = (revision, digest)
    return learn(state.chain, data, now_s)


def _report_mismatch(
    state: SpreadState, number: int, seen: str
) -> tuple[SpreadEffect, ...]:
    """Record once that the head and the note it names disagree."""
    if not state.is_first_report(seen, number):
        return ()
    return (record("digest-mismatch", number, f"digest={seen}"),)


def _take_snapshot_value(
    state: SpreadState, event: PlatformValue, now_s: float
) -> tuple[SpreadEffect, ...]:
    fetch = state._fetch
    if fetch is None or fetch.source:
        return ()
    if not event.data:
        return drop_fetch(state)
    name = event.name.rpartition("/")[2]
    if event.name == SNAPSHOT_HEAD:
        part = -1
    elif event.name == f"snapshot/{fetch.revision}/{name}" and name.isdecimal():
        part = int(name)
    else:
        return ()
    effects = take_part(state, part, event.data, now_s)
    return (*effects, *relay(state, effects, now_s))


@_answered.register
def _(
    event: PlatformFailed, state: SpreadState, now_s: float
) -> tuple[SpreadEffect, ...]:
    if event.name.startswith("snapshot/"):
        is_ours = state._fetch is not None and not state._fetch.source
        return drop_fetch(state) if is_ours else ()
    if event.name != HEAD:
        return ()
    was_failed = state._platform_failed
    state._platform_failed = True
    delay_s = stagger_s(state._own.name, "retry", RETRY_SPREAD_S)
    state._head_due_at_s = now_s + RETRY_S + delay_s
    return () if was_failed else (record("platform-failed", event.name),)
