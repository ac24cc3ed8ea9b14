"""Phases of a graceful stop that does not interrupt requests."""

from enum import StrEnum
from typing import NamedTuple

from chervilpitch.model import Event, Record

__all__ = [
    "CloseAfterResponses",
    "HandOver",
    "LeavePhase",
    "LeavingEffect",
    "LeavingState",
    "PendingWork",
    "Stop",
    "StopListening",
    "advance_stop",
    "request_stop",
]

HAND_OVER_TIMEOUT_S = 5.0


class LeavePhase(StrEnum):
    """Phase of a graceful stop.

    ``RUNNING`` serves requests. ``LEAVING`` is no longer selected for callers but
    still serves every request. ``DRAINING`` accepts no new connections and finishes
    the running requests. ``STOPPED`` may exit.
    """

    RUNNING = "running"
    LEAVING = "leaving"
    DRAINING = "draining"
    STOPPED = "stopped"


class CloseAfterResponses(NamedTuple):
    """Close each caller's connection after its next response, which announces it."""


class StopListening(NamedTuple):
    """Accept no new connections and close each open one once it is idle."""


class HandOver(NamedTuple):
    """Hand over shares and records to other instances and report the completion."""


class Stop(NamedTuple):
    """Let the process exit.

    Parameters
    ----------
    interrupted_requests : int
        Number of running requests that the exit interrupts; 0 unless the
        platform's deadline came first.
    """

    interrupted_requests: int


LeavingEffect = CloseAfterResponses | StopListening | HandOver | Stop | Record


class PendingWork(NamedTuple):
    """Work that remains before the process may exit.

    Parameters
    ----------
    running_requests : int
        Number of requests whose response is not complete.
    handed_over : bool
        Whether the handover is complete.
    """

    running_requests: int
    handed_over: bool = False


class LeavingState(NamedTuple):
    """State of a graceful stop; times are monotonic seconds.

    Parameters
    ----------
    phase : LeavePhase
        Current phase.
    linger_until_s : float or None
        Time at which all address selections with this instance have expired.
    stop_by_s : float or None
        Time at which the platform would kill the process; None for never.
    hand_over_by_s : float or None
        Time at which to exit even if the handover is incomplete; None before the
        handover starts.
    """

    phase: LeavePhase = LeavePhase.RUNNING
    linger_until_s: float | None = None
    stop_by_s: float | None = None
    hand_over_by_s: float | None = None


def request_stop(
    state: LeavingState, linger_until_s: float, stop_by_s: float | None = None
) -> tuple[LeavingState, tuple[LeavingEffect, ...]]:
    """Begin a graceful stop; a second request changes nothing.

    Parameters
    ----------
    state : LeavingState
        Current state.
    linger_until_s : float
        Monotonic time in seconds at which all address selections with this
        instance have expired, from :func:`linger_until`.
    stop_by_s : float or None
        Monotonic time in seconds at which the platform would kill the process;
        None for never.

    Returns
    -------
    LeavingState
        New state.
    tuple of LeavingEffect
        Effects that the caller must carry out.

    Examples
    --------
    >>> state, effects = request_stop(LeavingState(), 62.0)
    >>> state.phase.value, effects[0]
    ('leaving', CloseAfterResponses())
    """
    if state.phase is not LeavePhase.RUNNING:
        return state, ()
    leaving = LeavingState(LeavePhase.LEAVING, linger_until_s, stop_by_s)
    return leaving, (CloseAfterResponses(), _record(leaving.phase))


def advance_stop(
    state: LeavingState, pending: PendingWork, now_s: float
) -> tuple[LeavingState, tuple[LeavingEffect, ...]]:
    """Advance to the next phase of the stop if its condition holds.

    Parameters
    ----------
    state : LeavingState
        Current state.
    pending : PendingWork
        Work that remains before the process may exit.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    LeavingState
        New state.
    tuple of LeavingEffect
        Effects that the caller must carry out.
    """
    if state.phase in (LeavePhase.RUNNING, LeavePhase.STOPPED):
        return state, ()
    if state.stop_by_s is not None and now_s >= state.stop_by_s:
        return _stop(state, pending.running_requests)
    if state.phase is LeavePhase.LEAVING:
        return _start_draining_when_due(state, now_s)
    return _finish_stop(state, pending, now_s)


def _start_draining_when_due(
    state: LeavingState, now_s: float
) -> tuple[LeavingState, tuple[LeavingEffect, ...]]:
    if now_s < state.linger_until_s:
        return state, ()
    draining = state._replace(phase=LeavePhase.DRAINING)
    return draining, (StopListening(), _record(draining.phase))


def _finish_stop(
    state: LeavingState, pending: PendingWork, now_s: float
) -> tuple[LeavingState, tuple[LeavingEffect, ...]]:
    """Hand over after the last request, because requests change the data to send."""
    if pending.running_requests:
        return state, ()
    if state.hand_over_by_s is None:
        handing_over = state._replace(hand_over_by_s=now_s + HAND_OVER_TIMEOUT_S)
        return handing_over, (HandOver(),)
    if pending.handed_over or now_s >= state.hand_over_by_s:
        return _stop(state, 0)
    return state, ()


def _stop(
    state: LeavingState, interrupted_requests: int
) -> tuple[LeavingState, tuple[LeavingEffect, ...]]:
    stopped = state._replace(phase=LeavePhase.STOPPED)
    detail = f"{interrupted_requests} requests cut" if interrupted_requests else ""
    return stopped, (_record(stopped.phase, detail), Stop(interrupted_requests))


def _record(phase: LeavePhase, detail: str = "") -> Record:
    return Record(Event("membership", f"stop-{phase.value}", "", detail))
