"""Answers of the platform, as the shell passes them on."""

from typing import NamedTuple

__all__ = ["PlatformEvent", "PlatformFailed", "PlatformHead", "PlatformValue"]


class PlatformHead(NamedTuple):
    """The head of the published notes; it may come from a stale replica.

    Parameters
    ----------
    revision : int
        Revision of the newest note; 0 when none is published.
    digest : str
        Its digest; empty when none is published.
    """

    revision: int
    digest: str


class PlatformValue(NamedTuple):
    """A value that was read.

    Parameters
    ----------
    name : str
        Name of the value.
    data : bytes
        The value; empty when there is none.
    """

    name: str
    data: bytes


class PlatformFailed(NamedTuple):
    """A read that brought no answer.

    Parameters
    ----------
    name : str
        Name of the value asked for.
    """

    name: str


PlatformEvent = PlatformHead | PlatformValue | PlatformFailed
