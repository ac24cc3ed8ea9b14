"""Messages with which instances ask each other for the revision in force."""

from typing import NamedTuple

__all__ = ["RevisionAnswer", "RevisionQuestion"]


class RevisionQuestion(NamedTuple):
    """Ask a peer for its revision in force.

    Parameters
    ----------
    number : int
        Number of the question, increasing within one incarnation.
    """

    number: int


class RevisionAnswer(NamedTuple):
    """Answer to a `RevisionQuestion`.

    Parameters
    ----------
    number : int
        Number of the question that it answers.
    revision : int
        Revision in force at the sender.
    """

    number: int
    revision: int
