"""Messages between gateway instances."""

from typing import NamedTuple

from chervilpitch.model import StoreItem
from chervilpitch.policy import AccountUsage, Member, ServiceLoad, UpstreamReport

__all__ = [
    "UNSTATED_ERA",
    "Evidence",
    "InstanceEvidence",
    "MemberRecords",
    "RegionLoads",
    "RegionUsage",
    "RelayedEvidence",
    "SourcedEvidence",
    "StateAnswer",
    "StateQuestion",
    "group_source_of",
    "incarnation_of",
    "others_source_of",
    "region_of",
    "region_source_of",
    "source_of",
]

REGION_MARK = "/region/"
UNSTATED_ERA = -1
"""Era in messages of builds that don't know eras."""


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


def group_source_of(aggregator: str, incarnation: int) -> str:
    """Return the name under which an aggregator counts the requests of its group.

    Parameters
    ----------
    aggregator : str
        Name of the aggregator.
    incarnation : int
        Start time of its process in Unix milliseconds.

    Examples
    --------
    >>> group_source_of("front-1", 1700000000000)
    'front-1/group:1700000000000'
    """
    return source_of(f"{aggregator}/group", incarnation)


def others_source_of(aggregator: str, incarnation: int) -> str:
    """Return the name under which an aggregator counts the requests of other groups.

    Parameters
    ----------
    aggregator : str
        Name of the aggregator.
    incarnation : int
        Start time of its process in Unix milliseconds.

    Examples
    --------
    >>> others_source_of("front-1", 1700000000000)
    'front-1/others:1700000000000'
    """
    return source_of(f"{aggregator}/others", incarnation)


def region_source_of(instance: str, region: str, incarnation: int) -> str:
    """Return the name under which an instance counts the requests of its region.

    Parameters
    ----------
    instance : str
        Name of the instance.
    region : str
        Name of the region.
    incarnation : int
        Start time of its process in Unix milliseconds.

    Examples
    --------
    >>> region_source_of("front-1", "north", 1700000000000)
    'front-1/region/north:1700000000000'
    """
    return source_of(f"{instance}{REGION_MARK}{region}", incarnation)


def region_of(source: str) -> str:
    """Return the region whose requests a source counts; empty if it states none.

    Examples
    --------
    >>> region_of("front-1/region/north:1700000000000"), region_of("front-1:17")
    ('north', '')
    """
    name = source.rpartition(":")[0]
    return name.partition(REGION_MARK)[2]


def incarnation_of(source: str) -> int:
    """Return the start time of a source's instance in Unix milliseconds.

    Raises
    ------
    ValueError
        The name does not end with ``:`` and a number as :func:`source_of` writes it.
    """
    return int(source.rpartition(":")[2])


class MemberRecords(NamedTuple):
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
    """Sums of an aggregator and its group, sent to the other aggregators.

    Parameters
    ----------
    upstreams : tuple of UpstreamReport
        Sums of the reports on upstreams whose state has changed.
    usages : tuple of AccountUsage
        Sums of the counters of admitted requests that have changed.
    is_continued : bool
        Whether a part of the counters was counted under another source.
    """

    upstreams: tuple[UpstreamReport, ...]
    usages: tuple[AccountUsage, ...]
    is_continued: bool = False


class InstanceEvidence(NamedTuple):
    """Reports and counters of one instance, sent to its aggregator.

    An empty one keeps the sender in the aggregator's group.

    Parameters
    ----------
    upstreams : tuple of UpstreamReport
        Reports on upstreams whose state has changed.
    usages : tuple of AccountUsage
        Counters of client accounts that have changed, or all of them in the first
        message to an aggregator.
    is_continued : bool
        Whether an earlier aggregator has already counted a part of the counters.
    aggregator_incarnation : int
        Incarnation of the aggregator that the counters are meant for, which counts
        what they state as not counted; 0 if the sender's build doesn't state it.
    """

    upstreams: tuple[UpstreamReport, ...]
    usages: tuple[AccountUsage, ...]
    is_continued: bool
    aggregator_incarnation: int = 0


class SourcedEvidence(NamedTuple):
    """Evidence that an aggregator passes on, with its source.

    Parameters
    ----------
    source : str
        Incarnation or sum of incarnations that reports, see :func:`source_of` and
        :func:`others_source_of`.
    upstreams : tuple of UpstreamReport
        Reports on upstreams.
    usages : tuple of AccountUsage
        Counters of client accounts.
    is_continued : bool
        Whether a part of the counters may have been counted before.
    is_sum : bool
        Whether the counters are those of several instances, added up.
    """

    source: str
    upstreams: tuple[UpstreamReport, ...]
    usages: tuple[AccountUsage, ...]
    is_continued: bool = False
    is_sum: bool = False


class RegionLoads(NamedTuple):
    """Loads from the instances of a region, stated by its reporter once a second.

    Parameters
    ----------
    region : str
        Region that states them.
    loads : tuple of ServiceLoad
        Loads by service and region of the upstreams.
    """

    region: str
    loads: tuple[ServiceLoad, ...]


class RelayedEvidence(NamedTuple):
    """All evidence that an aggregator has gathered, sent to its group.

    Parameters
    ----------
    items : tuple of SourcedEvidence
        Evidence of each instance of the group since the previous message, that of
        the receiver included, and sums for all instances outside the group.
    region_loads : tuple of RegionLoads
        Loads of regions that have arrived since the previous message.
    """

    items: tuple[SourcedEvidence, ...]
    region_loads: tuple[RegionLoads, ...] = ()


class RegionUsage(NamedTuple):
    """Tokens that the instances of a region have taken together.

    Parameters
    ----------
    source : str
        Incarnation that began the counters, as :func:`region_source_of` names it.
        Another instance that reports in its place continues them under this name.
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
    members_digest : int
        Checksum of the list of members that the sender has received; 0 for none.
    is_group_member : bool
        Whether the receiver is the sender's aggregator, so that the list of members
        is wanted if it has changed.
    entries_era : int
        Era of the store to which ``entries_revision`` belongs; ``UNSTATED_ERA`` if
        the sender's build doesn't know eras.
    configuration_version : int
        Version of the sender's configuration; 0 for none or if not stated.
    """

    number: int
    configuration_revision: int
    entries_revision: int
    members_digest: int = 0
    is_group_member: bool = False
    entries_era: int = UNSTATED_ERA
    configuration_version: int = 0


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
    members_digest : int
        Checksum of the live members that the answering instance knows; 0 if the
        requesting instance is an aggregator.
    members : tuple of Member
        These members, if the requesting instance has another list.
    heard_share : float
        Share of the region's instances that the answering one heard recently.
    entries_era : int
        Era of the store to which ``entries`` belong; ``UNSTATED_ERA`` if the sender's
        build doesn't know eras.
    configuration_version : int
        Version of the configuration in force that the proof concerns; 0 if there is
        none or the sender's build doesn't state it.
    reader_status : int
        A :class:`ReaderStatus` of the sender.
    """

    number: int
    proof_age_s: float
    configuration_revision: int
    configuration: tuple[StoreItem, ...]
    entries_revision: int
    entries: tuple[StoreItem, ...]
    is_complete: bool
    entries_digest: int
    members_digest: int = 0
    members: tuple[Member, ...] = ()
    heard_share: float = 0.0
    entries_era: int = UNSTATED_ERA
    configuration_version: int = 0
    reader_status: int = 0
