"""The catalogue in force, the notes that led to it and those that may follow."""

import hashlib
import math
from typing import NamedTuple

from chervilpitch.model import EMPTY_CATALOGUE, Catalogue
from chervilpitch.notes import NoteProblem, ReleaseNote, digest, parse

from .effects import SpreadEffect, record
from .messages import NoteText

__all__ = ["Candidate", "Chain", "learn", "note_conflict", "refuse", "text_digest"]

SETTLE_S = 3.0
RECENT_NOTES = 256
RECENT_CHARACTERS = 4_000_000
MAX_AHEAD = 64
MAX_RIVALS = 4
MAX_REMEMBERED = 64


class Candidate(NamedTuple):
    """A note that is known and not in force.

    Parameters
    ----------
    note : ReleaseNote
        The note.
    digest : str
        Its digest.
    text : str
        Its text as received.
    settled_at_s : float
        Time from which it is put in force when no rival is known.
    is_in_force_elsewhere : bool
        Whether a peer has it in force.
    """

    note: ReleaseNote
    digest: str
    text: str
    settled_at_s: float
    is_in_force_elsewhere: bool


class Chain:
    """The catalogue in force with the notes around it.

    The dictionary `conflicts` has the revisions and digests that disagree with
    what is known here.
    """

    def __init__(self) -> None:
        self._catalogue = EMPTY_CATALOGUE
        self._recent: dict[int, tuple[str, str]] = {}
        self._candidates: dict[int, dict[str, Candidate]] = {}
        self._refused: dict[str, None] = {}
        self.conflicts: dict[tuple[int, str], None] = {}

    @property
    def catalogue(self) -> Catalogue:
        """Catalogue in force."""
        return self._catalogue

    @property
    def candidates(self) -> tuple[Candidate, ...]:
        """Notes known and not in force, by revision and digest."""
        return tuple(
            rivals[name]
            for _, rivals in sorted(self._candidates.items())
            for name in sorted(rivals)
        )

    @property
    def vouched(self) -> tuple[Candidate, ...]:
        """Candidates that the platform's head or a peer has confirmed."""
        return tuple(c for c in self.candidates if c.settled_at_s < math.inf)

    @property
    def newest(self) -> tuple[int, str]:
        """Highest revision known, and one digest over all notes not in force."""
        waiting = self.vouched
        if not waiting:
            return self._catalogue.revision, self._catalogue.digest
        names = ",".join(candidate.digest for candidate in waiting)
        digest_of_names = hashlib.sha256(names.encode()).hexdigest()
        return waiting[-1].note.revision, digest_of_names

    def knows(self, revision: int, name: str) -> bool:
        """Whether a note is in force, confirmed as a candidate, or refused."""
        if revision == self._catalogue.revision and name == self._catalogue.digest:
            return True
        known = self._candidates.get(revision, {}).get(name)
        return self.is_refused(name) or (
            known is not None and known.settled_at_s < math.inf
        )

    def is_refused(self, name: str) -> bool:
        """Whether the note of a digest was found unusable."""
        return bool(name) and name in self._refused

    def followed(self, revision: int) -> set[str]:
        """Digests that the candidates of a revision follow."""
        rivals = self._candidates.get(revision, {})
        return {candidate.note.follows for candidate in rivals.values()}

    def fitting(self) -> list[Candidate]:
        """Candidates that follow the note in force, by digest."""
        rivals = self._candidates.get(self._catalogue.revision + 1, {})
        follows = self._catalogue.digest
        return [rivals[n] for n in sorted(rivals) if rivals[n].note.follows == follows]

    def drop(self, candidate: Candidate) -> None:
        """Remove a candidate."""
        revision = candidate.note.revision
        del self._candidates[revision][candidate.digest]
        if not self._candidates[revision]:
            del self._candidates[revision]

    def put_in_force(self, new: Catalogue, text: str) -> None:
        """Follow the note that led to a catalogue; empty text for a snapshot."""
        self._catalogue = new
        if text:
            self._recent[new.revision] = (new.digest, text)
        else:
            self._recent.clear()
        self._prune()

    def _prune(self) -> None:
        """Drop old notes beyond the limits, and candidates of the past."""
        recent = self._recent
        total = sum(len(text) for _, text in recent.values())
        while recent and (len(recent) > RECENT_NOTES or total > RECENT_CHARACTERS):
            total -= len(recent.pop(min(recent))[1])
        revision = self._catalogue.revision
        for past in [number for number in self._candidates if number <= revision]:
            del self._candidates[past]

    def is_repeated(self, text: str | bytes, is_in_force_elsewhere: bool) -> bool:
        """Whether a text brings nothing new about a confirmed candidate."""
        return any(
            known.text == text and known.is_in_force_elsewhere >= is_in_force_elsewhere
            for known in self.vouched
        )

    def has_successor(self, revision: int) -> bool:
        """Whether a later candidate follows a candidate of the revision."""
        followed = self.followed(revision + 1)
        return any(name in followed for name in self._candidates.get(revision, ()))

    def digest_of(self, revision: int) -> str:
        """Digest of a recent note in force; empty when it is not held."""
        return self._recent.get(revision, ("", ""))[0]

    def is_pruned_after(self, revision: int) -> bool:
        """Whether the note after a revision in the past is no longer held."""
        return revision < self._catalogue.revision and revision + 1 not in self._recent

    @property
    def resolving(self) -> int:
        """Revision of a note that replaces the one in force; 0 for none."""
        name = self._catalogue.digest
        found = [c.note.revision for c in self.vouched if name in c.note.replaces]
        return min(found, default=0)

    def texts_after(self, revision: int) -> tuple[NoteText, ...]:
        """Texts of the notes after a revision, those in force first."""
        held = [
            NoteText(number, text, True)
            for number, (_, text) in sorted(self._recent.items())
            if number > revision
        ]
        waiting = [NoteText(c.note.revision, c.text, False) for c in self.vouched]
        return (*held, *(text for text in waiting if text.revision > revision))


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
    if name in chain._refused or revision > chain.catalogue.revision + MAX_AHEAD:
        return ()
    if revision <= chain.catalogue.revision:
        held = chain.digest_of(revision)
        return note_conflict(chain, revision, name) if held not in ("", name) else ()
    rivals = chain._candidates.setdefault(revision, {})
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
    chain.conflicts[revision, name] = None
    _limit(chain.conflicts)
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
    if name in chain._refused:
        return ()
    chain._refused[name] = None
    _limit(chain._refused)
    first = problems[0]
    detail = f"problems={len(problems)} first={first.kind} line={first.line}"
    return (record("note-refused", name, detail),)


def _limit(remembered: dict) -> None:
    """Forget the oldest entries of a bounded memory."""
    while len(remembered) > MAX_REMEMBERED:
        del remembered[next(iter(remembered))]
