"""Estimates of the cost of requests and of the work left at upstreams."""

from .accuracy import RouteWork, WorkAccuracy
from .cost_shape import CostShape
from .cost_table import CostTable, RequestCost, RequestTraits, unlearned_cost
from .own_work import OwnWork, PendingWork, QueueForecast
from .speed import SpeedEstimate

__all__ = [
    "CostShape",
    "CostTable",
    "OwnWork",
    "PendingWork",
    "QueueForecast",
    "RequestCost",
    "RequestTraits",
    "RouteWork",
    "SpeedEstimate",
    "WorkAccuracy",
    "unlearned_cost",
]
