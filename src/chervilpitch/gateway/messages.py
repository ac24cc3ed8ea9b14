"""Messages between the instances of a gateway."""

from typing import NamedTuple

from chervilpitch.model import StoreItem
from chervilpitch.policy import AccountUsage, Member, UpstreamReport

__all__ = [
    "Evidence",
    "MemberWords",
    "RegionUsage",
    "StateAnswer",
    "StateQuestion",
    "incarnation_of",
    "source_of",
]


def source_of(instance: str, incarnation: int) -> str:
    """Return the name of an incarnation's counters.

    Parameters
    ----------
    instance : str
        Name of the instance.
    incarnation : int
        Unix millisecond of its start.

    Examples
    --------
    >>> source_of("front-1", 1700000000000)
    'front-1:1700000000000'
    """
    return f"{instance}:{incarnation}"


def incarnation_of(source: str) -> int:
    """Return the Unix millisecond of the start of the instance that counts.

    Raises
    ------
    ValueError
        The name was not made by :func:`source_of`.
    """
    return int(source.rpartition(":")[2])


class MemberWords(NamedTuple):
    """What the sender knows of instances, its own word first.

    Parameters
    ----------
    members : tuple of Member
        Instances heard of lately.
    is_reply_wanted : bool
        Whether the receiver is to send what it knows.
    """

    members: tuple[Member, ...]
    is_reply_wanted: bool


class Evidence(NamedTuple):
    """What the sender has seen of upstreams and admitted of client accounts.

    Parameters
    ----------
    upstreams : tuple of UpstreamReport
        Upstreams whose state has changed.
    usages : tuple of AccountUsage
        Client accounts whose count has changed.
    """

    upstreams: tuple[UpstreamReport, ...]
    usages: tuple[AccountUsage, ...]


class RegionUsage(NamedTuple):
    """What the instances of a region have admitted together.

    Parameters
    ----------
    source : str
        Incarnation that has added up the counts, as :func:`source_of` names it; a
        new one begins anew.
    usages : tuple of AccountUsage
        Client accounts and counts.
    """

    source: str
    usages: tuple[AccountUsage, ...]


class StateQuestion(NamedTuple):
    """A question for the store's state that another instance reads.

    Parameters
    ----------
    number : int
        Number of the question; the answer bears it.
    configuration_revision : int
        Revision at which the configuration that the sender has was written.
    entries_revision : int
        Revision up to which the sender knows upstreams; 0 to get all of them.
    """

    number: int
    configuration_revision: int
    entries_revision: int


class StateAnswer(NamedTuple):
    """The store's state as far as the asker lacks it.

    Parameters
    ----------
    number : int
        Number of the question.
    proof_age_s : float
        Age in seconds of the proof that the configuration is the newest one.
    configuration_revision : int
        Revision at which the newest configuration was written.
    configuration : tuple of StoreItem
        The configuration, if the asker lacks it.
    entries_revision : int
        Revision up to which upstreams are known.
    entries : tuple of StoreItem
        Upstreams that have changed, or all of them.
    is_complete : bool
        Whether ``entries`` is the complete list.
    entries_digest : int
        Checksum of the upstreams that the answering instance knows.
    """

    number: int
    proof_age_s: float
    configuration_revision: int
    configuration: tuple[StoreItem, ...]
    entries_revision: int
    entries: tuple[StoreItem, ...]
    is_complete: bool
    entries_digest: int
