"""Selection of the instance addresses returned to a caller."""

from collections.abc import Iterable

from .members import Member, MemberState

__all__ = ["addresses_for"]

MAX_ADDRESSES = 64
MIN_NEAR_ADDRESSES = 2


def addresses_for(
    members: Iterable[Member], region: str, failure_domain: str
) -> tuple[str, ...]:
    """Return the addresses of serving instances, preferring those near the caller.

    If a failure domain has lost most of its instances, the addresses are those of
    the whole region, or of all regions if the region has too few as well. If no
    instance is serving, as during a store outage that affects all of them, the
    stale instances are returned, which still have a configuration.

    Parameters
    ----------
    members : iterable of Member
        Instances with a recent heartbeat.
    region, failure_domain : str
        Location of the caller.

    Returns
    -------
    tuple of str
        At most ``MAX_ADDRESSES`` hosts and ports.
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
    return tuple(item.callers_address for item in near[:MAX_ADDRESSES])
