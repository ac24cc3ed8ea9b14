"""Adds received notes to the candidates of a chain, or rejects them."""

import hashlib
import math

from chervilpitch.notes import NoteProblem, digest, parse

from .chain import Candidate, Chain
from .effects import SpreadEffect, record_event

__all__ = ["add_note", "record_conflict", "reject_note", "text_digest"]

SETTLE_DELAY_S = 3.0
MAX_REVISIONS_AHEAD = 64
MAX_NOTES_PER_REVISION = 4


def text_digest(text: str | bytes) -> str:
    """Return the digest of a text that cannot be parsed as a note.

    Parameters
    ----------
    text : str or bytes
        The text.

    Returns
    -------
    str
        SHA-256 digest in hexadecimal digits.
    """
    data = text if isinstance(text, bytes) else text.encode(errors="replace")
    return hashlib.sha256(data).hexdigest()


def add_note(
    chain: Chain,
    text: str | bytes,
    now_s: float,
    is_in_force_elsewhere: bool = False,
    is_confirmed: bool = True,
) -> tuple[SpreadEffect, ...]:
    """Add a note to the candidates.

    Ignored are rejected notes, notes more than `MAX_REVISIONS_AHEAD` revisions
    ahead, and new notes of a revision that has `MAX_NOTES_PER_REVISION`. A note
    no newer than the one in force is only compared with the applied note.

    Parameters
    ----------
    chain : Chain
        The chain of revisions; changed in place.
    text : str or bytes
        Text of the note.
    now_s : float
        Monotonic time in seconds.
    is_in_force_elsewhere : bool
        Whether a peer has the note in force.
    is_confirmed : bool
        Whether the platform's head or a peer confirms the note; otherwise it
        waits until a note that follows it is known.

    Returns
    -------
    tuple of SpreadEffect
        Events to record: a rejected note or conflicting notes.
    """
    if chain.is_duplicate(text, is_in_force_elsewhere):
        return ()
    parsed = parse(text, "note")
    if parsed.is_err():
        return reject_note(chain, text_digest(text), parsed.err_value)
    note = parsed.ok_value
    note_digest = digest(note)
    revision = note.revision
    if (
        chain.is_rejected(note_digest)
        or revision > chain.catalogue.revision + MAX_REVISIONS_AHEAD
    ):
        return ()
    if revision <= chain.catalogue.revision:
        held_digest = chain.digest_in_force(revision)
        return (
            record_conflict(chain, revision, note_digest)
            if held_digest not in ("", note_digest)
            else ()
        )
    by_digest = chain.candidates_at(revision)
    known = by_digest.get(note_digest)
    if known is None and len(by_digest) >= MAX_NOTES_PER_REVISION:
        return ()
    settled_at_s = now_s + SETTLE_DELAY_S if is_confirmed else math.inf
    if known is None:
        decoded = text if isinstance(text, str) else text.decode()
        known = Candidate(note, note_digest, decoded, settled_at_s, False)
    by_digest[note_digest] = known._replace(
        settled_at_s=min(known.settled_at_s, settled_at_s),
        is_in_force_elsewhere=known.is_in_force_elsewhere or is_in_force_elsewhere,
    )
    if len(by_digest) > 1:
        return tuple(
            effect
            for d in sorted(by_digest)
            for effect in record_conflict(chain, revision, d)
        )
    return ()


def record_conflict(
    chain: Chain, revision: int, note_digest: str
) -> tuple[SpreadEffect, ...]:
    """Record once that a note shares its revision with another note.

    Parameters
    ----------
    chain : Chain
        The chain of revisions; changed in place.
    revision : int
        Revision of the notes.
    note_digest : str
        Digest of one of the conflicting notes.

    Returns
    -------
    tuple of SpreadEffect
        The event to record; empty if it was recorded before.
    """
    if (revision, note_digest) in chain.conflicts:
        return ()
    chain.add_conflict(revision, note_digest)
    return (record_event("conflict", revision, f"digest={note_digest}"),)


def reject_note(
    chain: Chain, note_digest: str, problems: tuple[NoteProblem, ...]
) -> tuple[SpreadEffect, ...]:
    """Reject an unusable note and record it once.

    Parameters
    ----------
    chain : Chain
        The chain of revisions; changed in place.
    note_digest : str
        Digest of the note, or of its text if it cannot be parsed.
    problems : tuple of NoteProblem
        Problems of the note, at least one.

    Returns
    -------
    tuple of SpreadEffect
        The event to record; empty if it was recorded before.
    """
    if chain.is_rejected(note_digest):
        return ()
    chain.add_rejected(note_digest)
    first = problems[0]
    detail = f"problems={len(problems)} first={first.kind} line={first.line}"
    return (record_event("note-refused", note_digest, detail),)
