"""Detection and ejection of upstreams with gray failures."""

from .detector import (
    finished,
    observe,
    progressed,
    apply_catalogue,
    sent,
    started,
    tick,
)
from .messages import HealthReport
from .observations import (
    Abandoned,
    Answered,
    ConnectFailed,
    DrainingSeen,
    ErrorAnswer,
    Observation,
    ProbeAnswered,
    ProbeFailed,
    Shed,
    Stalled,
    Truncated,
)
from .probing import probes_due, receive, report
from .queries import (
    UpstreamStatus,
    eligible,
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
    "DrainingSeen",
    "ErrorAnswer",
    "HealthReport",
    "HealthState",
    "Observation",
    "ProbeAnswered",
    "ProbeFailed",
    "RoundTrips",
    "Shed",
    "Stalled",
    "Truncated",
    "UpstreamStatus",
    "eligible",
    "is_eligible",
    "finished",
    "observe",
    "probes_due",
    "progressed",
    "apply_catalogue",
    "receive",
    "report",
    "silent_upstreams",
    "sent",
    "snapshot",
    "started",
    "tick",
    "weight",
]
