"""Which addresses a caller should use."""

from collections.abc import Iterable

from .members import Member, MemberState

__all__ = ["addresses_for"]

MOST_ADDRESSES = 64
ENOUGH = 2


def addresses_for(
    members: Iterable[Member], region: str, failure_domain: str
) -> tuple[str, ...]:
    """Return addresses of serving instances, those near the caller alone if enough.

    Answers the loss of most instances of a failure domain: callers are then sent
    to the rest of the region, and to other regions when that is gone too. While the
    store is away for all, callers keep the instances that had a configuration.

    Parameters
    ----------
    members : iterable of Member
        Instances that were heard of lately.
    region, failure_domain : str
        Where the caller is.

    Returns
    -------
    tuple of str
        At most ``MOST_ADDRESSES`` hosts and ports.
    """
    known = tuple(members)
    serving = [item for item in known if item.state == MemberState.SERVING]
    if not serving:
        serving = [item for item in known if item.state == MemberState.STALE]
    near = [item for item in serving if item.failure_domain == failure_domain]
    if len(near) < ENOUGH:
        near = [item for item in serving if item.region == region]
    if len(near) < ENOUGH:
        near = serving
    return tuple(item.callers_address for item in near[:MOST_ADDRESSES])
