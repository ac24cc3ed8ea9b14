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

EVIDENCE_LIFETIME_S = 5.0
CATCH_UP_TIMEOUT_S = 3.0
MAX_REGION_PEERS = 15
MAX_REMOTE_PEERS = 9
PEER_QUORUM_DIVISOR = 3


class _Confirmation(NamedTuple):
    asked_at_s: float
    expires_at_s: float


class Freshness:
    """Evidence that the catalogue in force is the newest one.

    Evidence comes from reads of the platform and from answers of peers; it
    expires `EVIDENCE_LIFETIME_S` after the question was sent.

    Parameters
    ----------
    instance : Instance
        This instance.
    """

    def __init__(self, instance: Instance):
        self._instance = instance
        self._others: tuple[Instance, ...] = ()
        self._platform_confirmation = _Confirmation(float("-inf"), float("-inf"))
        self._has_instance_list = False
        self._peer_confirmations: dict[str, _Confirmation] = {}
        self._region_peers: tuple[str, ...] = ()
        self._remote_peers: tuple[str, ...] = ()
        self._region_until_s = float("-inf")
        self._remote_until_s = float("-inf")
        self._revision = 0
        self._newest_revision = 0
        self._behind_at_s = float("inf")
        self._reported = ""

    @property
    def reported(self) -> str:
        """Evidence last recorded on the time line."""
        return self._reported

    def set_reported(self, evidence: str) -> None:
        """Set the evidence last recorded on the time line."""
        self._reported = evidence

    @property
    def revision(self) -> int:
        """Revision in force."""
        return self._revision

    @property
    def newest_revision(self) -> int:
        """Highest known revision."""
        return self._newest_revision

    @property
    def instance(self) -> Instance:
        """This instance."""
        return self._instance

    @property
    def has_instance_list(self) -> bool:
        """Whether a list of instances has been applied."""
        return self._has_instance_list

    @property
    def others(self) -> tuple[Instance, ...]:
        """All other known instances."""
        return self._others

    @property
    def region_peers(self) -> tuple[str, ...]:
        """Names of the instances of the same region to be asked."""
        return self._region_peers

    @property
    def remote_peers(self) -> tuple[str, ...]:
        """Names of the instances of other regions to be asked."""
        return self._remote_peers

    def is_platform_fresh(self, now_s: float) -> bool:
        """Return whether the platform was read within `EVIDENCE_LIFETIME_S`."""
        return now_s < self._platform_confirmation.expires_at_s

    def has_region_quorum(self, now_s: float) -> bool:
        """Return whether enough peers of the same region answered recently."""
        return now_s < self._region_until_s

    def has_remote_quorum(self, now_s: float) -> bool:
        """Return whether enough peers of other regions answered recently."""
        return now_s < self._remote_until_s

    def is_behind(self, now_s: float) -> bool:
        """Return whether a newer revision is missing after the catch-up timeout."""
        return now_s >= self._behind_at_s

    def record_platform(self, asked_at_s: float) -> None:
        """Record a read of the platform unless a later one is known."""
        self._platform_confirmation = max(
            self._platform_confirmation, _confirmation(asked_at_s)
        )

    def record_peer(self, name: str, asked_at_s: float) -> None:
        """Record an answer of a peer unless a later one is known."""
        latest = _confirmation(asked_at_s)
        self._peer_confirmations[name] = max(
            latest, self._peer_confirmations.get(name, latest)
        )
        self._update_quorums()

    def record_revision(self, revision: int, now_s: float) -> None:
        """Record an existing revision; if it is newer, start the catch-up timeout."""
        if revision <= self._newest_revision:
            return
        self._newest_revision = revision
        if revision > self._revision:
            self._behind_at_s = min(self._behind_at_s, now_s + CATCH_UP_TIMEOUT_S)

    def set_revision(self, revision: int) -> None:
        """Set the revision in force; clear the timeout if it is the newest one."""
        self._revision = revision
        self._newest_revision = max(self._newest_revision, revision)
        if self._revision >= self._newest_revision:
            self._behind_at_s = float("inf")

    def update_instances(self, instances: Mapping[str, Instance]) -> None:
        """Set the known instances; remove the answers of all others."""
        self._has_instance_list = True
        own = self._instance.name
        self._others = tuple(item for item in instances.values() if item.name != own)
        self._peer_confirmations = {
            name: latest
            for name, latest in self._peer_confirmations.items()
            if name in instances
        }
        self._choose_peers()
        self._update_quorums()

    def _choose_peers(self) -> None:
        region = region_of(self._instance.failure_domain)
        same_region, other_regions = [], []
        for item in self.others:
            is_same_region = region_of(item.failure_domain) == region
            (same_region if is_same_region else other_regions).append(item.name)
        name = self._instance.name
        self._region_peers = rank(name, same_region)[:MAX_REGION_PEERS]
        self._remote_peers = rank(name, other_regions)[:MAX_REMOTE_PEERS]

    def _update_quorums(self) -> None:
        self._region_until_s = self._quorum_until_s(self._region_peers)
        self._remote_until_s = self._quorum_until_s(self._remote_peers)

    def _quorum_until_s(self, peers: tuple[str, ...]) -> float:
        confirmations = (
            self._peer_confirmations[name]
            for name in peers
            if name in self._peer_confirmations
        )
        expiries = sorted((item.expires_at_s for item in confirmations), reverse=True)
        needed = _peer_quorum(len(peers))
        return expiries[needed - 1] if len(expiries) >= needed else float("-inf")


