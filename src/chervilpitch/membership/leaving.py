"""The order of a graceful stop, which cuts no request."""

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

HAND_OVER_LIMIT_S = 5.0


class LeavePhase(StrEnum):
    """Phase of a graceful stop.

    ``RUNNING`` serves; ``LEAVING`` is out of the address answers and still serves
    whoever comes; ``DRAINING`` takes no new connection and finishes what runs;
    ``STOPPED`` may exit.
    """

    RUNNING = "running"
    LEAVING = "leaving"
    DRAINING = "draining"
    STOPPED = "stopped"


class CloseAfterResponses(NamedTuple):
    """Close each caller's connection after its next answer, and say so in it."""


class StopListening(NamedTuple):
    """Take no new connections; close each open one once it is idle."""


class HandOver(NamedTuple):
    """Give shares and records to other instances, and say when it is done."""


class Stop(NamedTuple):
    """Let the process exit.

    Parameters
    ----------
    cut : int
        Requests still running, which the exit cuts; 0 unless the platform's own
        limit came first.
    """

    cut: int


LeavingEffect = CloseAfterResponses | StopListening | HandOver | Stop | Record


class PendingWork(NamedTuple):
    """What the process still has to do.

    Parameters
    ----------
    running : int
        Requests begun and not yet answered whole.
    handed_over : bool
        Whether the handing over has been done.
    """

    running: int
    handed_over: bool = False


class LeavingState(NamedTuple):
    """State of a graceful stop; times are monotonic seconds.

    Parameters
    ----------
    phase : LeavePhase
        Current phase.
    linger_until_s : float or None
        When callers' answers that name this instance have run out.
    stop_by_s : float or None
        When the platform would kill the process; None for never.
    hand_over_by_s : float or None
        When to exit although the handing over is not done; None before it began.
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
        State.
    linger_until_s : float
        When callers' answers have run out, from :func:`linger_until`.
    stop_by_s : float or None
        When the platform would kill the process; None for never.

    Returns
    -------
    LeavingState
        New state.
    tuple of LeavingEffect
        What the shell is to do.

    Examples
    --------
    >>> state, effects = request_stop(LeavingState(), 62.0)
    >>> state.phase.value, effects[0]
    ('leaving', CloseAfterResponses())
    """
    if state.phase is not LeavePhase.RUNNING:
        return state, ()
    begun = LeavingState(LeavePhase.LEAVING, linger_until_s, stop_by_s)
    return begun, (CloseAfterResponses(), _record(begun.phase))


def advance_stop(
    state: LeavingState, load: PendingWork, now_s: float
) -> tuple[LeavingState, tuple[LeavingEffect, ...]]:
    """Go on to the next phase once its condition holds.

    Parameters
    ----------
    state : LeavingState
        State.
    load : PendingWork
        What the process still has to do.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    LeavingState
        New state.
    tuple of LeavingEffect
        What the shell is to do.
    """
    if state.phase in (LeavePhase.RUNNING, LeavePhase.STOPPED):
        return state, ()
    if state.stop_by_s is not None and now_s >= state.stop_by_s:
        return _stop(state, load.running)
    if state.phase is LeavePhase.LEAVING:
        return _drain(state, now_s)
    return _finish(state, load, now_s)


def _drain(
    state: LeavingState, now_s: float
) -> tuple[LeavingState, tuple[LeavingEffect, ...]]:
    if now_s < state.linger_until_s:
        return state, ()
    draining = state._replace(phase=LeavePhase.DRAINING)
    return draining, (StopListening(), _record(draining.phase))


def _finish(
    state: LeavingState, load: PendingWork, now_s: float
) -> tuple[LeavingState, tuple[LeavingEffect, ...]]:
    """Hand over after the last request, since requests change what is handed over."""
    if load.running:
        return state, ()
    if state.hand_over_by_s is None:
        handing_over = state._replace(hand_over_by_s=now_s + HAND_OVER_LIMIT_S)
        return handing_over, (HandOver(),)
    if load.handed_over or now_s >= state.hand_over_by_s:
        return _stop(state, 0)
    return state, ()


def _stop(
    state: LeavingState, cut: int
) -> tuple[LeavingState, tuple[LeavingEffect, ...]]:
    stopped = state._replace(phase=LeavePhase.STOPPED)
    detail = f"{cut} requests cut" if cut else ""
    return stopped, (_record(stopped.phase, detail), Stop(cut))


def _record(phase: LeavePhase, detail: str = "") -> Record:
    return Record(Event("membership", f"stop-{phase.value}", "", detail))
