"""Gossip membership of the instances."""

import hashlib
from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

__all__ = ["OTHER_REGION_ALIVE_S", "Member", "MemberState", "MemberTable"]

ALIVE_S = 3.0
OTHER_REGION_ALIVE_S = 12.0
EXPIRY_S = 15.0


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
    beat : int
        Heartbeat counter within the incarnation.
    region, failure_domain : str
        Location of the instance.
    callers_address, peers_address : str
        Host and port for callers, and for other instances.
    state : int
        A :class:`MemberState`.
    """

    name: str
    incarnation: int
    beat: int
    region: str
    failure_domain: str
    callers_address: str
    peers_address: str
    state: int

    @property
    def version(self) -> tuple[int, int]:
        """Incarnation and heartbeat, by which records of an instance are ordered."""
        return self.incarnation, self.beat


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

    @property
    def own(self) -> Member:
        """This instance."""
        return self._own

    def heartbeat(self, state: MemberState) -> Member:
        """Increment the heartbeat of this instance and return its new record."""
        own = self._own
        self._own = own._replace(beat=own.beat + 1, state=int(state))
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
        new = []
        for member in members:
            if member.name == self._own.name:
                continue
            known = self._members.get(member.name)
            if known is not None and member.version <= known.version:
                continue
            if known is None or known.incarnation != member.incarnation:
                new.append(member)
            self._members[member.name] = member
            self._heard_at_s[member.name] = now_s
        return tuple(new)

    def remove_expired(self, now_s: float) -> tuple[Member, ...]:
        """Remove instances whose latest record has expired, and return them."""
        expired = [
            self._members.pop(name)
            for name, heard_at_s in list(self._heard_at_s.items())
            if now_s - heard_at_s > EXPIRY_S
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
            if now_s - self._heard_at_s[name] <= within_s
        ]

    def in_region(self, now_s: float) -> list[Member]:
        """Return the other live instances of this instance's region."""
        region = self._own.region
        return [member for member in self.alive(now_s) if member.region == region]

    def in_other_regions(self, now_s: float) -> dict[str, list[Member]]:
        """Return the live instances of other regions by region, ordered by rank.

        Their records arrive less often, so they count as alive for longer.
        """
        regions: dict[str, list[Member]] = {}
        for member in self.alive(now_s, OTHER_REGION_ALIVE_S):
            if member.region != self._own.region:
                regions.setdefault(member.region, []).append(member)
        return {
            name: sorted(members, key=_rank_key) for name, members in regions.items()
        }

    def ranked(self, now_s: float) -> list[Member]:
        """Return the instances of the region, including this one, ordered by rank.

        Instances that know the same members compute the same order. Leaving
        instances come last.
        """
        members = [*self.in_region(now_s), self._own]
        return sorted(members, key=_rank_key)


def _rank_key(member: Member) -> tuple[bool, bytes]:
    identity = f"{member.name}:{member.incarnation}".encode()
    digest = hashlib.blake2b(identity, digest_size=8).digest()
    return member.state == MemberState.LEAVING, digest
