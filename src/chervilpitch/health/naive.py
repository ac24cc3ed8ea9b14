"""Detector with fixed thresholds and no capacity floor, for comparison."""

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

MAX_CONSECUTIVE_ERRORS = 5
MAX_MEAN_LATENCY_S = 0.25
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
    max_mean_latency_s : float
        Mean latency in seconds above which an upstream is ejected.
    """

    def __init__(self, max_mean_latency_s: float = MAX_MEAN_LATENCY_S) -> None:
        self._max_mean_latency_s = max_mean_latency_s
        self._records: dict[str, _Record] = {}

    @property
    def max_mean_latency_s(self) -> float:
        """Mean latency in seconds above which an upstream is ejected."""
        return self._max_mean_latency_s

    @property
    def records(self) -> Mapping[str, _Record]:
        """Health of each upstream, by name."""
        return self._records

    def update(self, name: str, **changes) -> _Record:
        """Change the record of one upstream and return it."""
        record = self._records[name] = self._records[name]._replace(**changes)
        return record

    def set_records(self, records: dict[str, _Record]) -> None:
        """Set the upstreams in use."""
        self._records = records


def observe(
    state: NaiveHealth, upstream_name: str, observation: Observation, now_s: float
) -> None:
    """Apply an observation.

    Parameters
    ----------
    state : NaiveHealth
        Changed in place.
    upstream_name : str
        Name of the upstream; an unknown one is ignored.
    observation : Observation
        The observation.
    now_s : float
        Monotonic time in seconds.
    """
    record = state.records.get(upstream_name)
    if record is None:
        return
    if isinstance(observation, DrainAnnounced):
        state.update(upstream_name, is_draining=True)
    elif isinstance(observation, ERRORS):
        record = state.update(upstream_name, errors=record.errors + 1)
    elif isinstance(observation, Answered):
        record.latencies.append(observation.latency_s)
        state.update(upstream_name, errors=0)
    if _is_failing(state, upstream_name):
        state.update(upstream_name, errors=0, ejected_until_at_s=now_s + EJECTION_S)
        record.latencies.clear()


def apply_catalogue(state: NaiveHealth, catalogue: Catalogue, now_s: float) -> None:
    """Apply the upstreams of a new catalogue.

    Parameters
    ----------
    state : NaiveHealth
        Changed in place.
    catalogue : Catalogue
        The catalogue to apply.
    now_s : float
        Monotonic time in seconds; not used.
    """
    records = {}
    for name, upstream in catalogue.upstreams.items():
        new = _Record(upstream, deque(maxlen=LATENCY_SAMPLES))
        record = state.records.get(name, new)
        records[name] = record._replace(upstream=upstream)
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
        Names of upstreams; may be empty.
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
    if record.errors >= MAX_CONSECUTIVE_ERRORS:
        return True
    if len(record.latencies) < LATENCY_SAMPLES:
        return False
    return fmean(record.latencies) > state.max_mean_latency_s
