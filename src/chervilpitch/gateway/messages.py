"""Messages between gateway instances."""

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
    """Return the name under which an incarnation counts admitted requests.

    Parameters
    ----------
    instance : str
        Name of the instance.
    incarnation : int
        Start time of its process in Unix milliseconds.

    Examples
    --------
    >>> source_of("front-1", 1700000000000)
    'front-1:1700000000000'
    """
    return f"{instance}:{incarnation}"


def incarnation_of(source: str) -> int:
    """Return the start time of a source's instance in Unix milliseconds.

    Raises
    ------
    ValueError
        The name does not end with ``:`` and a number as :func:`source_of` writes it.
    """
    return int(source.rpartition(":")[2])


class MemberWords(NamedTuple):
    """Members that the sender knows, itself first.

    Parameters
    ----------
    members : tuple of Member
        Instances with a recent heartbeat.
    is_reply_wanted : bool
        Whether the receiver replies with the members that it knows.
    """

    members: tuple[Member, ...]
    is_reply_wanted: bool


class Evidence(NamedTuple):
    """The sender's reports on upstreams and its counters of admitted requests.

    Parameters
    ----------
    upstreams : tuple of UpstreamReport
        Reports on upstreams whose state has changed.
    usages : tuple of AccountUsage
        Counters of client accounts that have changed.
    """

    upstreams: tuple[UpstreamReport, ...]
    usages: tuple[AccountUsage, ...]


class RegionUsage(NamedTuple):
    """Requests that the instances of a region have admitted together.

    Parameters
    ----------
    source : str
        Incarnation that has added up the counters, as :func:`source_of` names it;
        the counters of a new incarnation start at zero.
    usages : tuple of AccountUsage
        Counters of client accounts.
    """

    source: str
    usages: tuple[AccountUsage, ...]


class StateQuestion(NamedTuple):
    """Request for the store's state as the receiver knows it.

    Parameters
    ----------
    number : int
        Number of the request; the answer repeats it.
    configuration_revision : int
        Revision at which the sender's configuration was written; 0 for none.
    entries_revision : int
        Revision up to which the sender knows entries; 0 to request all of them.
    """

    number: int
    configuration_revision: int
    entries_revision: int


class StateAnswer(NamedTuple):
    """The part of the store's state that the requesting instance lacks.

    Parameters
    ----------
    number : int
        Number of the request.
    proof_age_s : float
        Age in seconds of the proof that the configuration is the newest one.
    configuration_revision : int
        Revision at which the newest configuration was written.
    configuration : tuple of StoreItem
        The configuration, if it is newer than the requesting instance's.
    entries_revision : int
        Revision up to which the answering instance knows entries.
    entries : tuple of StoreItem
        Entries of upstreams that have changed, or all of them.
    is_complete : bool
        Whether ``entries`` is the complete list.
    entries_digest : int
        Checksum of all entries that the answering instance knows.
    """

    number: int
    proof_age_s: float
    configuration_revision: int
    configuration: tuple[StoreItem, ...]
    entries_revision: int
    entries: tuple[StoreItem, ...]
    is_complete: bool
    entries_digest: int
