"""Instances of the fleet: who is there and what is placed where."""

from .address import AddressAnswer, answer, linger_until, not_after_s
from .freshness import is_current, view_age
from .heartbeats import begin_leaving, receive, tick
from .homeseats import HomeSeats
from .leaving import LeavePhase, LeavingState, Load, advance, request_stop
from .listing import format_instances, parse_instances, shared_seats
from .messages import Announcement, Hello, Unheard
from .neighbours import neighbours
from .placement import rank, weight
from .section import ListProblem, ListProblemKind
from .snapshot import InstanceSnapshot, snapshot
from .standing import Condition, Standing
from .view import (
    MembershipState,
    follow_list,
    instances,
    standings,
)

__all__ = [
    "AddressAnswer",
    "Announcement",
    "Condition",
    "Hello",
    "HomeSeats",
    "InstanceSnapshot",
    "LeavePhase",
    "LeavingState",
    "Load",
    "ListProblem",
    "ListProblemKind",
    "MembershipState",
    "Standing",
    "Unheard",
    "advance",
    "answer",
    "begin_leaving",
    "follow_list",
    "format_instances",
    "instances",
    "is_current",
    "linger_until",
    "neighbours",
    "not_after_s",
    "parse_instances",
    "rank",
    "receive",
    "request_stop",
    "shared_seats",
    "snapshot",
    "standings",
    "tick",
    "view_age",
    "weight",
]
