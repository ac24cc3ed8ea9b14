"""Answers to other instances' questions for the store's state."""

from typing import NamedTuple

from chervilpitch.model import StoreItem
from chervilpitch.policy import ReaderStatus

from .messages import UNSTATED_ERA, StateAnswer, StateQuestion
from .region import RegionView
from .state import GatewayState

__all__ = ["NO_PROOF_AGE_S", "StateAnswers", "stated_era"]

NO_PROOF_AGE_S = 1e6
"""Age sent in an answer that carries no proof."""


class _SentEntries(NamedTuple):
    """Entries of upstreams in an answer.

    Parameters
    ----------
    revision : int
        Revision of the store that they reach up to; 0 for no entries.
    items : tuple of StoreItem
        The entries that have changed, or all of them.
    is_complete : bool
        Whether the items are all entries.
    """

    revision: int
    items: tuple[StoreItem, ...]
    is_complete: bool


class StateAnswers:
    """Answers from the state of this instance.

    Parameters
    ----------
    state : GatewayState
        State of this instance.
    region : RegionView
        Ranks and roles in the region.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, state: GatewayState, region: RegionView, clock):
        self._state = state
        self._members = state.members
        self._region = region
        self._clock = clock

    def build(
        self, question: StateQuestion, sender: str, reader_status: ReaderStatus
    ) -> StateAnswer:
        """Return the answer to a question.

        One that takes itself for an aggregator and is none here also gets the members
        that were heard of recently.

        Parameters
        ----------
        question : StateQuestion
            The question.
        sender : str
            Name of the instance that asks.
        reader_status : ReaderStatus
            Whether this instance reads the store.
        """
        answer = self._build_state(question, reader_status)
        if question.is_group_member:
            return self._add_members(answer, question.members_digest)
        if all(item.name != sender for item in self._region.other_aggregators):
            recent = self._members.to_relay(self._clock())
            return answer._replace(members=(self._members.own, *recent))
        return answer

    def without_state(self, answer: StateAnswer) -> StateAnswer:
        """Return an answer in place of one that is too large for a datagram."""
        return StateAnswer(
            answer.number,
            NO_PROOF_AGE_S,
            answer.configuration_revision,
            (),
            0,
            (),
            False,
            answer.entries_digest,
            reader_status=answer.reader_status,
        )

    def _build_state(self, question, reader_status) -> StateAnswer:
        entries = self._entries_to_send(question)
        age_s = self._state.freshness.age_s(self._clock())
        return StateAnswer(
            question.number,
            min(age_s, NO_PROOF_AGE_S),
            self._state.configuration_revision,
            self._newer_configuration(question),
            entries.revision,
            entries.items,
            entries.is_complete,
            self._state.entry_items.digest,
            entries_era=self._state.entry_items.era,
            configuration_version=self._state.configuration.version,
            reader_status=int(reader_status),
        )

    def _entries_to_send(self, question) -> _SentEntries:
        """Return the entries that the requesting instance lacks.

        These are all entries if it knows an earlier era or too little of this one, and
        none if it knows a later era than this instance.
        """
        replica = self._state.entry_items
        asked_era = stated_era(question.entries_era, replica.era)
        if asked_era > replica.era:
            return _SentEntries(0, (), False)
        changed = None
        if asked_era == replica.era and question.entries_revision:
            changed = replica.changes_since(question.entries_revision)
        if changed is None:
            return _SentEntries(replica.revision, replica.items, True)
        return _SentEntries(replica.revision, changed, False)

    def _newer_configuration(self, question) -> tuple[StoreItem, ...]:
        """Return the configuration if the question doesn't state it or a newer one."""
        configuration = self._state.configuration_item
        if configuration is None:
            return ()
        own_version = self._state.configuration.version
        if question.configuration_version:
            is_newer = own_version > question.configuration_version
        else:
            is_newer = configuration.revision > question.configuration_revision
        return (configuration,) if is_newer else ()

    def _add_members(self, answer, known_digest) -> StateAnswer:
        """Return an answer with the list of members, if the known one is another."""
        digest = self._region.known_digest
        return answer._replace(
            members_digest=digest,
            members=self._region.known if digest != known_digest else (),
            heard_share=self._members.heard_share(self._clock()),
        )


def stated_era(era: int, own_era: int) -> int:
    """Return an era in a message; builds that know no eras are taken to be in ours."""
    return own_era if era == UNSTATED_ERA else era
