"""Messages by which instances ask each other for the revision in force."""

from typing import NamedTuple

__all__ = ["RevisionAnswer", "RevisionQuestion"]


class RevisionQuestion(NamedTuple):
    """Ask a peer for its revision in force.

    Parameters
    ----------
    number : int
        Number of the question, rising within one incarnation.
    """

    number: int


class RevisionAnswer(NamedTuple):
    """Answer to a question.

    Parameters
    ----------
    number : int
        Number of the question answered.
    revision : int
        Revision in force at the sender.
    """

    number: int
    revision: int
