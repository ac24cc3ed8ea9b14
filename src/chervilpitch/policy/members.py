"""Gossip membership of the instances."""

import functools
import hashlib
import zlib
from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

from .isolation import share_heard

__all__ = [
    "OTHER_REGION_ALIVE_S",
    "Member",
    "MemberState",
    "MemberTable",
    "members_digest",
    "rank",
]

ALIVE_S = 3.0
OTHER_REGION_ALIVE_S = 12.0
RELAYED_WITHIN_S = 1.0
TAKEOVER_S = 1.5
EXPIRY_S = 15.0
MAX_CACHED_RANKS = 8_192


class MemberState(IntEnum):
    """State that an instance reports about itself.

    A stale instance has a configuration but no recent proof that it is the newest
    one; it refuses requests that need a key.
    """

    STARTING = 0
    SERVING = 1
    LEAVING = 2
    STALE = 3


class Member(NamedTuple):
    """Membership record of one instance.

    Parameters
    ----------
    name : str
        Unique name of the instance.
    incarnation : int
        Start time of its process in Unix milliseconds.
    heartbeat_count : int
        Heartbeat counter within the incarnation.
    region, failure_domain : str
        Location of the instance.
    callers_address, peers_address : str
        Host and port for callers, and for other instances.
    state : int
        A :class:`MemberState`.
    cpu_millicores : int
        Processor time that the instance may use, in thousandths of a core; 0 if it
        is not stated, as in records of older builds.
    link_kbps : int
        Bandwidth of its link in kbit/s; 0 if it is not stated.
    """

    name: str
    incarnation: int
    heartbeat_count: int
    region: str
    failure_domain: str
    callers_address: str
    peers_address: str
    state: int
    cpu_millicores: int = 0
    link_kbps: int = 0

    @property
    def version(self) -> tuple[int, int]:
        """Incarnation and heartbeat, by which records of an instance are ordered."""
        return self.incarnation, self.heartbeat_count


