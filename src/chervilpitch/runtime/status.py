"""Status page of an instance for operators."""

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
        Name and failure domain of the instance.
    incarnation : int
        Random number drawn at process start.
    revision : int
        Revision of the catalogue in force.
    digest : str
        Digest of the release note of that revision.
    evidence : str
        Kind of evidence that the revision is the newest; also ``none`` or ``behind``.
    holds_seat : bool
        Whether the instance holds the lease of its seat and may issue tokens.
    in_progress : int
        Number of requests in flight.
    peer_bytes : int
        Bytes sent to and received from other instances.
    instances, upstreams, shares : list
        Instances, upstreams and shares of client accounts in this instance's view.
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
        Decisions of the request path.
    counts : mapping of str to int
        Counters of the channel to other instances.

    Returns
    -------
    Status
        Data for JSON; contains no keys.
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
            in_progress=decisions.in_flight,
            peer_bytes=counts["bytes_sent"] + counts["bytes_received"],
            instances=list(membership.snapshot(cores.membership, now_s)),
            upstreams=[
                _to_plain_data(item)
                for item in health.snapshot(cores.health, now_s).values()
            ],
            shares=[
                _to_plain_data(item)
                for item in limits.account_shares(cores.limits, now_s)
            ],
        )


def _to_plain_data(item: Any) -> Any:
    return item._asdict() if hasattr(item, "_asdict") else item
