"""Passing on of the store's state and of the list of members between instances."""

import random
from typing import NamedTuple

from chervilpitch.observe import part_logger
from chervilpitch.policy import (
    READER_COUNT,
    ReaderElection,
    ReaderStatus,
    is_proof_current,
)

from .heartbeats import log_discovered
from .messages import UNSTATED_ERA, StateAnswer, StateQuestion
from .peers import PeerSocket
from .region import RegionView
from .state import GatewayState
from .state_answers import NO_PROOF_AGE_S, StateAnswers, stated_era

__all__ = ["StateExchange"]

log = part_logger("fleet")

ANSWER_TIMEOUT_S = 0.45
EXTRA_IF_OVERDUE = 1
EXTRA_AFTER_TIMEOUT = 2


class _PendingQuestion(NamedTuple):
    """A question without an answer so far.

    Parameters
    ----------
    receiver : str
        Name of the instance asked.
    is_group_member : bool
        Whether it was asked as the aggregator of this instance.
    confirms_readers : bool
        Whether an answer with a current proof shows that a reader answers, directly
        or through the aggregator of this instance. An aggregator that is asked by
        another one as an extra may only know an earlier proof.
    asked_at_s : float
        Monotonic time in seconds.
    """

    receiver: str
    is_group_member: bool
    confirms_readers: bool
    asked_at_s: float


