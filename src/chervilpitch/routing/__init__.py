"""Route matching, choice of upstreams and fleet-wide connection limits."""

from .choice import (
    apply_catalogue,
    connections_allowed,
    release,
    reserve,
    reserve_probe,
)
from .match import RouteTable, build_table, match
from .state import RandomSource, Reservation, RoutingState
from .subset import ServiceShare, serving_seats, used_upstreams

__all__ = [
    "RandomSource",
    "Reservation",
    "RouteTable",
    "RoutingState",
    "ServiceShare",
    "apply_catalogue",
    "build_table",
    "connections_allowed",
    "match",
    "release",
    "reserve",
    "reserve_probe",
    "serving_seats",
    "used_upstreams",
]
