"""Snapshots for instances that are too far behind for notes."""

from chervilpitch.model import Send
from chervilpitch.notes import read_snapshot, read_snapshot_head, take_snapshot

from .advancing import replace_catalogue
from .chain import RECENT_NOTES
from .effects import ReadPlatform, SpreadEffect, record
from .messages import SnapshotPart, SnapshotRequest
from .state import Fetch, SpreadState

__all__ = ["SNAPSHOT_HEAD", "begin_fetch", "drop_fetch", "serve_snapshot", "take_part"]

SNAPSHOT_HEAD = "snapshot/head"
PART_WAIT_S = 10.0
SERVED_S = 60.0
HEAD_PART = -1
SERVED_NOTES = RECENT_NOTES // 2


def begin_fetch(
    state: SpreadState, source: str, now_s: float
) -> tuple[SpreadEffect, ...]:
    """Ask for the head of a snapshot.

    Parameters
    ----------
    state : SpreadState
        State of the instance; changed in place.
    source : str
        Name of the peer; empty for the platform.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of SpreadEffect
        The request; nothing while another transfer runs.
    """
    if state._fetch is not None:
        return ()
    state._fetch = Fetch(source, 0, b"", (), now_s + PART_WAIT_S)
    return (_request(source, 0, HEAD_PART),)


def drop_fetch(state: SpreadState) -> tuple[SpreadEffect, ...]:
    """Give up the transfer that runs.

    Parameters
    ----------
    state : SpreadState
        State of the instance; changed in place.

    Returns
    -------
    tuple of SpreadEffect
        The record.
    """
    source = state._fetch.source if state._fetch else ""
    state._fetch = None
    return (record("snapshot-given-up", source or "platform"),)


def _request(source: str, revision: int, part: int) -> SpreadEffect:
    if source:
        return Send(source, SnapshotRequest(revision, part))
    if part == HEAD_PART:
        return ReadPlatform(SNAPSHOT_HEAD, 0.0)
    return ReadPlatform(f"snapshot/{revision}/{part}", 0.0)


def take_part(
    state: SpreadState, part: int, data: bytes, now_s: float
) -> tuple[SpreadEffect, ...]:
    """Take the head or the next part of the snapshot.

    Parameters
    ----------
    state : SpreadState
        State of the instance; changed in place.
    part : int
        Number of the part; -1 for the head.
    data : bytes
        The part.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of SpreadEffect
        The next request, or `ApplyCatalogue` after the last part.
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
    if head.is_err() or not _is_useful(state, head.ok_value.revision):
        return drop_fetch(state)
    revision = head.ok_value.revision
    count = len(fetch.parts)
    if count < len(head.ok_value.parts):
        state._fetch = fetch._replace(revision=revision, until_s=now_s + PART_WAIT_S)
        return (_request(fetch.source, revision, count),)
    return _finish(state, fetch)


def _is_useful(state: SpreadState, revision: int) -> bool:
    """Whether a snapshot leads past what is in force and past a conflict."""
    return revision > state.chain.catalogue.revision and (
        revision >= state.chain.resolving
    )


def _finish(state: SpreadState, fetch: Fetch) -> tuple[SpreadEffect, ...]:
    """Put the snapshot in force when it can be read."""
    outcome = read_snapshot(fetch.head, fetch.parts)
    state._fetch = None
    if outcome.is_err():
        problem = outcome.err_value
        detail = f"problem={problem.kind} part={problem.part}"
        return (record("snapshot-refused", fetch.source or "platform", detail),)
    return replace_catalogue(state.chain, outcome.ok_value)


def serve_snapshot(
    state: SpreadState, message: SnapshotRequest, peer: str, now_s: float
) -> tuple[SpreadEffect, ...]:
    """Answer a peer that asks for a part.

    Parameters
    ----------
    state : SpreadState
        State of the instance; changed in place.
    message : SnapshotRequest
        The request.
    peer : str
        Name of the peer.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of SpreadEffect
        The part; nothing when it is no longer held.
    """
    current = state.chain.catalogue
    if message.part == HEAD_PART and not _is_served_recent(state):
        state._served = take_snapshot(current)
        state._served_revision = current.revision
    state._served_until_s = now_s + SERVED_S
    served = state._served
    if served is None or message.revision not in (0, state._served_revision):
        return ()
    if not HEAD_PART <= message.part < len(served.parts):
        return ()
    data = served.head if message.part == HEAD_PART else served.parts[message.part]
    return (Send(peer, SnapshotPart(state._served_revision, message.part, data)),)


def _is_served_recent(state: SpreadState) -> bool:
    """Whether notes lead from the snapshot held to the catalogue in force."""
    behind = state.chain.catalogue.revision - state._served_revision
    if state._served is None or behind > SERVED_NOTES:
        return False
    return not state.chain.is_pruned_after(state._served_revision)
