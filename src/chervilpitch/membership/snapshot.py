"""View of the fleet in the format of the status command."""

from typing import TypedDict

from .view import MembershipState, instance_statuses

__all__ = ["InstanceSnapshot", "snapshot"]


class InstanceSnapshot(TypedDict):
    """One instance in the format of the status command."""

    name: str
    seat: int
    failure_domain: str
    callers_address: str
    condition: str
    two_way: bool
    listed: bool
    neighbour: bool


def snapshot(state: MembershipState, now_s: float) -> tuple[InstanceSnapshot, ...]:
    """Return the known instances for the status command, sorted by seat and name.

    Parameters
    ----------
    state : MembershipState
        Membership state.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of InstanceSnapshot
        One entry for each known instance.
    """
    ordered = sorted(
        instance_statuses(state, now_s).values(),
        key=lambda s: (s.instance.seat, s.instance),
    )
    return tuple(
        InstanceSnapshot(
            name=status.instance.name,
            seat=status.instance.seat,
            failure_domain=status.instance.failure_domain,
            callers_address=status.instance.callers_address,
            condition=status.condition.value,
            two_way=status.two_way,
            listed=status.listed,
            neighbour=status.instance.name in state.expected_since_s,
        )
        for status in ordered
    )
