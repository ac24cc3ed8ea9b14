"""Heartbeats and lists of members between instances."""

import random
from collections.abc import Sequence

from chervilpitch.observe import part_logger
from chervilpitch.policy import Member, MemberState, aggregators_of

from .messages import MemberRecords
from .peers import PeerSocket
from .region import RegionView
from .state import GatewayState

__all__ = ["Heartbeats", "log_discovered"]

log = part_logger("fleet")

HEARTBEAT_INTERVAL_S = 0.8
AGGREGATOR_HEARTBEAT_INTERVAL_S = 0.5
STARTUP_PERIOD_S = 1.2
STARTUP_HEARTBEAT_INTERVAL_S = 0.25
HEARTBEATS_PER_MEMBER_LIST = 4
DISTANT_MEMBERS = 2
"""Instances of each other region that are told of a stop, or named in a reply."""
MAX_LOGGED_NAMES = 8


class Heartbeats:
    """Send heartbeats and lists of members, and handle those of others.

    An instance sends its heartbeat to its aggregator. The aggregators of a region
    send each other their own heartbeats and those of their groups.

    Parameters
    ----------
    state : GatewayState
        State of this instance.
    region : RegionView
        Ranks and roles in the region.
    socket : PeerSocket
        Socket to the other instances.
    seeds : tuple of str
        Peer addresses of instances that are likely to run; asked for the members.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        state: GatewayState,
        region: RegionView,
        socket: PeerSocket,
        seeds: tuple[str, ...],
        clock,
    ):
        self._state = state
        self._members = state.members
        self._region = region
        self._socket = socket
        self._seeds = seeds
        self._clock = clock
        self._startup_until_s = clock() + STARTUP_PERIOD_S
        self._due_at_s = 0.0

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds after the settings were reloaded."""
        self._seeds = seeds

    def send(self) -> None:
        """Send a heartbeat if one is due, from time to time with a list of members.

        During its startup period an instance sends heartbeats more often and asks a
        seed for its members each time, so that instances that start together find
        each other.
        """
        now_s = self._clock()
        if now_s < self._due_at_s:
            return
        is_starting = now_s < self._startup_until_s
        self._due_at_s = now_s + self._interval_s(is_starting)
        own = self._members.heartbeat(self._own_state())
        expired = self._members.remove_expired(now_s)
        if expired:
            log.info(
                "Other instances removed: no heartbeat.", **_names_and_count(expired)
            )
        if self._region.is_aggregator:
            self._send_to_aggregators(own, now_s)
        elif self._region.aggregator is not None:
            self._send([self._region.aggregator], (own,))
        region_count = len(self._region.ranked) - 1
        if not region_count or random.random() < 1 / (4 * region_count):
            self._socket.send(self._other_seeds(), MemberRecords((own,), True))
        elif is_starting:
            self._socket.send(self._random_seed(), MemberRecords((own,), True))

    def _interval_s(self, is_starting):
        if is_starting:
            return STARTUP_HEARTBEAT_INTERVAL_S
        if self._region.is_aggregator:
            return AGGREGATOR_HEARTBEAT_INTERVAL_S
        return HEARTBEAT_INTERVAL_S

    def announce_leaving(self) -> None:
        """Send a heartbeat that this instance is leaving to those that relay it.

        These are the aggregators of the region, the group of this instance and two
        instances of each other region.
        """
        now_s = self._clock()
        own = self._members.heartbeat(MemberState.LEAVING)
        self._region.refresh()
        records = MemberRecords((own,), False)
        group = self._region.group.addresses(now_s).values()
        self._socket.send(list(group), records)
        self._send(self._region.other_aggregators, (own,))
        for members in self._members.in_other_regions(now_s).values():
            self._send(members[:DISTANT_MEMBERS], (own,))

    def send_members_to_other_regions(self) -> None:
        """Send this region's members to other regions if this instance ranks first.

        In each region, the instance that ranks first and a random aggregator receive
        them.
        """
        if not self._region.is_first:
            return
        ranked = tuple(self._region.ranked)
        for members in self._members.in_other_regions(self._clock()).values():
            aggregators = aggregators_of(members) or members
            self._send({members[0], random.choice(aggregators)}, ranked)

    def receive(self, message: MemberRecords, sender: str, address: str) -> None:
        """Record members; pass on those of other regions, and reply if requested.

        Parameters
        ----------
        message : MemberRecords
            Members, the sender first.
        sender : str
            Name of the instance that sent them.
        address : str
            Address of that instance.
        """
        now_s = self._clock()
        new = self._members.merge(message.members, now_s)
        log_discovered(new)
        if new:
            self._region.refresh_soon()
        if message.is_reply_wanted:
            self._reply(address, now_s)
        elif self._region.is_first and self._is_from_other_region(sender):
            self._send(self._region.other_aggregators, message.members)

    def _reply(self, address, now_s):
        """Send the members by which a new instance finds its region."""
        own = self._members.own
        listed = {member.name: member for member in self._region.other_aggregators}
        for member in self._members.to_relay(now_s):
            if member.region == own.region:
                listed[member.name] = member
        for members in self._members.in_other_regions(now_s).values():
            listed.update((item.name, item) for item in members[:DISTANT_MEMBERS])
        records = MemberRecords((own, *listed.values()), False)
        self._socket.send([address], records)

    def _is_from_other_region(self, sender):
        member = self._members.get(sender)
        return member is not None and member.region != self._members.own.region

    def _send_to_aggregators(self, own, now_s):
        names = self._region.group.addresses(now_s)
        group = [self._members.get(name) for name in names]
        aggregators = self._region.other_aggregators
        records = (own, *(member for member in group if member is not None))
        self._send(aggregators, records)
        if aggregators and own.heartbeat_count % HEARTBEATS_PER_MEMBER_LIST == 0:
            listed = (own, *self._members.to_relay(now_s))
            self._send([random.choice(aggregators)], listed)

    def _own_state(self) -> MemberState:
        if self._state.is_leaving:
            return MemberState.LEAVING
        if self._state.is_ready():
            return MemberState.SERVING
        has_configuration = self._state.configuration.version > 0
        return MemberState.STALE if has_configuration else MemberState.STARTING

    def _other_seeds(self):
        own = self._members.own.peers_address
        return [seed for seed in self._seeds if seed != own]

    def _random_seed(self):
        seeds = self._other_seeds()
        return [random.choice(seeds)] if seeds else []

    def _send(self, receivers, members: tuple[Member, ...]):
        addresses = [member.peers_address for member in receivers]
        self._socket.send(addresses, MemberRecords(members, False))


def log_discovered(members: Sequence[Member]) -> None:
    """Log in one line the instances that have become known or have restarted."""
    if members:
        log.info(
            "Other instances discovered or restarted.", **_names_and_count(members)
        )


def _names_and_count(members):
    names = [member.name for member in members[:MAX_LOGGED_NAMES]]
    return {"count": len(members), "instances": names}
