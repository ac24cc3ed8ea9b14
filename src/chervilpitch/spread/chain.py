"""The catalogue in force, the recent notes behind it and the candidates after it."""

import hashlib
import math
from typing import NamedTuple

from chervilpitch.model import EMPTY_CATALOGUE, Catalogue
from chervilpitch.notes import ReleaseNote

from .messages import NoteText

__all__ = ["Candidate", "Chain"]

MAX_RECENT_NOTES = 256
MAX_RECENT_CHARACTERS = 4_000_000
MAX_REMEMBERED_NOTES = 64


class Candidate(NamedTuple):
    """A known note that is not in force.

    Parameters
    ----------
    note : ReleaseNote
        The parsed note.
    digest : str
        Digest of the note.
    text : str
        Text as received.
    settled_at_s : float
        Monotonic time in seconds from which the note may be applied if no
        conflicting note is known; infinite while the note is unconfirmed.
    is_in_force_elsewhere : bool
        Whether a peer has the note in force.
    """

    note: ReleaseNote
    digest: str
    text: str
    settled_at_s: float
    is_in_force_elsewhere: bool


class Chain:
    """The catalogue in force, its recent notes and the candidates to follow.

    The dictionary `conflicts` is an ordered set of the revisions and digests of
    notes that share their revision with another note.
    """

    def __init__(self) -> None:
        self._catalogue = EMPTY_CATALOGUE
        self._recent: dict[int, tuple[str, str]] = {}
        self._candidates: dict[int, dict[str, Candidate]] = {}
        self._rejected: dict[str, None] = {}
        self.conflicts: dict[tuple[int, str], None] = {}

    @property
    def catalogue(self) -> Catalogue:
        """Catalogue in force."""
        return self._catalogue

    @property
    def candidates(self) -> tuple[Candidate, ...]:
        """Known notes that are not in force, ordered by revision and digest."""
        return tuple(
            by_digest[digest]
            for _, by_digest in sorted(self._candidates.items())
            for digest in sorted(by_digest)
        )

    @property
    def confirmed_candidates(self) -> tuple[Candidate, ...]:
        """Candidates that the platform's head or a peer has confirmed."""
        return tuple(c for c in self.candidates if c.settled_at_s < math.inf)

    @property
    def newest(self) -> tuple[int, str]:
        """Highest revision that is in force or confirmed, with a digest.

        The digest covers all confirmed candidates; without any, it is the digest
        of the catalogue in force.
        """
        waiting = self.confirmed_candidates
        if not waiting:
            return self._catalogue.revision, self._catalogue.digest
        digests = ",".join(candidate.digest for candidate in waiting)
        digest_of_digests = hashlib.sha256(digests.encode()).hexdigest()
        return waiting[-1].note.revision, digest_of_digests

    def is_known(self, revision: int, digest: str) -> bool:
        """Whether a note is in force, a confirmed candidate, or rejected."""
        if revision == self._catalogue.revision and digest == self._catalogue.digest:
            return True
        known = self._candidates.get(revision, {}).get(digest)
        return self.is_rejected(digest) or (
            known is not None and known.settled_at_s < math.inf
        )

    def is_rejected(self, digest: str) -> bool:
        """Whether the note with a digest was rejected as unusable."""
        return bool(digest) and digest in self._rejected

    def followed_digests(self, revision: int) -> set[str]:
        """Return the digests of the predecessors of a revision's candidates."""
        by_digest = self._candidates.get(revision, {})
        return {candidate.note.follows for candidate in by_digest.values()}

    def direct_successors(self) -> list[Candidate]:
        """Return the candidates that follow the note in force, ordered by digest."""
        by_digest = self._candidates.get(self._catalogue.revision + 1, {})
        follows = self._catalogue.digest
        return [
            by_digest[digest]
            for digest in sorted(by_digest)
            if by_digest[digest].note.follows == follows
        ]

    def remove_candidate(self, candidate: Candidate) -> None:
        revision = candidate.note.revision
        del self._candidates[revision][candidate.digest]
        if not self._candidates[revision]:
            del self._candidates[revision]

    def candidates_at(self, revision: int) -> dict[str, Candidate]:
        """Return the mutable table of a revision's candidates, by digest."""
        return self._candidates.setdefault(revision, {})

    def add_conflict(self, revision: int, digest: str) -> None:
        """Record a note that conflicts with another; evict the oldest entries."""
        self.conflicts[revision, digest] = None
        _evict_oldest(self.conflicts)

    def add_rejected(self, digest: str) -> None:
        """Record the digest of an unusable note; evict the oldest entries."""
        self._rejected[digest] = None
        _evict_oldest(self._rejected)

    def apply_catalogue(self, new: Catalogue, text: str) -> None:
        """Replace the catalogue in force.

        The text is that of the note that led to it; it is empty for a snapshot,
        which also discards the recent notes.
        """
        self._catalogue = new
        if text:
            self._recent[new.revision] = (new.digest, text)
        else:
            self._recent.clear()
        self._prune()

    def _prune(self) -> None:
        """Discard old notes beyond the limits and candidates up to the one in force."""
        recent = self._recent
        total = sum(len(text) for _, text in recent.values())
        while recent and (
            len(recent) > MAX_RECENT_NOTES or total > MAX_RECENT_CHARACTERS
        ):
            total -= len(recent.pop(min(recent))[1])
        revision = self._catalogue.revision
        for past in [number for number in self._candidates if number <= revision]:
            del self._candidates[past]

    def is_duplicate(self, text: str | bytes, is_in_force_elsewhere: bool) -> bool:
        """Whether a text adds nothing to what is known of a confirmed candidate."""
        return any(
            known.text == text and known.is_in_force_elsewhere >= is_in_force_elsewhere
            for known in self.confirmed_candidates
        )

    def has_successor(self, revision: int) -> bool:
        """Whether a candidate of the next revision follows one of this revision."""
        followed = self.followed_digests(revision + 1)
        return any(digest in followed for digest in self._candidates.get(revision, ()))

    def digest_in_force(self, revision: int) -> str:
        """Return the digest of an applied note; empty if its text is not held."""
        return self._recent.get(revision, ("", ""))[0]

    def is_pruned_after(self, revision: int) -> bool:
        """Whether the note after an older revision is pruned or was never held.

        An instance that started from a snapshot never held the notes before it.
        """
        return revision < self._catalogue.revision and revision + 1 not in self._recent

    @property
    def resolving_revision(self) -> int:
        """Lowest confirmed revision that replaces the note in force; 0 for none."""
        digest = self._catalogue.digest
        found = [
            c.note.revision
            for c in self.confirmed_candidates
            if digest in c.note.replaces
        ]
        return min(found, default=0)

    def texts_after(self, revision: int) -> tuple[NoteText, ...]:
        """Return the texts of the notes after a revision, those in force first."""
        held = [
            NoteText(number, text, True)
            for number, (_, text) in sorted(self._recent.items())
            if number > revision
        ]
        waiting = [
            NoteText(c.note.revision, c.text, False) for c in self.confirmed_candidates
        ]
        return (*held, *(text for text in waiting if text.revision > revision))


def _evict_oldest(remembered: dict) -> None:
    """Remove the oldest entries beyond the limit."""
    while len(remembered) > MAX_REMEMBERED_NOTES:
        del remembered[next(iter(remembered))]
