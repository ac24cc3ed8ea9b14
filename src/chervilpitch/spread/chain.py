"""The catalogue in force, the notes that led to it and those that may follow."""

import hashlib
import math
from typing import NamedTuple

from chervilpitch.model import EMPTY_CATALOGUE, Catalogue
from chervilpitch.notes import ReleaseNote

from .messages import NoteText

__all__ = ["Candidate", "Chain"]

RECENT_NOTES = 256
RECENT_CHARACTERS = 4_000_000
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

    def rivals(self, revision: int) -> dict[str, Candidate]:
        """Candidates of a revision by digest, to be added to."""
        return self._candidates.setdefault(revision, {})

    def remember_conflict(self, revision: int, name: str) -> None:
        """Remember a note that has a rival; the oldest are forgotten."""
        self.conflicts[revision, name] = None
        _limit(self.conflicts)

    def remember_refused(self, name: str) -> None:
        """Remember a note that cannot be used; the oldest are forgotten."""
        self._refused[name] = None
        _limit(self._refused)

    def apply_catalogue(self, new: Catalogue, text: str) -> None:
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


def _limit(remembered: dict) -> None:
    """Forget the oldest entries of a bounded memory."""
    while len(remembered) > MAX_REMEMBERED:
        del remembered[next(iter(remembered))]
