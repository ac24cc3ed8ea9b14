"""Probes of upstreams and the reports between instances that trigger them."""

from chervilpitch.model import Effect, Sender

from . import ejection
from .messages import HealthReport
from .state import HealthState

__all__ = ["probes_due", "receive", "report"]

REPORT_TTL_S = 10.0
REPORT_INTERVAL_S = 1.0
PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 2.0
MAX_REPORTED_UPSTREAMS = 64


def receive(
    state: HealthState, message: HealthReport, sender: Sender, now_s: float
) -> tuple[Effect, ...]:
    """Handle a report of another instance.

    Each upstream in it that is in use and not ejected here is probed and gets a
    lower weight for a short time.

    Parameters
    ----------
    state : HealthState
        Changed in place.
    message : HealthReport
        The upstreams that the other instance has ejected.
    sender : Sender
        The other instance.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Always empty.
    """
    now_s = state.advance_clock(now_s)
    for name in message.ejected[:MAX_REPORTED_UPSTREAMS]:
        record = state.upstreams.get(name)
        if record is None or record.ejected_until_at_s is not None:
            continue
        if now_s >= record.reported_until_at_s:
            state.update(name, probe_at_s=min(record.probe_at_s, now_s))
        state.update(name, reported_until_at_s=now_s + REPORT_TTL_S)
    return ()


def report(state: HealthState, now_s: float) -> HealthReport | None:
    """Return the report to send to peers, if one is due.

    Parameters
    ----------
    state : HealthState
        Changed in place.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    HealthReport or None
        None if nothing is ejected or the last report is too recent.
    """
    now_s = state.advance_clock(now_s)
    ejected = [
        name
        for name, record in sorted(state.upstreams.items())
        if record.ejected_until_at_s is not None
    ]
    if not ejected or not state.try_start_report(now_s, now_s + REPORT_INTERVAL_S):
        return None
    return HealthReport(tuple(ejected[:MAX_REPORTED_UPSTREAMS]))


def probes_due(state: HealthState, now_s: float) -> tuple[str, ...]:
    """Return the upstreams to probe now, at a limited rate.

    Parameters
    ----------
    state : HealthState
        Changed in place.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of str
        At most one name. Pass the result of the probe to :func:`observe`.
    """
    now_s = state.advance_clock(now_s)
    due = [
        (record.probe_at_s, name)
        for name, record in state.upstreams.items()
        if record.probe_at_s <= now_s and not ejection.is_draining(state, name, now_s)
    ]
    if not due or not state.try_start_probe(now_s, now_s + PROBE_INTERVAL_S):
        return ()
    name = min(due)[1]
    state.update(name, probe_at_s=now_s + PROBE_TIMEOUT_S)
    return (name,)
