"""Periodic questions to peers for their revision in force."""

from functools import singledispatch
from typing import NamedTuple

from chervilpitch.model import Effect, Send, Sender

from .freshness import Freshness, record_peer_answer
from .messages import RevisionAnswer, RevisionQuestion

__all__ = ["QuestionState", "receive", "tick"]

QUESTION_INTERVAL_S = 2.0
QUESTION_TIMEOUT_S = 5.0


class _PendingQuestion(NamedTuple):
    asked_at_s: float
    expires_at_s: float
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
        self._pending: dict[int, _PendingQuestion] = {}
        self._last_number = 0
        self._next_round_at_s = float("-inf")

    @property
    def freshness(self) -> Freshness:
        """Evidence that the answers add to."""
        return self._freshness

    def is_due(self, now_s: float) -> bool:
        """Return whether the next round of questions is due."""
        return now_s >= self._next_round_at_s

    def new_question(self, peer: str, now_s: float) -> RevisionQuestion:
        """Return a new question and record when it was asked."""
        self._last_number += 1
        self._next_round_at_s = now_s + QUESTION_INTERVAL_S
        question = _PendingQuestion(now_s, now_s + QUESTION_TIMEOUT_S, peer)
        self._pending[self._last_number] = question
        return RevisionQuestion(self._last_number)

    def complete(self, number: int, peer: str) -> float | None:
        """Remove an answered question and return when it was asked.

        The result is None if no such question to the peer is pending, so each
        question is answered at most once.
        """
        question = self._pending.get(number)
        if question is None or question.peer != peer:
            return None
        del self._pending[number]
        return question.asked_at_s

    def remove_expired(self, now_s: float) -> None:
        """Remove the questions whose timeout has passed."""
        expired = [
            n for n, question in self._pending.items() if question.expires_at_s <= now_s
        ]
        for number in expired:
            del self._pending[number]


def tick(state: QuestionState, now_s: float) -> tuple[Effect, ...]:
    """Ask the peers if the next round of questions is due.

    Parameters
    ----------
    state : QuestionState
        The pending questions; modified in place.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        The questions.
    """
    state.remove_expired(now_s)
    if not state.is_due(now_s):
        return ()
    peers = state.freshness.region_peers + state.freshness.remote_peers
    return tuple(Send(peer, state.new_question(peer, now_s)) for peer in peers)


@singledispatch
def receive(
    message, state: QuestionState, sender: Sender, now_s: float
) -> tuple[Effect, ...]:
    """Handle a question or an answer of a peer.

    Parameters
    ----------
    message : RevisionQuestion or RevisionAnswer
        The message.
    state : QuestionState
        The pending questions; modified in place.
    sender : Sender
        Its authenticated sender.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        The answer to a question.

    Raises
    ------
    TypeError
        If the message is of another type.
    """
    raise TypeError(f"unsupported message type: {type(message).__name__}")


@receive.register
def _(message: RevisionQuestion, state, sender, now_s):
    answer = RevisionAnswer(message.number, state.freshness.revision)
    return (Send(sender.name, answer),)


@receive.register
def _(message: RevisionAnswer, state, sender, now_s):
    asked_at_s = state.complete(message.number, sender.name)
    if asked_at_s is None:
        return ()
    return record_peer_answer(
        state.freshness, sender, message.revision, asked_at_s, now_s
    )
