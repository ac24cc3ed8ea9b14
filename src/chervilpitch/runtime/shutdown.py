"""The graceful stop of one instance."""

import threading
from functools import singledispatchmethod

from chervilpitch import limits, membership, requests
from chervilpitch.membership import leaving
from chervilpitch.model import Record, region_of

from .cores import Cores
from .decisions import Decisions

__all__ = ["Shutdown"]

POLL_S = 0.1
HEIRS = 3


class Shutdown:
    """Carries out the phases of a graceful stop.

    Parameters
    ----------
    cores : Cores
        The decision cores.
    decisions : Decisions
        The request path's view of the cores.
    control : Control
        Knows the other instances.
    stop_within_s : float
        Seconds from the signal until the platform would end the process.
    end : callable
        Ends the servers; called once.
    """

    def __init__(self, cores: Cores, decisions: Decisions, control, stop_within_s, end):
        self._cores = cores
        self._decisions = decisions
        self._control = control
        self._stop_within_s = stop_within_s
        self._end = end
        self._state = leaving.LeavingState()
        self._handed_over = False
        self._thread = threading.Thread(target=self._run, daemon=True)

    @property
    def phase(self) -> leaving.LeavePhase:
        """Phase of the stop."""
        return self._state.phase

    def request(self) -> None:
        """Begin the stop; a second request changes nothing."""
        cores = self._cores
        with cores.lock:
            now_s = cores.clock()
            effects = membership.begin_leaving(cores.membership, now_s)
            linger_until_s = membership.linger_until(cores.membership)
            self._state, steps = leaving.request_stop(
                self._state, linger_until_s, now_s + self._stop_within_s
            )
        cores.carry_out(effects)
        self._take_all(steps)
        if steps:
            self._thread.start()

    def _run(self):
        pause = threading.Event()
        while self._state.phase is not leaving.LeavePhase.STOPPED:
            pause.wait(POLL_S)
            load = leaving.PendingWork(self._decisions.in_progress, self._handed_over)
            now_s = self._cores.clock()
            self._state, steps = leaving.advance_stop(self._state, load, now_s)
            self._take_all(steps)

    def _take_all(self, steps):
        for step in steps:
            self._take(step)

    @singledispatchmethod
    def _take(self, step):
        raise TypeError(type(step))

    @_take.register
    def _(self, step: Record):
        self._cores.carry_out((step,))

    @_take.register
    def _(self, step: leaving.CloseAfterResponses):
        self._decisions.close_after_answers()

    @_take.register
    def _(self, step: leaving.StopListening):
        self._decisions.refuse_new()

    @_take.register
    def _(self, step: leaving.HandOver):
        cores = self._cores
        with cores.lock:
            now_s = cores.clock()
            effects = limits.release_seat_and_loans(cores.limits, now_s)
            requests.close_unused_tickets(cores.records, now_s)
            effects += requests.hand_over(cores.records, self._heirs(), now_s)
        cores.carry_out(effects)
        self._handed_over = True

    @_take.register
    def _(self, step: leaving.Stop):
        self._end()

    def _heirs(self) -> tuple[str, ...]:
        region = region_of(self._cores.own.failure_domain)
        others = (
            item
            for item in self._control.instances.values()
            if item.name != self._cores.own.name
        )
        nearest = sorted(
            others, key=lambda i: (region_of(i.failure_domain) != region, i.name)
        )
        return tuple(item.name for item in nearest[:HEIRS])
