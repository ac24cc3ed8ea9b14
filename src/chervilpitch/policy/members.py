"""Which instances are there, as they tell each other."""

import hashlib
from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

__all__ = ["OTHER_REGION_ALIVE_S", "Member", "MemberState", "MemberTable"]

ALIVE_S = 3.0
OTHER_REGION_ALIVE_S = 12.0
FORGOTTEN_S = 15.0


class MemberState(IntEnum):
    """What an instance says of itself.

    One that is stale has a configuration but no new proof that it still holds; it
    refuses requests that need a key.
    """

    STARTING = 0
    SERVING = 1
    LEAVING = 2
    STALE = 3


class Member(NamedTuple):
    """One instance.

    Parameters
    ----------
    name : str
        Unique name of the machine's process.
    incarnation : int
        Unix millisecond of its start.
    beat : int
        Counter that grows while it runs.
    region, failure_domain : str
        Where it runs.
    callers_address, peers_address : str
        Hosts and ports for callers and for other instances.
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
    def age(self) -> tuple[int, int]:
        """Order of what an instance has said of itself."""
        return self.incarnation, self.beat


class MemberTable:
    """The newest word of each instance and when it came.

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
        """Count a beat of this instance and return its word."""
        own = self._own
        self._own = own._replace(beat=own.beat + 1, state=int(state))
        return self._own

    def merge(self, members: Iterable[Member], now_s: float) -> tuple[Member, ...]:
        """Take in the word of instances, at first or second hand.

        Parameters
        ----------
        members : iterable of Member
            What was received.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        tuple of Member
            Instances that weren't known or have started again.
        """
        new = []
        for member in members:
            if member.name == self._own.name:
                continue
            known = self._members.get(member.name)
            if known is not None and member.age <= known.age:
                continue
            if known is None or known.incarnation != member.incarnation:
                new.append(member)
            self._members[member.name] = member
            self._heard_at_s[member.name] = now_s
        return tuple(new)

    def remove_expired(self, now_s: float) -> tuple[Member, ...]:
        """Drop instances unheard of for long and return them."""
        gone = [
            self._members.pop(name)
            for name, heard_at_s in list(self._heard_at_s.items())
            if now_s - heard_at_s > FORGOTTEN_S
        ]
        for member in gone:
            del self._heard_at_s[member.name]
        return tuple(gone)

    def not_leaving(self) -> list[Member]:
        """Return the other instances that aren't forgotten and don't leave."""
        found = self._members.values()
        return [member for member in found if member.state != MemberState.LEAVING]

    def alive(self, now_s: float, within_s: float = ALIVE_S) -> list[Member]:
        """Return the other instances that were heard of lately.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        within_s : float
            Seconds that count as lately.
        """
        return [
            member
            for name, member in self._members.items()
            if now_s - self._heard_at_s[name] <= within_s
        ]

    def in_region(self, now_s: float) -> list[Member]:
        """Return the other instances of the own region, heard of lately."""
        region = self._own.region
        return [member for member in self.alive(now_s) if member.region == region]

    def in_other_regions(self, now_s: float) -> dict[str, list[Member]]:
        """Return instances of other regions by region, each in order of rank.

        Word of them comes seldom, so that they stay known for longer.
        """
        regions: dict[str, list[Member]] = {}
        for member in self.alive(now_s, OTHER_REGION_ALIVE_S):
            if member.region != self._own.region:
                regions.setdefault(member.region, []).append(member)
        return {name: sorted(found, key=_rank) for name, found in regions.items()}

    def ranked(self, now_s: float) -> list[Member]:
        """Return the instances of the region, this one included, by rank.

        Every instance gets the same order from the same members; one that is
        leaving comes last.
        """
        members = [*self.in_region(now_s), self._own]
        return sorted(members, key=_rank)


def _rank(member: Member) -> tuple[bool, bytes]:
    word = f"{member.name}:{member.incarnation}".encode()
    digest = hashlib.blake2b(word, digest_size=8).digest()
    return member.state == MemberState.LEAVING, digest
