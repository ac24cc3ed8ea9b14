"""What an instance tells operators of itself."""

from collections.abc import Mapping
from typing import Any, TypedDict

from chervilpitch import accounts, health, limits, membership

from .cores import Cores
from .decisions import Decisions

__all__ = ["Status", "status"]


class Status(TypedDict):
    """Status of one instance.

    Attributes
    ----------
    instance, failure_domain : str
        Who it is.
    incarnation : int
        Random number drawn when its process started.
    revision : int
        Revision in force.
    digest : str
        Digest of that release note.
    evidence : str
        What its trust in the revision rests on.
    holds_seat : bool
        Whether it may mint the rates of its seat.
    in_progress : int
        Requests in progress.
    peer_bytes : int
        Bytes sent to and received from other instances.
    instances, upstreams, shares : list
        The fleet, the upstreams and the accounts in use as it sees them.
    """

    instance: str
    failure_domain: str
    incarnation: int
    revision: int
    digest: str
    evidence: str
    holds_seat: bool
    in_progress: int
    peer_bytes: int
    instances: list[Any]
    upstreams: list[Any]
    shares: list[Any]


def status(cores: Cores, decisions: Decisions, counts: Mapping[str, int]) -> Status:
    """Return the status of an instance.

    Parameters
    ----------
    cores : Cores
        The decision cores.
    decisions : Decisions
        The request path's view of the cores.
    counts : mapping of str to int
        Counters of the peers' channel.

    Returns
    -------
    Status
        Plain data; holds no key.
    """
    with cores.lock:
        now_s = cores.clock()
        return Status(
            instance=cores.own.name,
            failure_domain=cores.own.failure_domain,
            incarnation=cores.sender.incarnation,
            revision=cores.catalogue.revision,
            digest=cores.catalogue.digest,
            evidence=accounts.current_evidence(cores.freshness, now_s).value,
            holds_seat=cores.limits.lease.holds(now_s),
            in_progress=decisions.in_progress,
            peer_bytes=counts["bytes_sent"] + counts["bytes_received"],
            instances=list(membership.snapshot(cores.membership, now_s)),
            upstreams=[
                _plain(item) for item in health.snapshot(cores.health, now_s).values()
            ],
            shares=[
                _plain(item) for item in limits.account_shares(cores.limits, now_s)
            ],
        )


def _plain(item: Any) -> Any:
    return item._asdict() if hasattr(item, "_asdict") else item
