"""Messages that instances exchange about revisions, notes and snapshots."""

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
    """Announces the revision in force and the newest note known to the sender.

    Parameters
    ----------
    revision : int
        Revision in force.
    digest : str
        Digest of the note in force.
    newest_revision : int
        Highest revision that is in force or confirmed at the sender.
    newest_digest : str
        Digest over the confirmed notes that are not in force, or of the note in
        force if there are none.
    platform_age_s : float
        Seconds since the platform last confirmed that no newer note was
        published.
    is_ready : bool
        Whether the sender has completed its start.
    is_query : bool
        Whether the sender requests an advert in reply.
    """

    revision: int
    digest: str
    newest_revision: int
    newest_digest: str
    platform_age_s: float
    is_ready: bool
    is_query: bool


class NoteRequest(NamedTuple):
    """Requests the notes after a revision.

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
        Text of the note.
    is_in_force : bool
        Whether the note is in force at the sender.
    """

    revision: int
    text: str
    is_in_force: bool


class NotesReply(NamedTuple):
    """Notes after the requested revision, or pushed to a neighbour.

    Parameters
    ----------
    notes : tuple of NoteText
        Notes in the order of their revisions.
    is_pruned : bool
        Whether the sender has pruned the first of the requested notes, so that
        the receiver needs a snapshot.
    """

    notes: tuple[NoteText, ...]
    is_pruned: bool


class SnapshotRequest(NamedTuple):
    """Requests one part of a snapshot.

    Parameters
    ----------
    revision : int
        Revision of the snapshot; 0 requests the head of a recent one.
    part : int
        Number of the part from 0; -1 for the head.
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
        Number of the part from 0; -1 for the head.
    data : bytes
        The encoded part.
    """

    revision: int
    part: int
    data: bytes
