"""Snapshot transfer to instances that are too far behind to apply notes."""

from chervilpitch.model import Send
from chervilpitch.notes import read_snapshot, read_snapshot_head, take_snapshot

from .advancing import replace_catalogue
from .chain import MAX_RECENT_NOTES
from .effects import ReadPlatform, SpreadEffect, record_event
from .messages import SnapshotPart, SnapshotRequest
from .state import SnapshotFetch, SpreadState

__all__ = [
    "SNAPSHOT_HEAD",
    "cancel_fetch",
    "handle_part",
    "serve_snapshot",
    "start_fetch",
]

SNAPSHOT_HEAD = "snapshot/head"
PART_TIMEOUT_S = 10.0
SERVED_SNAPSHOT_TTL_S = 60.0
HEAD_PART = -1
MAX_SERVED_SNAPSHOT_LAG = MAX_RECENT_NOTES // 2


def start_fetch(
    state: SpreadState, source: str, now_s: float
) -> tuple[SpreadEffect, ...]:
    """Start a snapshot transfer by requesting its head.

    Parameters
    ----------
    state : SpreadState
        State of the instance; changed in place.
    source : str
        Name of the peer that sends it; empty for the platform.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of SpreadEffect
        The request; empty while another transfer is in progress.
    """
    if state._fetch is not None:
        return ()
    state._fetch = SnapshotFetch(source, 0, b"", (), now_s + PART_TIMEOUT_S)
    return (_part_request(source, 0, HEAD_PART),)


def cancel_fetch(state: SpreadState) -> tuple[SpreadEffect, ...]:
    """Cancel the transfer in progress.

    Parameters
    ----------
    state : SpreadState
        State of the instance; changed in place.

    Returns
    -------
    tuple of SpreadEffect
        The event to record.
    """
    source = state._fetch.source if state._fetch else ""
    state._fetch = None
    return (record_event("snapshot-given-up", source or "platform"),)


def _part_request(source: str, revision: int, part: int) -> SpreadEffect:
    if source:
        return Send(source, SnapshotRequest(revision, part))
    if part == HEAD_PART:
        return ReadPlatform(SNAPSHOT_HEAD, 0.0)
    return ReadPlatform(f"snapshot/{revision}/{part}", 0.0)


def handle_part(
    state: SpreadState, part: int, data: bytes, now_s: float
) -> tuple[SpreadEffect, ...]:
    """Handle the head or the next part of the snapshot being fetched.

    Parameters
    ----------
    state : SpreadState
        State of the instance; changed in place.
    part : int
        Number of the part from 0; -1 for the head. Any part but the next one is
        ignored.
    data : bytes
        The encoded part.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of SpreadEffect
        The next request; after the last part, `ApplyCatalogue`; if the snapshot
        is unusable, an event to record.
    """
    fetch = state._fetch
    awaited = len(fetch.parts) if fetch.head else HEAD_PART
    if part != awaited:
        return ()
    if part == HEAD_PART:
        fetch = fetch._replace(head=data)
    else:
        fetch = fetch._replace(parts=(*fetch.parts, data))
    head = read_snapshot_head(fetch.head)
    if head.is_err() or not _is_snapshot_useful(state, head.ok_value.revision):
        return cancel_fetch(state)
    revision = head.ok_value.revision
    count = len(fetch.parts)
    if count < len(head.ok_value.parts):
        state._fetch = fetch._replace(revision=revision, until_s=now_s + PART_TIMEOUT_S)
        return (_part_request(fetch.source, revision, count),)
    return _finish_fetch(state, fetch)


def _is_snapshot_useful(state: SpreadState, revision: int) -> bool:
    """Whether a snapshot is newer than the catalogue and resolves its conflict."""
    return revision > state.chain.catalogue.revision and (
        revision >= state.chain.resolving_revision
    )


def _finish_fetch(state: SpreadState, fetch: SnapshotFetch) -> tuple[SpreadEffect, ...]:
    """Apply the complete snapshot, or record why it cannot be decoded."""
    outcome = read_snapshot(fetch.head, fetch.parts)
    state._fetch = None
    if outcome.is_err():
        problem = outcome.err_value
        detail = f"problem={problem.kind} part={problem.part}"
        return (record_event("snapshot-refused", fetch.source or "platform", detail),)
    return replace_catalogue(state.chain, outcome.ok_value)


def serve_snapshot(
    state: SpreadState, message: SnapshotRequest, peer: str, now_s: float
) -> tuple[SpreadEffect, ...]:
    """Send a part of a snapshot to a peer.

    Parameters
    ----------
    state : SpreadState
        State of the instance; changed in place.
    message : SnapshotRequest
        Request of the peer.
    peer : str
        Name of the peer.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of SpreadEffect
        The part; empty if the snapshot is no longer held or has no such part.

    Notes
    -----
    A request for the head encodes the catalogue in force, unless the held
    snapshot is recent enough. A held snapshot is discarded
    `SERVED_SNAPSHOT_TTL_S` after the last request.
    """
    current = state.chain.catalogue
    if message.part == HEAD_PART and not _is_served_snapshot_recent(state):
        state._served_snapshot = take_snapshot(current)
        state._served_revision = current.revision
    state._served_until_s = now_s + SERVED_SNAPSHOT_TTL_S
    served = state._served_snapshot
    if served is None or message.revision not in (0, state._served_revision):
        return ()
    if not HEAD_PART <= message.part < len(served.parts):
        return ()
    data = served.head if message.part == HEAD_PART else served.parts[message.part]
    return (Send(peer, SnapshotPart(state._served_revision, message.part, data)),)


def _is_served_snapshot_recent(state: SpreadState) -> bool:
    """Whether the held snapshot is recent enough to continue from it by notes."""
    behind = state.chain.catalogue.revision - state._served_revision
    if state._served_snapshot is None or behind > MAX_SERVED_SNAPSHOT_LAG:
        return False
    return not state.chain.is_pruned_after(state._served_revision)
