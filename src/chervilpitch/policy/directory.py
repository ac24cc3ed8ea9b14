"""Selection of the instance addresses returned to a caller."""

from collections.abc import Iterable

from .instance_weights import weighted_members
from .members import Member, MemberState

__all__ = ["addresses_for"]

MIN_NEAR_ADDRESSES = 2


def addresses_for(
    members: Iterable[Member], region: str, failure_domain: str, offset: float = 0.0
) -> tuple[str, ...]:
    """Return the addresses of serving instances, preferring those near the caller.

    If a failure domain has lost most of its instances, the addresses are those of
    the whole region, or of all regions if the region has too few as well. If no
    instance is serving, as during a store outage that affects all of them, the
    stale instances are returned, which still have a configuration.

    Callers choose one of the addresses with equal probability. Where capacities
    differ, addresses are repeated so that this choice follows capacity.

    Parameters
    ----------
    members : iterable of Member
        Instances with a recent heartbeat.
    region, failure_domain : str
        Location of the caller.
    offset : float
        Number from 0 to 1 that differs between the instances that answer, see
        :func:`weighted_members`.

    Returns
    -------
    tuple of str
        At most ``MAX_ADDRESSES`` hosts and ports, some of them repeated.
    """
    known = tuple(members)
    serving = [item for item in known if item.state == MemberState.SERVING]
    if not serving:
        serving = [item for item in known if item.state == MemberState.STALE]
    near = [item for item in serving if item.failure_domain == failure_domain]
    if len(near) < MIN_NEAR_ADDRESSES:
        near = [item for item in serving if item.region == region]
    if len(near) < MIN_NEAR_ADDRESSES:
        near = serving
    return tuple(item.callers_address for item in weighted_members(near, offset))
