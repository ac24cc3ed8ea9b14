"""The view of the fleet as the status command shows it."""

from typing import TypedDict

from .view import MembershipState, instance_statuses

__all__ = ["InstanceSnapshot", "snapshot"]


class InstanceSnapshot(TypedDict):
    """One instance as the status command shows it."""

    name: str
    seat: int
    failure_domain: str
    callers_address: str
    condition: str
    two_way: bool
    listed: bool
    neighbour: bool


def snapshot(state: MembershipState, now_s: float) -> tuple[InstanceSnapshot, ...]:
    """Return the view for the status command, by seat and name.

    Parameters
    ----------
    state : MembershipState
        State.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of InstanceSnapshot
        One entry per instance known.
    """
    ordered = sorted(
        instance_statuses(state, now_s).values(),
        key=lambda s: (s.instance.seat, s.instance),
    )
    return tuple(
        InstanceSnapshot(
            name=standing.instance.name,
            seat=standing.instance.seat,
            failure_domain=standing.instance.failure_domain,
            callers_address=standing.instance.callers_address,
            condition=standing.condition.value,
            two_way=standing.two_way,
            listed=standing.listed,
            neighbour=standing.instance.name in state.expected_since_s,
        )
        for standing in ordered
    )
