"""Decision logic of the gateway, without access to clock, network or randomness."""

from .admission import (
    PRIORITY_CLASSES,
    AdmissionLevel,
    AdmissionRequest,
    effective_priority,
)
from .aggregation import (
    AggregatorSelection,
    Group,
    aggregators_of,
    is_aggregator,
    preferred_aggregators,
)
from .budget import RetryBudget
from .directory import addresses_for
from .failure_estimate import FailureEstimate
from .framing import FramingAllowance, ParsingTurn
from .freshness import Freshness, FreshnessLimits
from .isolation import Contact, rate_share, share_heard
from .latency import LatencyBaseline
from .listing import UpstreamListing
from .members import (
    OTHER_REGION_ALIVE_S,
    Member,
    MemberState,
    MemberTable,
    members_digest,
    rank,
)
from .overload import admission_limit_s, is_overloaded, retry_after_s
from .placement import Choice, Location, UpstreamTable
from .quota import FleetBucket
from .reader_election import (
    READER_COUNT,
    ReaderElection,
    is_proof_current,
    peers_to_query,
)
from .region_capacity import RegionCapacity, ServiceLoad
from .replica import ItemReplica
from .report_loss import ReportLoss
from .report_totals import ReportTotals
from .routes import RouteTable, pick_service
from .stopping import PlannedStop
from .store_calls import ReaderStatus, StoreCalls, StoreStream
from .store_era import StoreEra
from .upstream_records import UpstreamReport
from .upstream_state import UpstreamState
from .usage import (
    AccountUsage,
    ContinuedUsage,
    GroupUsage,
    OwnUsage,
    ReportedUsage,
    UsageCounters,
)

__all__ = [
    "ReportLoss",
    "OTHER_REGION_ALIVE_S",
    "PRIORITY_CLASSES",
    "READER_COUNT",
    "AccountUsage",
    "AdmissionLevel",
    "AdmissionRequest",
    "AggregatorSelection",
    "Choice",
    "Contact",
    "FailureEstimate",
    "FleetBucket",
    "FramingAllowance",
    "Freshness",
    "FreshnessLimits",
    "Group",
    "GroupUsage",
    "ItemReplica",
    "LatencyBaseline",
    "Location",
    "Member",
    "MemberState",
    "MemberTable",
    "OwnUsage",
    "ParsingTurn",
    "PlannedStop",
    "ReaderElection",
    "RegionCapacity",
    "ReaderStatus",
    "ReportTotals",
    "ContinuedUsage",
    "ReportedUsage",
    "RetryBudget",
    "RouteTable",
    "ServiceLoad",
    "StoreCalls",
    "StoreEra",
    "StoreStream",
    "UpstreamListing",
    "UpstreamReport",
    "UpstreamState",
    "UpstreamTable",
    "UsageCounters",
    "addresses_for",
    "admission_limit_s",
    "effective_priority",
    "aggregators_of",
    "is_aggregator",
    "is_overloaded",
    "is_proof_current",
    "members_digest",
    "peers_to_query",
    "pick_service",
    "preferred_aggregators",
    "rank",
    "rate_share",
    "retry_after_s",
    "share_heard",
]
