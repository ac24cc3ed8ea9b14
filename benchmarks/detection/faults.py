"""Model faults as the outcome of a request at an upstream at a given time."""

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

__all__ = ["FAULTS", "Fault", "Outcome", "Service", "draw_outcome"]

CONNECT_TIMEOUT_S = 1.0
ERROR_RESPONSE_S = 0.01
FLAP_FAULT_S = 3.0
FLAP_CYCLE_S = 6.0
LATENCY_SIGMA = 0.5
TAIL_SHARE = 0.005
TAIL_FACTOR = 8.0
SHED_SHARE = 0.02
LARGE_REQUEST_SHARE = 0.05
LARGE_REQUEST_FACTOR = 10.0
LARGE_REQUEST_BYTES = 2_000_000


class Service(NamedTuple):
    """A service and the load that one of 36 instances sends to it."""

    name: str
    upstreams: int
    slots: int
    mean_latency_s: float
    timeout_s: float
    rate_per_s: float


class Fault(NamedTuple):
    """A fault of one upstream, or of all upstreams if it is fleet-wide.

    A harmless fault must not lead to an ejection.
    """

    name: str
    latency_factor: float = 1.0
    stall_probability: float = 0.0
    error_probability: float = 0.0
    truncate_probability: float = 0.0
    is_one_way_cut: bool = False
    stalls_reused_connections: bool = False
    is_flapping: bool = False
    is_fleet_wide: bool = False
    is_harmless: bool = False
    has_wrong_probes: bool = False


class Outcome(NamedTuple):
    """The observed end of a request, and its times in seconds after the start."""

    observation: Observation
    first_byte_s: float | None
    end_s: float


FAULTS = (
    Fault("none", is_harmless=True),
    Fault("slow x3", latency_factor=3.0),
    Fault("slow x10", latency_factor=10.0),
    Fault("stalled", stall_probability=1.0),
    Fault("half-answer", truncate_probability=1.0),
    Fault("errors 5%", error_probability=0.05),
    Fault("errors 10%", error_probability=0.1),
    Fault("errors 20%", error_probability=0.2),
    Fault("errors 50%", error_probability=0.5),
    Fault("flapping", error_probability=1.0, is_flapping=True),
    Fault("one-way cut", is_one_way_cut=True),
    Fault("lying health", latency_factor=10.0, has_wrong_probes=True),
    Fault("false alarm of health", is_harmless=True, has_wrong_probes=True),
    Fault("silent old connections", stalls_reused_connections=True, is_harmless=True),
    Fault("fleet-wide x5", latency_factor=5.0, is_fleet_wide=True, is_harmless=True),
    Fault(
        "fleet-wide errors 20%",
        error_probability=0.2,
        is_fleet_wide=True,
        is_harmless=True,
    ),
)


def is_active(fault: Fault, elapsed_s: float) -> bool:
    """Return whether a fault acts at a time after its start."""
    if elapsed_s < 0:
        return False
    return not fault.is_flapping or elapsed_s % FLAP_CYCLE_S < FLAP_FAULT_S


def draw_outcome(service, fault, elapsed_s, is_reused, request_bytes, rng) -> Outcome:
    """Draw the outcome of one request at an upstream with a fault."""
    is_acting = is_active(fault, elapsed_s)
    is_silent = (fault.is_one_way_cut or fault.stalls_reused_connections) and is_reused
    if is_acting and (is_silent or rng.random() < fault.stall_probability):
        return Outcome(Stalled(service.timeout_s), None, service.timeout_s)
    if is_acting and fault.is_one_way_cut:
        return Outcome(ConnectFailed(), None, CONNECT_TIMEOUT_S)
    if rng.random() < SHED_SHARE:
        return Outcome(Shed(), None, 0.001)
    if is_acting and rng.random() < fault.error_probability:
        return Outcome(ErrorResponse(500), None, ERROR_RESPONSE_S)
    latency_s = _draw_latency_s(service, request_bytes, rng) * (
        fault.latency_factor if is_acting else 1
    )
    end_s = latency_s + 0.002
    if is_acting and rng.random() < fault.truncate_probability:
        return Outcome(Truncated(), latency_s, end_s)
    if latency_s > service.timeout_s:
        return Outcome(Stalled(service.timeout_s), None, service.timeout_s)
    observation = Answered(latency_s, 2_000, end_s, 2, request_bytes)
    return Outcome(observation, latency_s, end_s)


def draw_request_bytes(rng) -> int:
    """Draw the size of a request; a few are large and take longer."""
    return LARGE_REQUEST_BYTES if rng.random() < LARGE_REQUEST_SHARE else 500


def _draw_latency_s(service, request_bytes, rng):
    median_s = service.mean_latency_s * math.exp(-(LATENCY_SIGMA**2) / 2)
    latency_s = median_s * rng.lognormvariate(0.0, LATENCY_SIGMA)
    if rng.random() < TAIL_SHARE:
        latency_s *= TAIL_FACTOR
    return latency_s * (
        LARGE_REQUEST_FACTOR if request_bytes == LARGE_REQUEST_BYTES else 1.0
    )
