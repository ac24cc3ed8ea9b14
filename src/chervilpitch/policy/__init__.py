"""Decisions of the gateway: pure code without clock, network or randomness."""

from .belief import Belief
from .budget import RetryBudget
from .directory import addresses_for
from .freshness import Freshness, FreshnessLimits
from .latency import LatencyBaseline
from .listing import UpstreamListing
from .members import OTHER_REGION_ALIVE_S, Member, MemberState, MemberTable
from .overload import is_overloaded, retry_after_s
from .placement import Choice, Location, UpstreamTable
from .quota import AccountUsage, FleetBucket, UsageTotals
from .reading import READERS, ReadingState, is_current, sources
from .replica import ItemReplica
from .routes import RouteTable, pick_service
from .upstream_state import UpstreamReport, UpstreamState

__all__ = [
    "OTHER_REGION_ALIVE_S",
    "READERS",
    "AccountUsage",
    "Belief",
    "Choice",
    "FleetBucket",
    "Freshness",
    "FreshnessLimits",
    "ItemReplica",
    "LatencyBaseline",
    "Location",
    "Member",
    "MemberState",
    "MemberTable",
    "ReadingState",
    "RetryBudget",
    "RouteTable",
    "UpstreamListing",
    "UpstreamReport",
    "UpstreamState",
    "UpstreamTable",
    "UsageTotals",
    "addresses_for",
    "is_current",
    "is_overloaded",
    "pick_service",
    "retry_after_s",
    "sources",
]
