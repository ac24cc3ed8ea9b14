"""Decision logic of the gateway, without access to clock, network or randomness."""

from .budget import RetryBudget
from .directory import addresses_for
from .failure_estimate import FailureEstimate
from .freshness import Freshness, FreshnessLimits
from .latency import LatencyBaseline
from .listing import UpstreamListing
from .members import OTHER_REGION_ALIVE_S, Member, MemberState, MemberTable
from .overload import is_overloaded, retry_after_s
from .placement import Choice, Location, UpstreamTable
from .quota import AccountUsage, FleetBucket, UsageTotals
from .reader_election import (
    READER_COUNT,
    ReaderElection,
    is_proof_current,
    peers_to_query,
)
from .replica import ItemReplica
from .routes import RouteTable, pick_service
from .upstream_state import UpstreamReport, UpstreamState

__all__ = [
    "OTHER_REGION_ALIVE_S",
    "READER_COUNT",
    "AccountUsage",
    "Choice",
    "FailureEstimate",
    "FleetBucket",
    "Freshness",
    "FreshnessLimits",
    "ItemReplica",
    "LatencyBaseline",
    "Location",
    "Member",
    "MemberState",
    "MemberTable",
    "ReaderElection",
    "RetryBudget",
    "RouteTable",
    "UpstreamListing",
    "UpstreamReport",
    "UpstreamState",
    "UpstreamTable",
    "UsageTotals",
    "addresses_for",
    "is_overloaded",
    "is_proof_current",
    "peers_to_query",
    "pick_service",
    "retry_after_s",
]
