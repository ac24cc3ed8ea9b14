"""Messages that gateway instances exchange: heartbeats, evidence and store state."""

import asyncio
from functools import singledispatchmethod

from chervilpitch.observe import part_logger
from chervilpitch.policy import MemberState, ReaderElection, ReaderStatus

from .codec import Datagram
from .evidence import EvidenceExchange
from .heartbeats import Heartbeats
from .messages import (
    Evidence,
    InstanceEvidence,
    MemberRecords,
    RegionLoads,
    RegionUsage,
    RelayedEvidence,
    StateAnswer,
    StateQuestion,
)
from .peers import PeerSocket
from .region import RegionView
from .state import GatewayState
from .state_exchange import StateExchange

__all__ = ["Gossip"]

log = part_logger("fleet")


class Gossip:
    """Send messages to the other instances and handle theirs.

    Parameters
    ----------
    state : GatewayState
        State of this instance.
    seeds : tuple of str
        Peer addresses of instances that are likely to run; asked for the members.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, state: GatewayState, seeds: tuple[str, ...], clock):
        self._state = state
        self._members = state.members
        self._clock = clock
        self._socket = PeerSocket(self._members.own, self.receive)
        self._region = RegionView(self._members, clock)
        self._election = ReaderElection(clock())
        self._reading_begun = asyncio.Event()
        self._heartbeats = Heartbeats(state, self._region, self._socket, seeds, clock)
        self._evidence = EvidenceExchange(state, self._region, self._socket, clock)
        self._states = StateExchange(
            state, self._region, self._election, self._socket, clock
        )

    @property
    def socket(self) -> PeerSocket:
        """The datagram socket to the other instances."""
        return self._socket

    @property
    def region(self) -> RegionView:
        """Ranks and roles in the region."""
        return self._region

    @property
    def is_reading(self) -> bool:
        """Whether this instance reads the store itself."""
        return self._election.is_reading

    @property
    def is_replacement_reader(self) -> bool:
        """Whether this instance reads the store only while the first readers fail."""
        return self._election.is_replacement

    @property
    def reading_begun(self) -> asyncio.Event:
        """Event that is set while this instance reads the store itself."""
        return self._reading_begun

    @property
    def has_serving_peer(self) -> bool:
        """Whether another instance of the region is known to serve requests."""
        self._region.refresh()
        own = self._members.own
        return any(
            item.state == MemberState.SERVING and item.name != own.name
            for item in self._region.ranked
        )

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds after the settings were reloaded."""
        self._heartbeats.set_seeds(seeds)

    def update_reader_role(self) -> None:
        """Update and log whether this instance reads the store itself."""
        now_s = self._clock()
        before = self._election.is_reading
        is_isolated = self._state.contact.rate_share(now_s) < 1.0
        reads = self._election.update(
            self._region.ranked, self._members.own, now_s, is_isolated
        )
        if reads != before:
            (self._reading_begun.set if reads else self._reading_begun.clear)()
            age_s = self._state.freshness.age_s(now_s)
            log.info(
                "Instance started or stopped reading the store.",
                reads=reads,
                proof_age_s=round(age_s, 2),
            )

    def send_heartbeat(self) -> None:
        """Send a heartbeat if one is due."""
        self._heartbeats.send()

    def announce_leaving(self) -> None:
        """Tell other instances that this one is leaving."""
        self._heartbeats.announce_leaving()

    def send_members_to_other_regions(self) -> None:
        """Send this region's members to other regions if this instance ranks first."""
        self._heartbeats.send_members_to_other_regions()

    def send_evidence(self) -> None:
        """Send the evidence on upstreams, usage counters and loads that are due."""
        self._evidence.send_region_usage()
        self._evidence.send_region_loads()
        self._evidence.send()

    def request_state(self) -> None:
        """Request the store's state from another instance."""
        self._states.request()

    def receive(self, datagram: Datagram, address: str) -> None:
        """Handle a message from another instance.

        Raises
        ------
        TypeError
            No handler is registered for the type of the message.
        """
        self._handle(datagram.message, datagram, address)

    @singledispatchmethod
    def _handle(self, message, datagram, address):
        raise TypeError(f"no handler is registered for {type(message).__name__}")

    @_handle.register
    def _(self, message: MemberRecords, datagram, address):
        self._heartbeats.receive(message, datagram.sender, address)

    @_handle.register
    def _(self, message: Evidence, datagram, address):
        self._evidence.receive_from_aggregator(
            message, datagram.sender, datagram.incarnation
        )

    @_handle.register
    def _(self, message: InstanceEvidence, datagram, address):
        self._evidence.receive_from_instance(
            message, datagram.sender, datagram.incarnation, address
        )

    @_handle.register
    def _(self, message: RelayedEvidence, datagram, address):
        self._evidence.receive_from_own_aggregator(message, datagram.sender)

    @_handle.register
    def _(self, message: RegionUsage, datagram, address):
        self._evidence.receive_from_region(message, datagram.sender)

    @_handle.register
    def _(self, message: RegionLoads, datagram, address):
        self._evidence.receive_region_loads(message, datagram.sender)

    @_handle.register
    def _(self, message: StateQuestion, datagram, address):
        self._states.receive_question(message, datagram.sender, address)

    @_handle.register
    def _(self, message: StateAnswer, datagram, address):
        self._states.receive_answer(message, datagram.sender)
        if message.reader_status == ReaderStatus.FAILING:
            self.update_reader_role()
