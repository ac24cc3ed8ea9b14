"""Probes of upstreams and reports between instances that prompt them."""

from chervilpitch.model import Effect, Sender

from . import ejection
from .messages import HealthReport
from .state import HealthState

__all__ = ["probes_due", "receive", "report"]

REPORT_LIFE_S = 10.0
REPORT_EVERY_S = 1.0
PROBE_GAP_S = 0.5
PROBE_WAIT_S = 2.0
MAX_REPORTED = 64


def receive(
    state: HealthState, message: HealthReport, sender: Sender, now_s: float
) -> tuple[Effect, ...]:
    """Take in a peer's report: it prompts a probe and lowers a weight.

    Parameters
    ----------
    state : HealthState
        Changed in place.
    message : HealthReport
        The peer's ejections.
    sender : Sender
        The peer.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Always empty.
    """
    now_s = state.advance(now_s)
    for name in message.ejected[:MAX_REPORTED]:
        record = state.upstreams.get(name)
        if record is None or record.ejected_until_at_s is not None:
            continue
        if now_s >= record.doubted_until_at_s:
            state.replace(name, probe_at_s=min(record.probe_at_s, now_s))
        state.replace(name, doubted_until_at_s=now_s + REPORT_LIFE_S)
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
        None when nothing is ejected or the last report is recent.
    """
    now_s = state.advance(now_s)
    ejected = [
        name
        for name, record in sorted(state.upstreams.items())
        if record.ejected_until_at_s is not None
    ]
    if not ejected or not state.take_report_turn(now_s, now_s + REPORT_EVERY_S):
        return None
    return HealthReport(tuple(ejected[:MAX_REPORTED]))


def probes_due(state: HealthState, now_s: float) -> tuple[str, ...]:
    """Return the upstreams to probe now, at a bounded rate.

    Parameters
    ----------
    state : HealthState
        Changed in place.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of str
        At most one name; the answer goes to :func:`observe`.
    """
    now_s = state.advance(now_s)
    due = [
        (record.probe_at_s, name)
        for name, record in state.upstreams.items()
        if record.probe_at_s <= now_s and not ejection.is_draining(state, name, now_s)
    ]
    if not due or not state.take_probe_turn(now_s, now_s + PROBE_GAP_S):
        return ()
    name = min(due)[1]
    state.replace(name, probe_at_s=now_s + PROBE_WAIT_S)
    return (name,)
