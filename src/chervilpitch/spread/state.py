"""State of the distribution of release notes at one instance."""

from collections.abc import Mapping
from typing import NamedTuple

from chervilpitch.model import Catalogue, Instance
from chervilpitch.notes import Snapshot

from .chain import Chain
from .messages import RevisionAdvert
from .neighbours import Neighbours, find_neighbours

__all__ = [
    "SnapshotFetch",
    "SpreadState",
    "SpreadStatus",
    "catalogue",
    "ready",
    "status",
]

START_PEERS_TIMEOUT_S = 3.0
START_PLATFORM_TIMEOUT_S = 5.0
PLATFORM_SILENCE_TIMEOUT_S = 30.0
MAX_ADVERTISED_AGE_S = 1e9
MAX_REMEMBERED_REPORTS = 256
NEVER_S = float("-inf")


class SnapshotFetch(NamedTuple):
    """A snapshot transfer in progress.

    Parameters
    ----------
    source : str
        Name of the instance that sends it; empty for the platform.
    revision : int
        Revision of the snapshot; 0 until its head has arrived.
    head : bytes
        Encoded head; empty until it has arrived.
    parts : tuple of bytes
        Parts received so far.
    until_s : float
        Deadline of the next part, monotonic time in seconds; after it the
        transfer is cancelled.
    """

    source: str
    revision: int
    head: bytes
    parts: tuple[bytes, ...]
    until_s: float


class SpreadState:
    """Revisions, peers and platform as known to one instance.

    Parameters
    ----------
    own : Instance
        The instance itself.
    started_at_s : float
        Monotonic time in seconds at which the process started.
    """

    def __init__(self, own: Instance, started_at_s: float) -> None:
        self._own = own
        self._started_at_s = started_at_s
        self._chain = Chain()
        self._neighbours: Neighbours = find_neighbours(own, {})
        self._instances: Mapping[str, Instance] = {}
        self._round = 0
        self._next_round_at_s = started_at_s
        self._is_ready = False
        self._ready_peers: set[str] = set()
        self._max_peer_revision = 0
        self._peer_heard_at_s = NEVER_S
        self._platform_head: tuple[int, str] | None = None
        self._platform_failed = False
        self._platform_confirmed_at_s = NEVER_S
        self._head_read_at_s = NEVER_S
        self._head_due_at_s = started_at_s
        self._value_due_at_s: dict[str, float] = {}
        self._next_note_request_at_s = NEVER_S
        self._fetch: SnapshotFetch | None = None
        self._served_snapshot: Snapshot | None = None
        self._served_revision = 0
        self._served_until_s = NEVER_S
        self._position = 0
        self._advertised_newest: tuple[int, str] = (0, "")
        self._applied_at_s = NEVER_S
        self._queued_peer = ""
        self._unreadable_head: tuple[int, str] | None = None
        self._reports: dict[tuple[str, int], None] = {}

    @property
    def chain(self) -> Chain:
        """Catalogue in force, recent notes and candidates."""
        return self._chain

    @property
    def neighbours(self) -> Neighbours:
        """Neighbours among the other instances."""
        return self._neighbours

    def is_first_report(self, origin: str, revision: int) -> bool:
        """Whether an origin and a revision are new; record them if they are.

        The origin is the name of a peer, empty for the platform, or a digest. The
        oldest pairs beyond `MAX_REMEMBERED_REPORTS` are evicted.
        """
        if (origin, revision) in self._reports:
            return False
        self._reports[origin, revision] = None
        if len(self._reports) > MAX_REMEMBERED_REPORTS:
            del self._reports[next(iter(self._reports))]
        return True