def record_platform_answer(
    state: Freshness, revision: int, asked_at_s: float, now_s: float
) -> tuple[Effect, ...]:
    """Record the platform's answer to a read of its newest revision.

    Parameters
    ----------
    state : Freshness
        The evidence; modified in place.
    revision : int
        Newest revision that the platform returned.
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
    The age of evidence counts from sending the question, not from receiving the
    answer: an answer that waited in a buffer while the process was suspended is
    as old as its question. A platform that returns an older revision than the
    newest one known is stale, and its answer is not evidence.
    """
    if revision < state.newest_revision:
        return ()
    state.record_revision(revision, now_s)
    state.record_platform(asked_at_s)
    return ()


def record_peer_answer(
    state: Freshness, sender: Sender, revision: int, asked_at_s: float, now_s: float
) -> tuple[Effect, ...]:
    """Record a peer's answer to the question for its revision in force.

    Parameters
    ----------
    state : Freshness
        The evidence; modified in place.
    sender : Sender
        The authenticated peer.
    revision : int
        Revision in force at the peer.
    asked_at_s : float
        Monotonic time in seconds at which the question was sent.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Always empty.
    """
    state.record_revision(revision, now_s)
    state.record_peer(sender.name, asked_at_s)
    return ()


def update_instances(
    state: Freshness, instances: Mapping[str, Instance], now_s: float
) -> tuple[Effect, ...]:
    """Apply the list of known instances.

    Parameters
    ----------
    state : Freshness
        The evidence; modified in place.
    instances : mapping of str to Instance
        The known instances, by name.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Always empty.
    """
    state.update_instances(instances)
    return ()


def apply_catalogue(
    state: Freshness, catalogue: Catalogue, now_s: float
) -> tuple[Effect, ...]:
    """Record the revision of the catalogue in force.

    Parameters
    ----------
    state : Freshness
        The evidence; modified in place.
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


def _confirmation(asked_at_s: float) -> _Confirmation:
    return _Confirmation(asked_at_s, asked_at_s + EVIDENCE_LIFETIME_S)


def _peer_quorum(peer_count: int) -> int:
    """Return the number of peers that must answer, at least one.

    Together with this instance they are a third of the group, rounded up.
    """
    quorum_with_self = -(-(peer_count + 1) // PEER_QUORUM_DIVISOR)
    return max(1, quorum_with_self - 1)
