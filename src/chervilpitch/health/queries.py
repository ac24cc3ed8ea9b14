"""Queries about upstreams: who may get requests, how many, and the status page."""

from collections.abc import Mapping
from typing import NamedTuple

from . import ejection
from .evidence import doubt, is_silent
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
        Evidence against it.
    weight : float
        Share of its usual traffic.
    in_flight : int
        Exchanges in flight from this instance.
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
    now_s = state.clock(now_s)
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
    return ejection.is_eligible(state, upstream_name, state.clock(now_s))


def weight(state: HealthState, upstream_name: str, now_s: float) -> float:
    """Return the share of its usual traffic that an upstream should get.

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
        1 for a healthy one, less while it ramps up, when peers report it or when
        it fails without being ejected; 0 when it must get nothing.

    Notes
    -----
    The weight stays whole until the evidence is enough for an ejection. Lowering
    it earlier would slow the evidence down.
    """
    now_s = state.clock(now_s)
    if not ejection.is_eligible(state, upstream_name, now_s):
        return 0.0
    trusted = 1.0
    if doubt(state, upstream_name, now_s) >= EJECT_SCORE:
        trusted = FAILING_WEIGHT
    if now_s < state.upstreams[upstream_name].doubted_until_at_s:
        trusted *= REPORTED_WEIGHT
    return trusted * ejection.ramp(state, upstream_name, now_s)


def silent_upstreams(state: HealthState, now_s: float) -> tuple[str, ...]:
    """Return the upstreams whose idle connections should be closed.

    Parameters
    ----------
    state : HealthState
        Not changed.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of str
        Names of upstreams; the next exchanges there should use fresh connections.
    """
    now_s = state.clock(now_s)
    busy = {exchange.upstream for exchange in state.exchanges.values()}
    in_use = sorted(busy & state.upstreams.keys())
    return tuple(name for name in in_use if is_silent(state, name, now_s))


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
    now_s = state.clock(now_s)
    return {name: _status(state, name, now_s) for name in sorted(state.upstreams)}


def _status(state, name, now_s):
    record = state.upstreams[name]
    return UpstreamStatus(
        name=name,
        service=record.upstream.service,
        state=_word(state, name, now_s),
        doubt=doubt(state, name, now_s),
        weight=weight(state, name, now_s),
        in_flight=len(state.in_flight(name)),
        ejected_until_at_s=record.ejected_until_at_s,
    )


def _word(state, name, now_s):
    if ejection.is_draining(state, name, now_s):
        return "draining"
    if state.upstreams[name].ejected_until_at_s is not None:
        return "ejected"
    return "ramping" if ejection.ramp(state, name, now_s) < 1.0 else "healthy"