class MemberTable:
    """The newest record of each instance and when it was received.

    Parameters
    ----------
    own : Member
        This instance.
    """

    def __init__(self, own: Member):
        self._own = own
        self._members: dict[str, Member] = {}
        self._heard_at_s: dict[str, float] = {}
        self._relayed: frozenset[str] = frozenset()
        self._relayed_at_s = float("-inf")
        self._change_count = 0

    @property
    def change_count(self) -> int:
        """Number of changes so far other than heartbeats and expiries."""
        return self._change_count

    @property
    def own(self) -> Member:
        """This instance."""
        return self._own

    def heartbeat(self, state: MemberState) -> Member:
        """Increment the heartbeat of this instance and return its new record."""
        own = self._own
        self._change_count += own.state != state
        self._own = own._replace(
            heartbeat_count=own.heartbeat_count + 1, state=int(state)
        )
        return self._own

    def merge(self, members: Iterable[Member], now_s: float) -> tuple[Member, ...]:
        """Merge records received from an instance, its own or relayed ones.

        Parameters
        ----------
        members : iterable of Member
            Records received.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        tuple of Member
            Instances that were unknown or have restarted.
        """
        return self._merge(members, now_s)

    def apply_relayed(
        self, members: Iterable[Member], now_s: float
    ) -> tuple[Member, ...]:
        """Replace the list of live instances that an aggregator has sent.

        They count as alive while the aggregator confirms the list, also if their own
        heartbeats do not arrive here. Heartbeats in the list are not new ones: those
        that the list omits later are not alive any more.

        Parameters
        ----------
        members : iterable of Member
            All instances that the aggregator holds alive.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        tuple of Member
            Instances that were unknown or have restarted.
        """
        listed = tuple(members)
        self._relayed = frozenset(member.name for member in listed)
        self._relayed_at_s = now_s
        return self._merge(listed, float("-inf"))

    @property
    def has_relayed(self) -> bool:
        """Whether the list of an aggregator is in use."""
        return bool(self._relayed)

    def confirm_relayed(self, now_s: float) -> None:
        """Record that the list of an aggregator has not changed."""
        self._relayed_at_s = now_s

    def end_relaying(self, now_s: float) -> None:
        """Stop using the list of an aggregator; heartbeats arrive here from now on.

        The instances of the list count as alive for ``TAKEOVER_S``, in which their
        first heartbeats are due.
        """
        heard_at_s = min(self._relayed_at_s, now_s - ALIVE_S + TAKEOVER_S)
        for name in self._relayed & self._members.keys():
            self._heard_at_s[name] = max(self._heard_at_s[name], heard_at_s)
        self._relayed = frozenset()

    def get(self, name: str) -> Member | None:
        """Return the newest record of another instance, or None if it is unknown."""
        return self._members.get(name)

    def remove_expired(self, now_s: float) -> tuple[Member, ...]:
        """Remove instances whose latest record has expired, and return them."""
        expired = [
            self._members.pop(name)
            for name in list(self._members)
            if now_s - self._last_heard_at_s(name) > EXPIRY_S
        ]
        for member in expired:
            del self._heard_at_s[member.name]
        return tuple(expired)

    def not_leaving(self) -> list[Member]:
        """Return the other instances that have not expired and are not leaving."""
        members = self._members.values()
        return [member for member in members if member.state != MemberState.LEAVING]

    def alive(self, now_s: float, within_s: float = ALIVE_S) -> list[Member]:
        """Return the other instances with a recent heartbeat.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        within_s : float
            Maximum age of the latest heartbeat in seconds.
        """
        return [
            member
            for name, member in self._members.items()
            if now_s - self._last_heard_at_s(name) <= within_s
        ]

    def live(self, now_s: float) -> list[Member]:
        """Return the other live instances; those of other regions live longer.

        Records of other regions arrive less often.
        """
        region = self._own.region
        return [
            member
            for name, member in self._members.items()
            if now_s - self._last_heard_at_s(name)
            <= (ALIVE_S if member.region == region else OTHER_REGION_ALIVE_S)
        ]

    def heard_share(self, now_s: float) -> float:
        """Return the share of the region's other instances that were heard recently.

        Those that have left or expired do not count.
        """
        region = self._own.region
        heard_at_s = [
            self._heard_at_s[member.name]
            for member in self.not_leaving()
            if member.region == region
        ]
        return share_heard(heard_at_s, now_s)

    def to_relay(self, now_s: float) -> list[Member]:
        """Return the live instances to name in a list for another aggregator.

        Those of this region were heard of so recently that the receiver, which counts
        them as heard of now, does not hold a dead one alive for much longer.
        """
        region = self._own.region
        return [
            member
            for member in self.live(now_s)
            if member.region != region
            or now_s - self._heard_at_s[member.name] <= RELAYED_WITHIN_S
        ]

    def in_other_regions(self, now_s: float) -> dict[str, list[Member]]:
        """Return the live instances of other regions by region, ordered by rank.

        Their records arrive less often, so they count as alive for longer.
        """
        regions: dict[str, list[Member]] = {}
        for member in self.alive(now_s, OTHER_REGION_ALIVE_S):
            if member.region != self._own.region:
                regions.setdefault(member.region, []).append(member)
        return {name: rank(members) for name, members in regions.items()}

    def ranked(self, now_s: float) -> list[Member]:
        """Return the instances of the region, including this one, ordered by rank."""
        region = self._own.region
        near = [member for member in self.alive(now_s) if member.region == region]
        return rank([*near, self._own])

    def _merge(self, members, heard_at_s) -> tuple[Member, ...]:
        new = []
        for member in members:
            if member.name == self._own.name:
                continue
            known = self._members.get(member.name)
            if known is not None and member.version <= known.version:
                continue
            if known is None or known.incarnation != member.incarnation:
                new.append(member)
            else:
                member = _with_known_capacity(member, known)
            if known is None or member != known._replace(
                heartbeat_count=member.heartbeat_count
            ):
                self._change_count += 1
            self._members[member.name] = member
            before_s = self._heard_at_s.get(member.name, heard_at_s)
            self._heard_at_s[member.name] = max(before_s, heard_at_s)
        return tuple(new)

    def _last_heard_at_s(self, name):
        heard_at_s = self._heard_at_s[name]
        if heard_at_s < self._relayed_at_s and name in self._relayed:
            return self._relayed_at_s
        return heard_at_s


def rank(members: Iterable[Member]) -> list[Member]:
    """Return instances ordered by rank, leaving ones last.

    Instances that know the same members compute the same order.
    """
    return sorted(members, key=_rank_key)


def members_digest(members: Iterable[Member]) -> int:
    """Return a checksum of instances, their states and capacities, never 0.

    Heartbeats don't change it.
    """
    versions = sorted(
        (
            item.name,
            item.incarnation,
            item.state,
            item.cpu_millicores,
            item.link_kbps,
        )
        for item in members
    )
    return zlib.crc32(repr(versions).encode()) or 1


def _with_known_capacity(member: Member, known: Member) -> Member:
    """Return a record with the capacity that an earlier one of its incarnation states.

    An instance of an older build that relays a record drops the capacity, which is
    constant within an incarnation.
    """
    stated = (member.cpu_millicores, member.link_kbps)
    if stated == (known.cpu_millicores, known.link_kbps):
        return member
    return member._replace(
        cpu_millicores=member.cpu_millicores or known.cpu_millicores,
        link_kbps=member.link_kbps or known.link_kbps,
    )


def _rank_key(member: Member) -> tuple[bool, bytes]:
    is_leaving = member.state == MemberState.LEAVING
    return is_leaving, _rank_digest(member.name, member.incarnation)


@functools.lru_cache(maxsize=MAX_CACHED_RANKS)
def _rank_digest(name: str, incarnation: int) -> bytes:
    identity = f"{name}:{incarnation}".encode()
    return hashlib.blake2b(identity, digest_size=8).digest()
