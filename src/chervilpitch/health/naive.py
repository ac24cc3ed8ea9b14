"""Plain detector with fixed thresholds, for comparison: it keeps no floor."""

from collections import deque
from collections.abc import Mapping
from statistics import fmean
from typing import NamedTuple

from chervilpitch.model import Catalogue, Upstream

from .observations import (
    Answered,
    ConnectFailed,
    DrainAnnounced,
    ErrorResponse,
    Observation,
    ProbeFailed,
    Stalled,
    Truncated,
)

__all__ = ["NaiveHealth", "eligible_upstreams", "observe", "apply_catalogue"]

ERRORS_IN_A_ROW = 5
LATENCY_BOUND_S = 0.25
LATENCY_SAMPLES = 10
EJECTION_S = 30.0
ERRORS = (ConnectFailed, ErrorResponse, ProbeFailed, Stalled, Truncated)


class _Record(NamedTuple):
    upstream: Upstream
    latencies: deque
    errors: int = 0
    ejected_until_at_s: float = float("-inf")
    is_draining: bool = False


class NaiveHealth:
    """Health of upstreams by fixed thresholds.

    Parameters
    ----------
    latency_bound_s : float
        Mean latency in seconds above which an upstream is ejected.
    """

    def __init__(self, latency_bound_s: float = LATENCY_BOUND_S) -> None:
        self._latency_bound_s = latency_bound_s
        self._records: dict[str, _Record] = {}

    @property
    def latency_bound_s(self) -> float:
        """Mean latency in seconds above which an upstream is ejected."""
        return self._latency_bound_s

    @property
    def records(self) -> Mapping[str, _Record]:
        """Belief about each upstream, by name."""
        return self._records

    def replace(self, name: str, **changes) -> _Record:
        """Change the belief about one upstream and return it."""
        record = self._records[name] = self._records[name]._replace(**changes)
        return record

    def set_records(self, records: dict[str, _Record]) -> None:
        """Set the upstreams in use."""
        self._records = records


def observe(
    state: NaiveHealth, upstream_name: str, observation: Observation, now_s: float
) -> None:
    """Take in an observation.

    Parameters
    ----------
    state : NaiveHealth
        Changed in place.
    upstream_name : str
        Name of the upstream.
    observation : Observation
        What was seen.
    now_s : float
        Monotonic time in seconds.
    """
    record = state.records.get(upstream_name)
    if record is None:
        return
    if isinstance(observation, DrainAnnounced):
        state.replace(upstream_name, is_draining=True)
    elif isinstance(observation, ERRORS):
        record = state.replace(upstream_name, errors=record.errors + 1)
    elif isinstance(observation, Answered):
        record.latencies.append(observation.latency_s)
        state.replace(upstream_name, errors=0)
    if _is_failing(state, upstream_name):
        state.replace(upstream_name, errors=0, ejected_until_at_s=now_s + EJECTION_S)
        record.latencies.clear()


def apply_catalogue(state: NaiveHealth, catalogue: Catalogue, now_s: float) -> None:
    """Follow the upstreams of a new catalogue.

    Parameters
    ----------
    state : NaiveHealth
        Changed in place.
    catalogue : Catalogue
        The catalogue now in force.
    now_s : float
        Monotonic time in seconds; not used.
    """
    records = {}
    for name, upstream in catalogue.upstreams.items():
        fresh = _Record(upstream, deque(maxlen=LATENCY_SAMPLES))
        held = state.records.get(name, fresh)
        records[name] = held._replace(upstream=upstream)
    state.set_records(records)


def eligible_upstreams(
    state: NaiveHealth, service: str, now_s: float
) -> tuple[str, ...]:
    """Return the upstreams of a service that may get new requests.

    Parameters
    ----------
    state : NaiveHealth
        Not changed.
    service : str
        Name of the service.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of str
        Names of upstreams; there may be none.
    """
    return tuple(
        name
        for name, record in sorted(state.records.items())
        if record.upstream.service == service
        and not record.upstream.draining
        and not record.is_draining
        and now_s >= record.ejected_until_at_s
    )


def _is_failing(state, name):
    record = state.records[name]
    if record.errors >= ERRORS_IN_A_ROW:
        return True
    if len(record.latencies) < LATENCY_SAMPLES:
        return False
    return fmean(record.latencies) > state.latency_bound_s
