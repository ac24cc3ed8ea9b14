"""Questions to peers for their revision in force."""

from functools import singledispatch
from typing import NamedTuple

from chervilpitch.model import Effect, Send, Sender

from .freshness import Freshness, record_peer_answer
from .messages import RevisionAnswer, RevisionQuestion

__all__ = ["QuestionState", "receive", "tick"]

QUESTION_PERIOD_S = 2.0
FORGET_AFTER_S = 5.0


class _Asked(NamedTuple):
    asked_at_s: float
    forget_at_s: float
    peer: str


class QuestionState:
    """Questions that may still be answered.

    Parameters
    ----------
    freshness : Freshness
        Evidence that the answers add to.
    """

    def __init__(self, freshness: Freshness):
        self._freshness = freshness
        self._asked: dict[int, _Asked] = {}
        self._last_number = 0
        self._ask_at_s = float("-inf")

    @property
    def freshness(self) -> Freshness:
        """Evidence that the answers add to."""
        return self._freshness

    def is_due(self, now_s: float) -> bool:
        """Return whether peers are to be asked again."""
        return now_s >= self._ask_at_s

    def ask(self, peer: str, now_s: float) -> RevisionQuestion:
        """Return a new question and remember when it was asked."""
        self._last_number += 1
        self._ask_at_s = now_s + QUESTION_PERIOD_S
        asked = _Asked(now_s, now_s + FORGET_AFTER_S, peer)
        self._asked[self._last_number] = asked
        return RevisionQuestion(self._last_number)

    def take(self, number: int, peer: str) -> float | None:
        """Return when a question was asked; each is answered once."""
        asked = self._asked.get(number)
        if asked is None or asked.peer != peer:
            return None
        del self._asked[number]
        return asked.asked_at_s

    def forget(self, now_s: float) -> None:
        """Drop the questions that will not be answered any more."""
        expired = [n for n, asked in self._asked.items() if asked.forget_at_s <= now_s]
        for number in expired:
            del self._asked[number]


def tick(state: QuestionState, now_s: float) -> tuple[Effect, ...]:
    """Ask peers when it is due.

    Parameters
    ----------
    state : QuestionState
        Changed in place.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        The questions.
    """
    state.forget(now_s)
    if not state.is_due(now_s):
        return ()
    peers = state.freshness.region_peers + state.freshness.remote_peers
    return tuple(Send(peer, state.ask(peer, now_s)) for peer in peers)


@singledispatch
def receive(
    message, state: QuestionState, sender: Sender, now_s: float
) -> tuple[Effect, ...]:
    """Take a question or an answer of a peer.

    Parameters
    ----------
    message : RevisionQuestion or RevisionAnswer
        The message.
    state : QuestionState
        Changed in place.
    sender : Sender
        Its authenticated sender.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        The answer to a question.
    """
    raise TypeError(type(message))


@receive.register
def _(message: RevisionQuestion, state, sender, now_s):
    answer = RevisionAnswer(message.number, state.freshness.revision)
    return (Send(sender.name, answer),)


@receive.register
def _(message: RevisionAnswer, state, sender, now_s):
    asked_at_s = state.take(message.number, sender.name)
    if asked_at_s is None:
        return ()
    return record_peer_answer(
        state.freshness, sender, message.revision, asked_at_s, now_s
    )