class SpreadStatus(NamedTuple):
    """Revisions and readiness of an instance, as shown by `status`.

    Parameters
    ----------
    revision : int
        Revision in force.
    digest : str
        Digest of the note in force.
    newest_revision : int
        Highest revision that is in force or confirmed.
    platform_at_s : float
        Monotonic time in seconds at which the platform last confirmed, directly
        or through peers, that nothing newer was published; negative infinity
        before the first confirmation.
    peer_heard_at_s : float
        Monotonic time in seconds of the last message from a peer; negative
        infinity before the first one.
    is_reader : bool
        Whether the instance is one of those that always watch the platform.
    is_ready : bool
        Whether the instance has completed its start.
    conflicts : tuple of tuple of int and str
        Revisions and digests of the most recent conflicting notes.
    """

    revision: int
    digest: str
    newest_revision: int
    platform_at_s: float
    peer_heard_at_s: float
    is_reader: bool
    is_ready: bool
    conflicts: tuple[tuple[int, str], ...]


def catalogue(state: SpreadState) -> Catalogue:
    """Return the catalogue in force.

    Parameters
    ----------
    state : SpreadState
        State of the instance.

    Returns
    -------
    Catalogue
        The catalogue; empty before the first note.
    """
    return state.chain.catalogue


def status(state: SpreadState) -> SpreadStatus:
    """Return the revisions, readiness and conflicts for operators.

    Parameters
    ----------
    state : SpreadState
        State of the instance.

    Returns
    -------
    SpreadStatus
        Status at the time of the call.
    """
    return SpreadStatus(
        state.chain.catalogue.revision,
        state.chain.catalogue.digest,
        state.chain.newest[0],
        state._platform_confirmed_at_s,
        state._peer_heard_at_s,
        state.neighbours.is_reader,
        state._is_ready,
        tuple(state.chain.conflicts),
    )


def ready(state: SpreadState, now_s: float) -> bool:
    """Whether the instance may serve callers with its catalogue in force.

    Parameters
    ----------
    state : SpreadState
        State of the instance.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        True once all of these hold: every start peer has advertised that it is
        ready, or `START_PEERS_TIMEOUT_S` has passed; the platform has answered,
        failed or timed out; the platform or at least one ready peer has answered;
        and the catalogue in force is as new as that of any peer, ready or not, and
        as the usable note published. Once `tick` has found it true, it stays true.
    """
    if state._is_ready:
        return True
    start = set(state.neighbours.start)
    waited_s = now_s - state._started_at_s
    has_peers = bool(start) and start <= state._ready_peers
    is_platform_known = state._platform_head is not None
    if not has_peers and waited_s < START_PEERS_TIMEOUT_S:
        return False
    if not is_platform_known and not state._platform_failed:
        if waited_s < START_PLATFORM_TIMEOUT_S:
            return False
    if not state._ready_peers and not is_platform_known:
        return False
    return state.chain.catalogue.revision >= _required_revision(state)


def _required_revision(state: SpreadState) -> int:
    """Return the highest revision in force at a peer or published.

    A published note that is unusable does not count.
    """
    needed = state._max_peer_revision
    if state._platform_head is None:
        return needed
    revision, digest = state._platform_head
    if state.chain.is_rejected(digest) or state._unreadable_head == (revision, digest):
        return needed
    return max(needed, revision)


def is_watching_platform(state: SpreadState, now_s: float) -> bool:
    """Whether the instance watches the platform now.

    Parameters
    ----------
    state : SpreadState
        State of the instance.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        True for readers, during the start, and if neither a read nor a peer has
        confirmed the newest revision for more than `PLATFORM_SILENCE_TIMEOUT_S`.
    """
    if state.neighbours.is_reader or not state._is_ready:
        return True
    return now_s - state._platform_confirmed_at_s > PLATFORM_SILENCE_TIMEOUT_S


def advert(state: SpreadState, now_s: float, is_query: bool = False) -> RevisionAdvert:
    """Return an advert of the revisions known.

    Parameters
    ----------
    state : SpreadState
        State of the instance.
    now_s : float
        Monotonic time in seconds.
    is_query : bool
        Whether the receiver must reply with its own advert.

    Returns
    -------
    RevisionAdvert
        The advert to send.
    """
    in_force = state.chain.catalogue
    newest_revision, newest_digest = state.chain.newest
    return RevisionAdvert(
        in_force.revision,
        in_force.digest,
        newest_revision,
        newest_digest,
        min(now_s - state._platform_confirmed_at_s, MAX_ADVERTISED_AGE_S),
        state._is_ready,
        is_query,
    )
