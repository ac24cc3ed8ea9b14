"""State of the spreading of release notes at one instance."""

from collections.abc import Mapping
from typing import NamedTuple

from chervilpitch.model import Catalogue, Instance
from chervilpitch.notes import Snapshot

from .chain import Chain
from .messages import RevisionAdvert
from .neighbours import Neighbours, find_neighbours

__all__ = ["Fetch", "SpreadState", "SpreadStatus", "catalogue", "ready", "status"]

PEERS_WAIT_S = 3.0
PLATFORM_WAIT_S = 5.0
READER_SILENCE_S = 30.0
MAX_AGE_S = 1e9
MAX_REPORTED = 256
NEVER_S = float("-inf")


class Fetch(NamedTuple):
    """A snapshot on its way.

    Parameters
    ----------
    source : str
        Name of the instance that sends it; empty for the platform.
    revision : int
        Revision of the snapshot; 0 while its head is awaited.
    head : bytes
        Its head; empty while it is awaited.
    parts : tuple of bytes
        Parts received so far.
    until_s : float
        Monotonic time in seconds at which the transfer is given up.
    """

    source: str
    revision: int
    head: bytes
    parts: tuple[bytes, ...]
    until_s: float


class SpreadState:
    """What an instance knows of revisions, peers and the platform.

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
        self._answered: set[str] = set()
        self._peers_revision = 0
        self._peer_heard_at_s = NEVER_S
        self._platform_head: tuple[int, str] | None = None
        self._platform_failed = False
        self._platform_at_s = NEVER_S
        self._head_at_s = NEVER_S
        self._head_due_at_s = started_at_s
        self._value_due_at_s: dict[str, float] = {}
        self._asked_until_s = NEVER_S
        self._fetch: Fetch | None = None
        self._served: Snapshot | None = None
        self._served_revision = 0
        self._served_until_s = NEVER_S
        self._position = 0
        self._relayed: tuple[int, str] = (0, "")
        self._in_force_at_s = NEVER_S
        self._ask_next = ""
        self._unreadable_head: tuple[int, str] | None = None
        self._reported: dict[tuple[str, int], None] = {}

    @property
    def chain(self) -> Chain:
        """Catalogue in force and the notes around it."""
        return self._chain

    @property
    def neighbours(self) -> Neighbours:
        """Place among the other instances."""
        return self._neighbours

    def is_first_report(self, origin: str, revision: int) -> bool:
        """Whether something about an origin and a revision is reported first."""
        if (origin, revision) in self._reported:
            return False
        self._reported[origin, revision] = None
        if len(self._reported) > MAX_REPORTED:
            del self._reported[next(iter(self._reported))]
        return True


class SpreadStatus(NamedTuple):
    """What `status` shows of the revisions at an instance.

    Parameters
    ----------
    revision : int
        Revision in force.
    digest : str
        Digest of the note in force.
    newest_revision : int
        Highest revision known.
    platform_at_s : float
        Monotonic time in seconds at which the platform last confirmed, directly
        or through peers, that nothing newer was published.
    peer_heard_at_s : float
        Monotonic time in seconds of the last message of a peer.
    is_reader : bool
        Whether the instance is named to watch the platform.
    is_ready : bool
        Whether it finished its start.
    conflicts : tuple of tuple of int and str
        Revisions and digests of notes that have rivals.
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
        The catalogue; the empty one before the first note.
    """
    return state.chain.catalogue


def status(state: SpreadState) -> SpreadStatus:
    """Return what operators see.

    Parameters
    ----------
    state : SpreadState
        State of the instance.

    Returns
    -------
    SpreadStatus
        A copy of the main fields.
    """
    return SpreadStatus(
        state.chain.catalogue.revision,
        state.chain.catalogue.digest,
        state.chain.newest[0],
        state._platform_at_s,
        state._peer_heard_at_s,
        state.neighbours.is_reader,
        state._is_ready,
        tuple(state.chain.conflicts),
    )


def ready(state: SpreadState, now_s: float) -> bool:
    """Whether the instance may serve callers with what it has in force.

    Parameters
    ----------
    state : SpreadState
        State of the instance.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        True from the moment at which the peers asked have answered or a bounded
        time has passed, the platform has answered or failed, one of them has
        answered, and all that they have in force is in force here.
    """
    if state._is_ready:
        return True
    start = set(state.neighbours.start)
    waited_s = now_s - state._started_at_s
    has_peers = bool(start) and start <= state._answered
    is_platform_known = state._platform_head is not None
    if not has_peers and waited_s < PEERS_WAIT_S:
        return False
    if not is_platform_known and not state._platform_failed:
        if waited_s < PLATFORM_WAIT_S:
            return False
    if not state._answered and not is_platform_known:
        return False
    return state.chain.catalogue.revision >= _revision_needed(state)


def _revision_needed(state: SpreadState) -> int:
    """Return the revision that others have in force or published."""
    needed = state._peers_revision
    if state._platform_head is None:
        return needed
    revision, digest = state._platform_head
    if state.chain.is_refused(digest) or state._unreadable_head == (revision, digest):
        return needed
    return max(needed, revision)


def is_reading(state: SpreadState, now_s: float) -> bool:
    """Whether the instance watches the platform at present.

    Parameters
    ----------
    state : SpreadState
        State of the instance.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        True for the named readers, at the start, and when nobody has passed on
        a sign of the platform for some time.
    """
    if state.neighbours.is_reader or not state._is_ready:
        return True
    return now_s - state._platform_at_s > READER_SILENCE_S


def advert(state: SpreadState, now_s: float, is_query: bool = False) -> RevisionAdvert:
    """Return what the instance tells its peers.

    Parameters
    ----------
    state : SpreadState
        State of the instance.
    now_s : float
        Monotonic time in seconds.
    is_query : bool
        Whether an advert is wanted in return.

    Returns
    -------
    RevisionAdvert
        The message.
    """
    in_force = state.chain.catalogue
    newest_revision, newest_digest = state.chain.newest
    return RevisionAdvert(
        in_force.revision,
        in_force.digest,
        newest_revision,
        newest_digest,
        min(now_s - state._platform_at_s, MAX_AGE_S),
        state._is_ready,
        is_query,
    )
