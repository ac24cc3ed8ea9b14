"""What the instances of a gateway tell each other, and when."""

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

__all__ = ["Fleet"]

log = part_logger("fleet")

NO_PROOF_S = 1e6
BEAT_S = 0.8
YOUNG_FOR_S = 1.2
YOUNG_BEAT_S = 0.25
UNANSWERED_S = 0.45
MOST_BEATS = 16
GATHER_S = 0.28
REGIONS_S = 0.5
BEATS_PER_LIST = 4


class Fleet:
    """This instance among the others.

    Parameters
    ----------
    state : GatewayState
        What the instance knows.
    seeds : tuple of str
        Peers' addresses of instances that are probably there.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, state: GatewayState, seeds: tuple[str, ...], clock):
        self._state = state
        self._members = state.members
        self._seeds = seeds
        self._clock = clock
        self._rates = RateSharing(state, clock)
        self._young_until_s = clock() + YOUNG_FOR_S
        self._beat_at_s = 0.0
        self._tell_at_s = 0.0
        self._tell_regions_at_s = 0.0
        self._question = 0
        self._asked_at_s: dict[int, float] = {}
        self._source = 0
        self._lacks_entries = False
        self._reading = ReaderElection(clock())
        self._socket = PeerSocket(self._members.own, self.receive)

    @property
    def socket(self) -> PeerSocket:
        """The socket to other instances."""
        return self._socket

    @property
    def is_reading(self) -> bool:
        """Whether this instance reads the store itself."""
        return self._reading.is_reading

    def follow_seeds(self, seeds: tuple[str, ...]) -> None:
        """Use other seeds."""
        self._seeds = seeds

    def decide_reading(self) -> None:
        """Decide whether this instance reads the store itself."""
        now_s = self._clock()
        before = self._reading.is_reading
        ranked = self._members.ranked(now_s)
        reads = self._reading.update(ranked, self._members.own, now_s)
        if reads != before:
            age_s = self._state.freshness.age_s(now_s)
            log.info("Reading changes.", reads=reads, proof_age_s=round(age_s, 2))

    def beat(self) -> None:
        """Tell others that this instance is there, and what it knows of others.

        One that has just started does so more often and asks a seed each time, so
        that instances that start together find each other.
        """
        now_s = self._clock()
        if now_s < self._beat_at_s:
            return
        is_young = now_s < self._young_until_s
        self._beat_at_s = now_s + (YOUNG_BEAT_S if is_young else BEAT_S)
        own = self._members.heartbeat(self._own_state())
        for member in self._members.remove_expired(now_s):
            log.info("Instance forgotten.", instance=member.name)
        near = self._members.in_region(now_s)
        heard = near if len(near) <= MOST_BEATS else random.sample(near, MOST_BEATS)
        self._send(heard, MemberWords((own,), False))
        if near and own.beat % BEATS_PER_LIST == 0:
            words = (own, *self._members.alive(now_s, OTHER_REGION_ALIVE_S))
            self._send([random.choice(near)], MemberWords(words, False))
        if not near or random.random() < 1 / (4 * len(near)):
            self._socket.send(self._other_seeds(), MemberWords((own,), True))
        elif is_young:
            self._socket.send(self._any_seed(), MemberWords((own,), True))

    def say_leaving(self) -> None:
        """Tell every instance at once that this one is stopping."""
        own = self._members.heartbeat(MemberState.LEAVING)
        self._send(self._members.alive(self._clock()), MemberWords((own,), False))

    def list_to_other_regions(self) -> None:
        """Tell other regions who is here, if this instance ranks first."""
        now_s = self._clock()
        ranked = self._members.ranked(now_s)
        if ranked[0].name != self._members.own.name:
            return
        for members in self._members.in_other_regions(now_s).values():
            chosen = {members[0], random.choice(members)}
            self._send(chosen, MemberWords(tuple(ranked), False))

    def tell_other_regions(self) -> None:
        """Tell other regions what this one admits, if this instance ranks first."""
        now_s = self._clock()
        if now_s < self._tell_regions_at_s and not self._rates.is_any_low():
            return
        self._tell_regions_at_s = now_s + REGIONS_S
        own = self._members.own
        ranked = self._members.ranked(now_s)
        if ranked[0].name != own.name:
            return
        usages = self._rates.of_region()
        source = source_of(own.name, own.incarnation)
        for members in self._members.in_other_regions(now_s).values():
            if usages:
                self._send(members[:1], RegionUsage(source, usages))

    def tell_evidence(self) -> None:
        """Tell the region what was seen of upstreams and admitted.

        What others must know at once goes out at once, the rest is gathered.
        """
        now_s = self._clock()
        is_due = now_s >= self._tell_at_s
        is_urgent = self._state.upstreams.is_report_urgent(now_s)
        if not is_due and not is_urgent and not self._rates.is_urgent():
            return
        self._tell_at_s = now_s + GATHER_S
        reports = self._state.upstreams.next_reports(now_s)
        usages = self._rates.changed()
        if reports or usages:
            message = Evidence(reports, usages)
            self._send(self._members.in_region(now_s), message)

    def ask(self) -> None:
        """Ask another instance for the store's state."""
        now_s = self._clock()
        candidates = peers_to_query(self._members.ranked(now_s), self._members.own)
        if not candidates:
            return
        if any(now_s - at_s > UNANSWERED_S for at_s in self._asked_at_s.values()):
            self._source += 1
            self._asked_at_s.clear()
        self._question += 1
        self._asked_at_s[self._question] = now_s
        chosen = self._next_source(candidates)
        question = StateQuestion(
            self._question,
            self._state.configuration_revision,
            0 if self._lacks_entries else self._state.entry_items.revision,
        )
        self._send([chosen], question)

    def _next_source(self, candidates):
        """Return the instance to ask: one of the readers, seldom another one."""
        at = self._source % (READER_COUNT + 1)
        if at < min(READER_COUNT, len(candidates)):
            return candidates[at]
        self._source += 1
        return random.choice(candidates)

    def receive(self, datagram: Datagram, address: str) -> None:
        """Take in a message of another instance."""
        self._receive(datagram.message, datagram, address)

    @singledispatchmethod
    def _receive(self, message, datagram, address):
        raise TypeError(f"no handler for {type(message).__name__}")

    @_receive.register
    def _(self, message: MemberWords, datagram, address):
        now_s = self._clock()
        for member in self._members.merge(message.members, now_s):
            log.info("Instance appeared.", instance=member.name)
        if message.is_reply_wanted:
            own = self._members.own
            words = (own, *self._members.alive(now_s))
            self._socket.send([address], MemberWords(words, False))

    @_receive.register
    def _(self, message: Evidence, datagram, address):
        now_s = self._clock()
        source = source_of(datagram.sender, datagram.incarnation)
        self._state.upstreams.add_reports(message.upstreams, source, now_s)
        self._rates.take_instance(source, message.usages)

    @_receive.register
    def _(self, message: RegionUsage, datagram, address):
        self._rates.take_region(message.source, message.usages)
        near = self._members.in_region(self._clock())
        if all(member.name != datagram.sender for member in near):
            self._send(near, message)

    @_receive.register
    def _(self, message: StateQuestion, datagram, address):
        now_s = self._clock()
        age_s = self._state.freshness.age_s(now_s)
        answer = self._answer(message, min(age_s, NO_PROOF_S))
        if not self._socket.send([address], answer):
            log.warning("State too large for a datagram.", asked_by=datagram.sender)
            answer = answer._replace(configuration=(), entries=(), is_complete=False)
            answer = answer._replace(entries_revision=0, proof_age_s=NO_PROOF_S)
            self._socket.send([address], answer)

    @_receive.register
    def _(self, message: StateAnswer, datagram, address):
        asked_at_s = self._asked_at_s.pop(message.number, None)
        if asked_at_s is None:
            return
        if is_proof_current(message.proof_age_s):
            self._reading.record_answer(asked_at_s)
        else:
            self._source += 1
        state = self._state
        if message.proof_age_s < NO_PROOF_S:
            state.take_configuration_items(
                message.configuration, asked_at_s - message.proof_age_s
            )
        if message.entries_revision:
            state.take_entry_items(
                message.entries, message.entries_revision, message.is_complete
            )
            digest = state.entry_items.digest
            self._lacks_entries = digest != message.entries_digest

    def _answer(self, question, age_s) -> StateAnswer:
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

    def _any_seed(self):
        seeds = self._other_seeds()
        return [random.choice(seeds)] if seeds else []

    def _send(self, members, message):
        self._socket.send([member.peers_address for member in members], message)
