"""Membership of the fleet: failure detection, graceful stop and placement."""

from .address import (
    AddressSelection,
    linger_until,
    remaining_lifetime_s,
    select_addresses,
)
from .freshness import is_current, view_age_s
from .heartbeats import begin_leaving, receive, tick
from .homeseats import HomeSeatCache
from .leaving import LeavePhase, LeavingState, PendingWork, advance_stop, request_stop
from .listing import format_instances, parse_instances, shared_seats
from .messages import Announcement, Hello, Unheard
from .neighbours import neighbours
from .placement import rank, weight
from .section import ListProblem, ListProblemKind
from .snapshot import InstanceSnapshot, snapshot
from .status import Condition, InstanceStatus
from .view import (
    MembershipState,
    apply_list,
    instance_statuses,
    instances,
)

__all__ = [
    "AddressSelection",
    "Announcement",
    "Condition",
    "Hello",
    "HomeSeatCache",
    "InstanceSnapshot",
    "InstanceStatus",
    "LeavePhase",
    "LeavingState",
    "ListProblem",
    "ListProblemKind",
    "MembershipState",
    "PendingWork",
    "Unheard",
    "advance_stop",
    "apply_list",
    "begin_leaving",
    "format_instances",
    "instance_statuses",
    "instances",
    "is_current",
    "linger_until",
    "neighbours",
    "parse_instances",
    "rank",
    "receive",
    "remaining_lifetime_s",
    "request_stop",
    "select_addresses",
    "shared_seats",
    "snapshot",
    "tick",
    "view_age_s",
    "weight",
]
