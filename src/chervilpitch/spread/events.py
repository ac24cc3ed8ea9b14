"""Results of reads of the platform."""

from typing import NamedTuple

__all__ = ["PlatformEvent", "PlatformFailed", "PlatformHead", "PlatformValue"]


class PlatformHead(NamedTuple):
    """The head of the published notes, possibly read from a stale replica.

    Parameters
    ----------
    revision : int
        Revision of the newest note; 0 when none is published.
    digest : str
        Digest of that note; empty when none is published.
    """

    revision: int
    digest: str


class PlatformValue(NamedTuple):
    """A value read from the platform.

    Parameters
    ----------
    name : str
        Name of the value.
    data : bytes
        The value; empty if it does not exist.
    """

    name: str
    data: bytes


class PlatformFailed(NamedTuple):
    """A read of the platform that failed.

    Parameters
    ----------
    name : str
        Name of the requested value.
    """

    name: str


PlatformEvent = PlatformHead | PlatformValue | PlatformFailed
