"""Detection and ejection of upstreams with gray failures."""

from .detector import (
    apply_catalogue,
    exchange_finished,
    exchange_started,
    observe,
    request_sent,
    response_progressed,
    tick,
)
from .messages import HealthReport
from .observations import (
    Abandoned,
    Answered,
    ConnectFailed,
    DrainAnnounced,
    ErrorResponse,
    Observation,
    ProbeFailed,
    ProbeSucceeded,
    Shed,
    Stalled,
    Truncated,
)
from .probing import probes_due, receive, report
from .queries import (
    UpstreamStatus,
    eligible_upstreams,
    is_eligible,
    silent_upstreams,
    snapshot,
    weight,
)
from .state import HealthState, RoundTrips

__all__ = [
    "Abandoned",
    "Answered",
    "ConnectFailed",
    "DrainAnnounced",
    "ErrorResponse",
    "HealthReport",
    "HealthState",
    "Observation",
    "ProbeFailed",
    "ProbeSucceeded",
    "RoundTrips",
    "Shed",
    "Stalled",
    "Truncated",
    "UpstreamStatus",
    "apply_catalogue",
    "eligible_upstreams",
    "exchange_finished",
    "exchange_started",
    "is_eligible",
    "observe",
    "probes_due",
    "receive",
    "report",
    "request_sent",
    "response_progressed",
    "silent_upstreams",
    "snapshot",
    "tick",
    "weight",
]
