"""Messages between instances about revisions, notes and snapshots."""

from typing import NamedTuple

__all__ = [
    "NoteRequest",
    "NoteText",
    "NotesReply",
    "RevisionAdvert",
    "SnapshotPart",
    "SnapshotRequest",
]


class RevisionAdvert(NamedTuple):
    """What the sender has in force and the newest note it knows.

    Parameters
    ----------
    revision : int
        Revision in force.
    digest : str
        Digest of the note in force.
    newest_revision : int
        Highest revision known, in force or not.
    newest_digest : str
        Digest of that note.
    platform_age_s : float
        Seconds since the platform confirmed that nothing newer was published.
    is_ready : bool
        Whether the sender has finished its start.
    is_query : bool
        Whether the sender wants an advert in return.
    """

    revision: int
    digest: str
    newest_revision: int
    newest_digest: str
    platform_age_s: float
    is_ready: bool
    is_query: bool


class NoteRequest(NamedTuple):
    """Ask for the notes after a revision.

    Parameters
    ----------
    from_revision : int
        Revision that the sender has in force.
    """

    from_revision: int


class NoteText(NamedTuple):
    """The text of one note.

    Parameters
    ----------
    revision : int
        Revision of the note.
    text : str
        The note.
    is_in_force : bool
        Whether it is in force at the sender.
    """

    revision: int
    text: str
    is_in_force: bool


class NotesReply(NamedTuple):
    """Notes after the revision that was asked for.

    Parameters
    ----------
    notes : tuple of NoteText
        Notes in the order of their revisions.
    is_pruned : bool
        Whether the sender no longer holds the first of them, so that a snapshot
        is needed.
    """

    notes: tuple[NoteText, ...]
    is_pruned: bool


class SnapshotRequest(NamedTuple):
    """Ask for a part of a snapshot.

    Parameters
    ----------
    revision : int
        Revision of the snapshot; 0 with the head asks for a recent one.
    part : int
        Number of the part; -1 asks for the head.
    """

    revision: int
    part: int


class SnapshotPart(NamedTuple):
    """One part of a snapshot.

    Parameters
    ----------
    revision : int
        Revision of the snapshot.
    part : int
        Number of the part; -1 for the head.
    data : bytes
        The encoded part.
    """

    revision: int
    part: int
    data: bytes
