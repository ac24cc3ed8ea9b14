"""The faults, as what an upstream does with a request at a given time."""

import math
from typing import NamedTuple

from chervilpitch.health import (
    Answered,
    ConnectFailed,
    ErrorResponse,
    Observation,
    Shed,
    Stalled,
    Truncated,
)

__all__ = ["FAULTS", "Fault", "Outcome", "Service", "outcome_of"]

CONNECT_TIMEOUT_S = 1.0
FAST_ERROR_S = 0.01
FLAP_BAD_S = 3.0
FLAP_CYCLE_S = 6.0
LATENCY_SIGMA = 0.5
TAIL_SHARE = 0.005
TAIL_FACTOR = 8.0
SHED_SHARE = 0.02
BIG_SHARE = 0.05
BIG_FACTOR = 10.0
BIG_BYTES = 2_000_000


class Service(NamedTuple):
    """A service and the load that one of 36 instances brings to it."""

    name: str
    upstreams: int
    slots: int
    mean_s: float
    timeout_s: float
    rate_per_s: float


class Fault(NamedTuple):
    """A fault of one upstream, or of all when it is fleet-wide."""

    name: str
    slow: float = 1.0
    stalls: float = 0.0
    errors: float = 0.0
    truncates: float = 0.0
    cuts: bool = False
    silences_reused: bool = False
    flaps: bool = False
    is_fleet_wide: bool = False
    is_harmless: bool = False
    probes_lie: bool = False


class Outcome(NamedTuple):
    """How a request ends, and when."""

    observation: Observation
    first_byte_s: float | None
    end_s: float


FAULTS = (
    Fault("none", is_harmless=True),
    Fault("slow x3", slow=3.0),
    Fault("slow x10", slow=10.0),
    Fault("stalled", stalls=1.0),
    Fault("half-answer", truncates=1.0),
    Fault("errors 5%", errors=0.05),
    Fault("errors 10%", errors=0.1),
    Fault("errors 20%", errors=0.2),
    Fault("errors 50%", errors=0.5),
    Fault("flapping", errors=1.0, flaps=True),
    Fault("one-way cut", cuts=True),
    Fault("lying health", slow=10.0, probes_lie=True),
    Fault("false alarm of health", is_harmless=True, probes_lie=True),
    Fault("silent old connections", silences_reused=True, is_harmless=True),
    Fault("fleet-wide x5", slow=5.0, is_fleet_wide=True, is_harmless=True),
    Fault("fleet-wide errors 20%", errors=0.2, is_fleet_wide=True, is_harmless=True),
)


def is_on(fault: Fault, since_s: float) -> bool:
    """Return whether a fault acts, so long after its start."""
    if since_s < 0:
        return False
    return not fault.flaps or since_s % FLAP_CYCLE_S < FLAP_BAD_S


def outcome_of(service, fault, since_s, is_reused, request_bytes, rng) -> Outcome:
    """Draw what becomes of one request at an upstream with a fault."""
    acts = is_on(fault, since_s)
    silent = (fault.cuts or fault.silences_reused) and is_reused
    if acts and (silent or rng.random() < fault.stalls):
        return Outcome(Stalled(service.timeout_s), None, service.timeout_s)
    if acts and fault.cuts:
        return Outcome(ConnectFailed(), None, CONNECT_TIMEOUT_S)
    if rng.random() < SHED_SHARE:
        return Outcome(Shed(), None, 0.001)
    if acts and rng.random() < fault.errors:
        return Outcome(ErrorResponse(500), None, FAST_ERROR_S)
    latency_s = _latency_s(service, request_bytes, rng) * (fault.slow if acts else 1)
    end_s = latency_s + 0.002
    if acts and rng.random() < fault.truncates:
        return Outcome(Truncated(), latency_s, end_s)
    if latency_s > service.timeout_s:
        return Outcome(Stalled(service.timeout_s), None, service.timeout_s)
    answered = Answered(latency_s, 2_000, end_s, 2, request_bytes)
    return Outcome(answered, latency_s, end_s)


def draw_request_bytes(rng) -> int:
    """Draw the size of a request; a few are big and take long."""
    return BIG_BYTES if rng.random() < BIG_SHARE else 500


def _latency_s(service, request_bytes, rng):
    median_s = service.mean_s * math.exp(-(LATENCY_SIGMA**2) / 2)
    latency_s = median_s * rng.lognormvariate(0.0, LATENCY_SIGMA)
    if rng.random() < TAIL_SHARE:
        latency_s *= TAIL_FACTOR
    return latency_s * (BIG_FACTOR if request_bytes == BIG_BYTES else 1.0)
