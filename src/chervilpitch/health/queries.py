"""Queries about upstreams: eligibility, weights and the status page."""

from collections.abc import Mapping
from typing import NamedTuple

from . import ejection
from .evidence import failure_score, is_reused_connection_overdue
from .scores import EJECT_SCORE
from .state import HealthState

__all__ = [
    "UpstreamStatus",
    "eligible_upstreams",
    "is_eligible",
    "silent_upstreams",
    "snapshot",
    "weight",
]

FAILING_WEIGHT = 0.1
REPORTED_WEIGHT = 0.5


class UpstreamStatus(NamedTuple):
    """One row of the status page.

    Parameters
    ----------
    name, service : str
        The upstream and its service.
    state : str
        ``"healthy"``, ``"ramping"``, ``"ejected"`` or ``"draining"``.
    doubt : float
        Failure score, a log-likelihood ratio.
    weight : float
        Share of its normal traffic.
    in_flight : int
        Number of exchanges in flight from this instance.
    ejected_until_at_s : float or None
        Earliest time of readmission.
    """

    name: str
    service: str
    state: str
    doubt: float
    weight: float
    in_flight: int
    ejected_until_at_s: float | None


def eligible_upstreams(
    state: HealthState, service: str, now_s: float
) -> tuple[str, ...]:
    """Return the upstreams of a service that may get new requests.

    Parameters
    ----------
    state : HealthState
        Not changed.
    service : str
        Name of the service.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of str
        Names of upstreams.
    """
    now_s = state.monotonic_time(now_s)
    names = state.services.get(service, ())
    return tuple(n for n in names if ejection.is_eligible(state, n, now_s))


def is_eligible(state: HealthState, upstream_name: str, now_s: float) -> bool:
    """Return whether an upstream may get new requests.

    Parameters
    ----------
    state : HealthState
        Not changed.
    upstream_name : str
        Name of an upstream in use.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        False while it is ejected or draining.
    """
    return ejection.is_eligible(state, upstream_name, state.monotonic_time(now_s))


def weight(state: HealthState, upstream_name: str, now_s: float) -> float:
    """Return the share of its normal traffic that an upstream should get.

    Parameters
    ----------
    state : HealthState
        Not changed.
    upstream_name : str
        Name of an upstream in use.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    float
        1 for a healthy upstream; less during the ramp, while other instances report
        it or if it fails without being ejected; 0 if it is ejected or draining.

    Notes
    -----
    The weight is not lowered before the score reaches the ejection threshold,
    because less traffic would delay the evidence.
    """
    now_s = state.monotonic_time(now_s)
    if not ejection.is_eligible(state, upstream_name, now_s):
        return 0.0
    factor = 1.0
    if failure_score(state, upstream_name, now_s) >= EJECT_SCORE:
        factor = FAILING_WEIGHT
    if now_s < state.upstreams[upstream_name].reported_until_at_s:
        factor *= REPORTED_WEIGHT
    return factor * ejection.ramp_weight(state, upstream_name, now_s)


def silent_upstreams(state: HealthState, now_s: float) -> tuple[str, ...]:
    """Return the upstreams whose idle connections should be closed.

    At these upstreams an exchange on a reused connection is overdue.

    Parameters
    ----------
    state : HealthState
        Not changed.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of str
        Names of upstreams; their next exchanges should open new connections.
    """
    now_s = state.monotonic_time(now_s)
    busy = {exchange.upstream for exchange in state.exchanges.values()}
    in_use = sorted(busy & state.upstreams.keys())
    return tuple(
        name for name in in_use if is_reused_connection_overdue(state, name, now_s)
    )


def snapshot(state: HealthState, now_s: float) -> Mapping[str, UpstreamStatus]:
    """Return the rows of the status page by name of upstream.

    Parameters
    ----------
    state : HealthState
        Not changed.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    mapping of str to UpstreamStatus
        One row for each upstream in use.
    """
    now_s = state.monotonic_time(now_s)
    return {name: _status(state, name, now_s) for name in sorted(state.upstreams)}


def _status(state, name, now_s):
    record = state.upstreams[name]
    return UpstreamStatus(
        name=name,
        service=record.upstream.service,
        state=_state_name(state, name, now_s),
        doubt=failure_score(state, name, now_s),
        weight=weight(state, name, now_s),
        in_flight=len(state.in_flight(name)),
        ejected_until_at_s=record.ejected_until_at_s,
    )


def _state_name(state, name, now_s):
    if ejection.is_draining(state, name, now_s):
        return "draining"
    if state.upstreams[name].ejected_until_at_s is not None:
        return "ejected"
    return "ramping" if ejection.ramp_weight(state, name, now_s) < 1.0 else "healthy"
