"""Evidence that the catalogue in force is the newest one."""

from collections.abc import Mapping
from typing import NamedTuple

from chervilpitch.membership.placement import rank
from chervilpitch.model import Catalogue, Effect, Instance, Sender, region_of

__all__ = [
    "Freshness",
    "update_instances",
    "record_peer_answer",
    "record_platform_answer",
    "apply_catalogue",
]

EVIDENCE_S = 5.0
BEHIND_S = 3.0
MAX_REGION_PEERS = 15
MAX_REMOTE_PEERS = 9
ENOUGH_DIVISOR = 3


class _Heard(NamedTuple):
    asked_at_s: float
    expires_at_s: float


class Freshness:
    """Evidence that the catalogue in force is the newest one.

    Parameters
    ----------
    instance : Instance
        This instance.
    """

    def __init__(self, instance: Instance):
        self._instance = instance
        self._others: tuple[Instance, ...] = ()
        self._platform = _Heard(float("-inf"), float("-inf"))
        self._has_list = False
        self._peers: dict[str, _Heard] = {}
        self._region_peers: tuple[str, ...] = ()
        self._remote_peers: tuple[str, ...] = ()
        self._region_until_s = float("-inf")
        self._remote_until_s = float("-inf")
        self._revision = 0
        self._newest = 0
        self._behind_at_s = float("inf")
        self._reported = ""

    @property
    def reported(self) -> str:
        """Evidence last put on the time line."""
        return self._reported

    def report(self, evidence: str) -> None:
        """Note the evidence put on the time line."""
        self._reported = evidence

    @property
    def revision(self) -> int:
        """Revision in force."""
        return self._revision

    @property
    def newest(self) -> int:
        """Highest revision heard of."""
        return self._newest

    @property
    def instance(self) -> Instance:
        """This instance."""
        return self._instance

    @property
    def has_list(self) -> bool:
        """Whether a list of instances has been taken."""
        return self._has_list

    @property
    def others(self) -> tuple[Instance, ...]:
        """All other instances known."""
        return self._others

    @property
    def region_peers(self) -> tuple[str, ...]:
        """Names of the instances of the own region to be asked."""
        return self._region_peers

    @property
    def remote_peers(self) -> tuple[str, ...]:
        """Names of the instances of other regions to be asked."""
        return self._remote_peers

    def is_platform_heard(self, now_s: float) -> bool:
        """Return whether the platform was read within the evidence time."""
        return now_s < self._platform.expires_at_s

    def is_region_heard(self, now_s: float) -> bool:
        """Return whether enough peers of the own region answered of late."""
        return now_s < self._region_until_s

    def are_remote_heard(self, now_s: float) -> bool:
        """Return whether enough peers of other regions answered of late."""
        return now_s < self._remote_until_s

    def is_behind(self, now_s: float) -> bool:
        """Return whether a newer revision has been missing for too long."""
        return now_s >= self._behind_at_s

    def note_platform(self, asked_at_s: float) -> None:
        """Keep the latest reading of the platform."""
        self._platform = max(self._platform, _heard(asked_at_s))

    def note_peer(self, name: str, asked_at_s: float) -> None:
        """Keep the latest answer of a peer."""
        heard = _heard(asked_at_s)
        self._peers[name] = max(heard, self._peers.get(name, heard))
        self._count_peers()

    def note_revision(self, revision: int, now_s: float) -> None:
        """Note a revision that exists; start the time allowed to reach it."""
        if revision <= self._newest:
            return
        self._newest = revision
        if revision > self._revision:
            self._behind_at_s = min(self._behind_at_s, now_s + BEHIND_S)

    def set_revision(self, revision: int) -> None:
        """Note the revision in force."""
        self._revision = revision
        self._newest = max(self._newest, revision)
        if self._revision >= self._newest:
            self._behind_at_s = float("inf")

    def follow(self, instances: Mapping[str, Instance]) -> None:
        """Take the instances known; drop what was heard of others."""
        self._has_list = True
        own = self._instance.name
        self._others = tuple(item for item in instances.values() if item.name != own)
        self._peers = {
            name: heard for name, heard in self._peers.items() if name in instances
        }
        self._choose_peers()
        self._count_peers()

    def _choose_peers(self) -> None:
        region = region_of(self._instance.failure_domain)
        near, far = [], []
        for item in self.others:
            is_near = region_of(item.failure_domain) == region
            (near if is_near else far).append(item.name)
        name = self._instance.name
        self._region_peers = rank(name, near)[:MAX_REGION_PEERS]
        self._remote_peers = rank(name, far)[:MAX_REMOTE_PEERS]

    def _count_peers(self) -> None:
        self._region_until_s = self._enough_until(self._region_peers)
        self._remote_until_s = self._enough_until(self._remote_peers)

    def _enough_until(self, peers: tuple[str, ...]) -> float:
        heard = (self._peers[name] for name in peers if name in self._peers)
        expiries = sorted((item.expires_at_s for item in heard), reverse=True)
        needed = _peers_needed(len(peers))
        return expiries[needed - 1] if len(expiries) >= needed else float("-inf")


def record_platform_answer(
    state: Freshness, revision: int, asked_at_s: float, now_s: float
) -> tuple[Effect, ...]:
    """Take the answer of the platform to a reading of its newest revision.

    Parameters
    ----------
    state : Freshness
        The evidence; changed.
    revision : int
        Newest revision that the platform showed.
    asked_at_s : float
        Monotonic time in seconds at which the question was sent.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Always empty.

    Notes
    -----
    Evidence dates from the question, never from the arrival of the answer: an
    answer that waited in a buffer while the process was suspended is as old as
    its question. A platform that shows less than the fleet has seen is stale
    and no evidence.
    """
    if revision < state.newest:
        return ()
    state.note_revision(revision, now_s)
    state.note_platform(asked_at_s)
    return ()


def record_peer_answer(
    state: Freshness, sender: Sender, revision: int, asked_at_s: float, now_s: float
) -> tuple[Effect, ...]:
    """Take the answer of a peer to the question for its revision in force.

    Parameters
    ----------
    state : Freshness
        The evidence; changed.
    sender : Sender
        The authenticated peer.
    revision : int
        Revision in force there.
    asked_at_s : float
        Monotonic time in seconds at which the question was sent.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Always empty.
    """
    state.note_revision(revision, now_s)
    state.note_peer(sender.name, asked_at_s)
    return ()


def update_instances(
    state: Freshness, instances: Mapping[str, Instance], now_s: float
) -> tuple[Effect, ...]:
    """Take the instances known, by name.

    Parameters
    ----------
    state : Freshness
        The evidence; changed.
    instances : mapping of str to Instance
        The instances.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Always empty.
    """
    state.follow(instances)
    return ()


def apply_catalogue(
    state: Freshness, catalogue: Catalogue, now_s: float
) -> tuple[Effect, ...]:
    """Follow the catalogue in force.

    Parameters
    ----------
    state : Freshness
        The evidence; changed.
    catalogue : Catalogue
        The catalogue.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Always empty.
    """
    state.set_revision(catalogue.revision)
    return ()


def _heard(asked_at_s: float) -> _Heard:
    return _Heard(asked_at_s, asked_at_s + EVIDENCE_S)


def _peers_needed(asked: int) -> int:
    with_self = -(-(asked + 1) // ENOUGH_DIVISOR)
    return max(1, with_self - 1)
