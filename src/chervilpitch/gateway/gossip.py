"""Messages that gateway instances exchange: heartbeats, evidence and store state."""

import random
from functools import singledispatchmethod

from chervilpitch.observe import part_logger
from chervilpitch.policy import (
    OTHER_REGION_ALIVE_S,
    READER_COUNT,
    MemberState,
    ReaderElection,
    is_proof_current,
    peers_to_query,
)

from .codec import Datagram
from .messages import (
    Evidence,
    MemberWords,
    RegionUsage,
    StateAnswer,
    StateQuestion,
    source_of,
)
from .peers import PeerSocket
from .rates import RateSharing
from .state import GatewayState

__all__ = ["Gossip"]

log = part_logger("fleet")

NO_PROOF_AGE_S = 1e6
"""Age sent in an answer that carries no proof."""
HEARTBEAT_INTERVAL_S = 0.8
STARTUP_PERIOD_S = 1.2
STARTUP_HEARTBEAT_INTERVAL_S = 0.25
STATE_REQUEST_TIMEOUT_S = 0.45
MAX_HEARTBEAT_RECEIVERS = 16
EVIDENCE_INTERVAL_S = 0.28
REGION_USAGE_INTERVAL_S = 0.5
HEARTBEATS_PER_MEMBER_LIST = 4


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
        self._seeds = seeds
        self._clock = clock
        self._rates = RateSharing(state, clock)
        self._startup_until_s = clock() + STARTUP_PERIOD_S
        self._heartbeat_due_at_s = 0.0
        self._evidence_due_at_s = 0.0
        self._region_usage_due_at_s = 0.0
        self._question_number = 0
        self._asked_at_s: dict[int, float] = {}
        self._source_index = 0
        self._needs_all_entries = False
        self._reader_election = ReaderElection(clock())
        self._socket = PeerSocket(self._members.own, self.receive)

    @property
    def socket(self) -> PeerSocket:
        """The datagram socket to the other instances."""
        return self._socket

    @property
    def is_reading(self) -> bool:
        """Whether this instance reads the store itself."""
        return self._reader_election.is_reading

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds after the settings were reloaded."""
        self._seeds = seeds

    def update_reader_role(self) -> None:
        """Update and log whether this instance reads the store itself."""
        now_s = self._clock()
        before = self._reader_election.is_reading
        ranked = self._members.ranked(now_s)
        reads = self._reader_election.update(ranked, self._members.own, now_s)
        if reads != before:
            age_s = self._state.freshness.age_s(now_s)
            log.info(
                "Instance started or stopped reading the store.",
                reads=reads,
                proof_age_s=round(age_s, 2),
            )

    def send_heartbeat(self) -> None:
        """Send a heartbeat if one is due, from time to time with a list of members.

        During its startup period an instance sends heartbeats more often and asks a
        seed for its members each time, so that instances that start together find
        each other.
        """
        now_s = self._clock()
        if now_s < self._heartbeat_due_at_s:
            return
        is_starting = now_s < self._startup_until_s
        self._heartbeat_due_at_s = now_s + (
            STARTUP_HEARTBEAT_INTERVAL_S if is_starting else HEARTBEAT_INTERVAL_S
        )
        own = self._members.heartbeat(self._own_state())
        for member in self._members.remove_expired(now_s):
            log.info("Another instance removed: no heartbeat.", instance=member.name)
        region_members = self._members.in_region(now_s)
        receivers = (
            region_members
            if len(region_members) <= MAX_HEARTBEAT_RECEIVERS
            else random.sample(region_members, MAX_HEARTBEAT_RECEIVERS)
        )
        self._send(receivers, MemberWords((own,), False))
        if region_members and own.beat % HEARTBEATS_PER_MEMBER_LIST == 0:
            members_known = (own, *self._members.alive(now_s, OTHER_REGION_ALIVE_S))
            self._send(
                [random.choice(region_members)], MemberWords(members_known, False)
            )
        if not region_members or random.random() < 1 / (4 * len(region_members)):
            self._socket.send(self._other_seeds(), MemberWords((own,), True))
        elif is_starting:
            self._socket.send(self._random_seed(), MemberWords((own,), True))

    def announce_leaving(self) -> None:
        """Send every live instance a heartbeat that this one is leaving."""
        own = self._members.heartbeat(MemberState.LEAVING)
        self._send(self._members.alive(self._clock()), MemberWords((own,), False))

    def send_members_to_other_regions(self) -> None:
        """Send this region's members to other regions if this instance ranks first.

        In each region, the instance that ranks first and a random one receive them.
        """
        now_s = self._clock()
        ranked = self._members.ranked(now_s)
        if ranked[0].name != self._members.own.name:
            return
        for members in self._members.in_other_regions(now_s).values():
            chosen = {members[0], random.choice(members)}
            self._send(chosen, MemberWords(tuple(ranked), False))

    def send_usage_to_other_regions(self) -> None:
        """Send this region's usage to other regions if this instance ranks first.

        It is sent once per interval, or without delay while a bucket is low. In each
        region, the instance that ranks first receives it and relays it to the others.
        """
        now_s = self._clock()
        if now_s < self._region_usage_due_at_s and not self._rates.is_any_bucket_low():
            return
        self._region_usage_due_at_s = now_s + REGION_USAGE_INTERVAL_S
        own = self._members.own
        ranked = self._members.ranked(now_s)
        if ranked[0].name != own.name:
            return
        usages = self._rates.region_usage()
        source = source_of(own.name, own.incarnation)
        for members in self._members.in_other_regions(now_s).values():
            if usages:
                self._send(members[:1], RegionUsage(source, usages))

    def send_evidence(self) -> None:
        """Send the region reports on upstreams and the requests admitted.

        Urgent reports are sent at once; others are batched for an interval.
        """
        now_s = self._clock()
        is_due = now_s >= self._evidence_due_at_s
        is_urgent = self._state.upstreams.is_report_urgent(now_s)
        if not is_due and not is_urgent and not self._rates.is_report_urgent():
            return
        self._evidence_due_at_s = now_s + EVIDENCE_INTERVAL_S
        reports = self._state.upstreams.next_reports(now_s)
        usages = self._rates.take_unsent_usage()
        if reports or usages:
            message = Evidence(reports, usages)
            self._send(self._members.in_region(now_s), message)

    def request_state(self) -> None:
        """Request the store's state from another instance."""
        now_s = self._clock()
        candidates = peers_to_query(self._members.ranked(now_s), self._members.own)
        if not candidates:
            return
        if any(
            now_s - at_s > STATE_REQUEST_TIMEOUT_S for at_s in self._asked_at_s.values()
        ):
            self._source_index += 1
            self._asked_at_s.clear()
        self._question_number += 1
        self._asked_at_s[self._question_number] = now_s
        chosen = self._next_state_source(candidates)
        question = StateQuestion(
            self._question_number,
            self._state.configuration_revision,
            0 if self._needs_all_entries else self._state.entry_items.revision,
        )
        self._send([chosen], question)

    def _next_state_source(self, candidates):
        """Return the candidate to query for the store's state.

        A timeout or an answer without a current proof advances to the next one: the
        first ``READER_COUNT`` candidates in turn, then a random one.
        """
        index = self._source_index % (READER_COUNT + 1)
        if index < min(READER_COUNT, len(candidates)):
            return candidates[index]
        self._source_index += 1
        return random.choice(candidates)

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
    def _(self, message: MemberWords, datagram, address):
        now_s = self._clock()
        for member in self._members.merge(message.members, now_s):
            log.info("Another instance discovered or restarted.", instance=member.name)
        if message.is_reply_wanted:
            own = self._members.own
            members_known = (own, *self._members.alive(now_s))
            self._socket.send([address], MemberWords(members_known, False))

    @_handle.register
    def _(self, message: Evidence, datagram, address):
        now_s = self._clock()
        source = source_of(datagram.sender, datagram.incarnation)
        self._state.upstreams.add_reports(message.upstreams, source, now_s)
        self._rates.record_instance_usage(source, message.usages)

    @_handle.register
    def _(self, message: RegionUsage, datagram, address):
        self._rates.record_region_usage(message.source, message.usages)
        region_members = self._members.in_region(self._clock())
        if all(member.name != datagram.sender for member in region_members):
            self._send(region_members, message)

    @_handle.register
    def _(self, message: StateQuestion, datagram, address):
        now_s = self._clock()
        age_s = self._state.freshness.age_s(now_s)
        answer = self._build_state_answer(message, min(age_s, NO_PROOF_AGE_S))
        if not self._socket.send([address], answer):
            log.warning(
                "State does not fit in a datagram; replying without it.",
                asked_by=datagram.sender,
            )
            answer = answer._replace(configuration=(), entries=(), is_complete=False)
            answer = answer._replace(entries_revision=0, proof_age_s=NO_PROOF_AGE_S)
            self._socket.send([address], answer)

    @_handle.register
    def _(self, message: StateAnswer, datagram, address):
        asked_at_s = self._asked_at_s.pop(message.number, None)
        if asked_at_s is None:
            return
        if is_proof_current(message.proof_age_s):
            self._reader_election.record_answer(asked_at_s)
        else:
            self._source_index += 1
        state = self._state
        if message.proof_age_s < NO_PROOF_AGE_S:
            state.apply_configuration_items(
                message.configuration, asked_at_s - message.proof_age_s
            )
        if message.entries_revision:
            state.apply_entry_items(
                message.entries, message.entries_revision, message.is_complete
            )
            digest = state.entry_items.digest
            self._needs_all_entries = digest != message.entries_digest

    def _build_state_answer(self, question, age_s) -> StateAnswer:
        configuration = self._state.configuration_item
        is_newer = (
            configuration is not None
            and configuration.revision > question.configuration_revision
        )
        entries = self._state.entry_items
        changed = entries.changes_since(question.entries_revision)
        is_complete = question.entries_revision == 0 or changed is None
        return StateAnswer(
            question.number,
            age_s,
            self._state.configuration_revision,
            (configuration,) if is_newer else (),
            entries.revision,
            entries.items if is_complete else changed,
            is_complete,
            entries.digest,
        )

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

    def _send(self, members, message):
        self._socket.send([member.peers_address for member in members], message)