class StateExchange:
    """Ask another instance for the store's state, and answer such questions.

    An aggregator asks the instances that read the store. Any other instance asks its
    aggregator, which also sends it the list of members. While an answer is overdue, an
    instance also asks a second aggregator. After a timeout, one that is not an
    aggregator itself keeps the first that answers. If a reader answers that the store
    turns it away, the next one is asked at once.

    Parameters
    ----------
    state : GatewayState
        State of this instance.
    region : RegionView
        Ranks and roles in the region.
    election : ReaderElection
        Election of the readers; told of each current answer.
    socket : PeerSocket
        Socket to the other instances.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        state: GatewayState,
        region: RegionView,
        election: ReaderElection,
        socket: PeerSocket,
        clock,
    ):
        self._state = state
        self._members = state.members
        self._region = region
        self._election = election
        self._socket = socket
        self._clock = clock
        self._answers = StateAnswers(state, region, clock)
        self._last_number = 0
        self._pending: dict[int, _PendingQuestion] = {}
        self._source_index = 0
        self._has_timed_out = False
        self._needs_all_entries = False
        self._members_digest = 0

    def request(self) -> None:
        """Request the store's state from another instance, or two if one is overdue."""
        now_s = self._clock()
        self._record_timeouts(now_s)
        aggregator = self._region.aggregator
        if aggregator is None:
            heard_share = self._members.heard_share(now_s)
            self._state.contact.record_members(heard_share, now_s)
        chosen = aggregator or self._next_source()
        if chosen is None:
            return
        overdue = {question.receiver for question in self._pending.values()}
        self._ask(chosen, aggregator is not None, now_s)
        avoided = overdue | {chosen.name}
        for member in self._extra_sources(avoided, self._extra_count(overdue)):
            confirms_readers = aggregator is not None or member in self._readers()
            self._ask(member, aggregator is not None, now_s, confirms_readers)

    def _extra_count(self, overdue) -> int:
        """Return how many more instances to ask, as others may have stopped too."""
        if self._has_timed_out:
            return EXTRA_AFTER_TIMEOUT
        return EXTRA_IF_OVERDUE if overdue else 0

    def _extra_sources(self, avoided, count):
        """Return other readers, if this is an aggregator, and random aggregators."""
        readers = self._readers() if self._region.aggregator is None else []
        aggregators = self._region.other_aggregators
        sources = {
            item.name: item
            for item in (*readers, *random.sample(aggregators, len(aggregators)))
            if item.name not in avoided
        }
        return list(sources.values())[:count]

    def _readers(self):
        """Return the others that are the first to read the store."""
        return self._sources()[:READER_COUNT]

    def _sources(self):
        """Return the others that may be asked, the readers first."""
        return self._election.sources(
            self._region.ranked, self._members.own, self._clock()
        )

    def _ask(self, member, is_group_member, now_s, confirms_readers=True):
        self._last_number += 1
        self._pending[self._last_number] = _PendingQuestion(
            member.name, is_group_member, confirms_readers, now_s
        )
        question = StateQuestion(
            self._last_number,
            self._state.configuration_revision,
            0 if self._needs_all_entries else self._state.entry_items.revision,
            self._members_digest if self._members.has_relayed else 0,
            is_group_member,
            self._state.entry_items.era,
            self._state.configuration.version,
        )
        self._socket.send([member.peers_address], question)

    def receive_question(
        self, message: StateQuestion, sender: str, address: str
    ) -> None:
        """Answer another instance's question."""
        answer = self._answers.build(message, sender, self._own_reader_status())
        if self._socket.send([address], answer):
            return
        log.warning(
            "State does not fit in a datagram; replying without it.", asked_by=sender
        )
        self._socket.send([address], self._answers.without_state(answer))

    def receive_answer(self, message: StateAnswer, sender: str) -> None:
        """Apply the answer to a question of this instance."""
        pending = self._pending.pop(message.number, None)
        if pending is None:
            return
        self._replace_silent_aggregator(sender)
        is_failing = message.reader_status == ReaderStatus.FAILING
        is_proved = is_proof_current(message.proof_age_s)
        self._record_reader_status(message.reader_status, sender)
        if pending.confirms_readers:
            is_current = is_proved and (pending.is_group_member or not is_failing)
            self._election.record_answer(pending.asked_at_s, is_current)
        if not is_proved and not is_failing:
            self._source_index += 1
        if pending.is_group_member:
            self._apply_members(message)
        elif message.members:
            self._merge_members(message)
        state = self._state
        if message.proof_age_s < NO_PROOF_AGE_S:
            state.apply_relayed_configuration(
                message.configuration,
                message.configuration_version,
                pending.asked_at_s - message.proof_age_s,
            )
        if message.entries_revision:
            self._apply_entries(message)
        if is_failing and not pending.is_group_member:
            self._ask_other_reader()

    def _record_reader_status(self, status, sender):
        if status == ReaderStatus.FAILING:
            self._election.record_failing(sender, self._clock())
        elif status == ReaderStatus.READING:
            self._election.record_reading(sender)

    def _ask_other_reader(self):
        """Ask the first reader that has not said that the store turns it away."""
        now_s = self._clock()
        asked = {question.receiver for question in self._pending.values()}
        for member in self._readers():
            if member.name not in asked and not self._election.is_failing(
                member.name, now_s
            ):
                self._ask(member, False, now_s)
                return

    def _own_reader_status(self) -> ReaderStatus:
        if not self._election.is_reading:
            return ReaderStatus.NOT_READING
        if self._state.store_calls.are_failing(self._clock()):
            return ReaderStatus.FAILING
        return ReaderStatus.READING

    def _apply_entries(self, message):
        replica = self._state.entry_items
        if message.entries_era == UNSTATED_ERA and replica.copied_until:
            return
        era = stated_era(message.entries_era, replica.era)
        if era < replica.era:
            return
        self._state.apply_entry_items(
            message.entries, message.entries_revision, message.is_complete, era
        )
        is_equal = replica.digest == message.entries_digest and replica.era == era
        self._needs_all_entries = not is_equal

    def _record_timeouts(self, now_s):
        """Use other sources if questions were not answered in time."""
        silent = {
            question.receiver
            for question in self._pending.values()
            if now_s - question.asked_at_s > ANSWER_TIMEOUT_S
        }
        if not silent:
            return
        self._source_index += 1
        self._has_timed_out = True
        self._pending.clear()
        for name in silent:
            self._region.record_timeout(name)

    def _replace_silent_aggregator(self, sender):
        """Use the first aggregator that answers after a timeout."""
        aggregator = self._region.aggregator
        if self._has_timed_out and aggregator is not None and sender != aggregator.name:
            self._region.use_aggregator(sender)
        self._has_timed_out = False

    def _next_source(self):
        """Return the instance that an aggregator queries for the store's state.

        A timeout or an answer without a current proof advances to the next one: the
        first ``READER_COUNT`` candidates in turn, then a random one.
        """
        candidates = self._sources()
        if not candidates:
            return None
        index = self._source_index % (READER_COUNT + 1)
        if index < min(READER_COUNT, len(candidates)):
            return candidates[index]
        self._source_index += 1
        return random.choice(candidates)

    def _apply_members(self, message):
        now_s = self._clock()
        self._state.contact.record_members(message.heard_share, now_s)
        if message.members:
            self._members_digest = message.members_digest
            log_discovered(self._members.apply_relayed(message.members, now_s))
        elif message.members_digest and message.members_digest == self._members_digest:
            self._members.confirm_relayed(now_s)

    def _merge_members(self, message):
        """Learn of the members by which this instance is no aggregator.

        One that knows few of its region takes itself for an aggregator, and the
        aggregators that the others know send it nothing.
        """
        new = self._members.merge(message.members, self._clock())
        log_discovered(new)
        if new:
            self._region.refresh_soon()
