"""Takes notes into the chain's candidates and remembers unusable ones."""

import hashlib
import math

from chervilpitch.notes import NoteProblem, digest, parse

from .chain import Candidate, Chain
from .effects import SpreadEffect, record

__all__ = ["learn", "note_conflict", "refuse", "text_digest"]

SETTLE_S = 3.0
MAX_AHEAD = 64
MAX_RIVALS = 4


def text_digest(text: str | bytes) -> str:
    """Return a digest of a text that cannot be read as a note.

    Parameters
    ----------
    text : str or bytes
        The text.

    Returns
    -------
    str
        Its SHA-256 digest in hexadecimal digits.
    """
    data = text if isinstance(text, bytes) else text.encode(errors="replace")
    return hashlib.sha256(data).hexdigest()


def learn(
    chain: Chain,
    text: str | bytes,
    now_s: float,
    is_in_force_elsewhere: bool = False,
    is_vouched: bool = True,
) -> tuple[SpreadEffect, ...]:
    """Take a note into the candidates.

    Parameters
    ----------
    chain : Chain
        The chain.
    text : str or bytes
        Text of the note.
    now_s : float
        Monotonic time in seconds.
    is_in_force_elsewhere : bool
        Whether a peer has it in force.
    is_vouched : bool
        Whether the platform's head or a peer confirms it; else it waits for a
        note that follows it.

    Returns
    -------
    tuple of SpreadEffect
        Records of a refused note or of a conflict.
    """
    if chain.is_repeated(text, is_in_force_elsewhere):
        return ()
    parsed = parse(text, "note")
    if parsed.is_err():
        return refuse(chain, text_digest(text), parsed.err_value)
    note = parsed.ok_value
    name = digest(note)
    revision = note.revision
    if chain.is_refused(name) or revision > chain.catalogue.revision + MAX_AHEAD:
        return ()
    if revision <= chain.catalogue.revision:
        held = chain.digest_of(revision)
        return note_conflict(chain, revision, name) if held not in ("", name) else ()
    rivals = chain.rivals(revision)
    known = rivals.get(name)
    if known is None and len(rivals) >= MAX_RIVALS:
        return ()
    settled_at_s = now_s + SETTLE_S if is_vouched else math.inf
    if known is None:
        as_text = text if isinstance(text, str) else text.decode()
        known = Candidate(note, name, as_text, settled_at_s, False)
    rivals[name] = known._replace(
        settled_at_s=min(known.settled_at_s, settled_at_s),
        is_in_force_elsewhere=known.is_in_force_elsewhere or is_in_force_elsewhere,
    )
    if len(rivals) > 1:
        return tuple(
            e for n in sorted(rivals) for e in note_conflict(chain, revision, n)
        )
    return ()


def note_conflict(chain: Chain, revision: int, name: str) -> tuple[SpreadEffect, ...]:
    """Remember and record, once, that two notes have one revision.

    Parameters
    ----------
    chain : Chain
        The chain.
    revision : int
        The revision.
    name : str
        Digest of one of the notes.

    Returns
    -------
    tuple of SpreadEffect
        The record, when it is new.
    """
    if (revision, name) in chain.conflicts:
        return ()
    chain.remember_conflict(revision, name)
    return (record("conflict", revision, f"digest={name}"),)


def refuse(
    chain: Chain, name: str, problems: tuple[NoteProblem, ...]
) -> tuple[SpreadEffect, ...]:
    """Remember a note that cannot be used, and record it once.

    Parameters
    ----------
    chain : Chain
        The chain.
    name : str
        Digest of the note, or of its text when it cannot be read.
    problems : tuple of NoteProblem
        What is wrong with it.

    Returns
    -------
    tuple of SpreadEffect
        The record, when it is new.
    """
    if chain.is_refused(name):
        return ()
    chain.remember_refused(name)
    first = problems[0]
    detail = f"problems={len(problems)} first={first.kind} line={first.line}"
    return (record("note-refused", name, detail),)
