"""The graceful stop of one instance."""

import threading
from functools import singledispatchmethod

from chervilpitch import limits, membership, requests
from chervilpitch.membership import leaving
from chervilpitch.model import Record, region_of

from .cores import Cores
from .decisions import Decisions

__all__ = ["Shutdown"]

POLL_INTERVAL_S = 0.1
MAX_RECEIVERS = 3


class Shutdown:
    """Run the phases of a graceful stop.

    Parameters
    ----------
    cores : Cores
        The decision cores.
    decisions : Decisions
        Decisions of the request path.
    control : Control
        Control plane; gives the known instances.
    stop_within_s : float
        Seconds from the signal until the platform ends the process.
    stop_servers : callable
        Stops the servers; called once, in the last phase.
    """

    def __init__(
        self, cores: Cores, decisions: Decisions, control, stop_within_s, stop_servers
    ):
        self._cores = cores
        self._decisions = decisions
        self._control = control
        self._stop_within_s = stop_within_s
        self._stop_servers = stop_servers
        self._state = leaving.LeavingState()
        self._is_handed_over = False
        self._thread = threading.Thread(target=self._run, daemon=True)

    @property
    def phase(self) -> leaving.LeavePhase:
        """Current phase of the stop."""
        return self._state.phase

    def request(self) -> None:
        """Begin the stop; idempotent."""
        cores = self._cores
        with cores.lock:
            now_s = cores.clock()
            effects = membership.begin_leaving(cores.membership, now_s)
            linger_until_s = membership.linger_until(cores.membership)
            self._state, steps = leaving.request_stop(
                self._state, linger_until_s, now_s + self._stop_within_s
            )
        cores.carry_out(effects)
        self._execute_all(steps)
        if steps:
            self._thread.start()

    def _run(self):
        pause = threading.Event()
        while self._state.phase is not leaving.LeavePhase.STOPPED:
            pause.wait(POLL_INTERVAL_S)
            pending = leaving.PendingWork(
                self._decisions.in_flight, self._is_handed_over
            )
            now_s = self._cores.clock()
            self._state, steps = leaving.advance_stop(self._state, pending, now_s)
            self._execute_all(steps)

    def _execute_all(self, steps):
        for step in steps:
            self._execute(step)

    @singledispatchmethod
    def _execute(self, step):
        raise TypeError(type(step))

    @_execute.register
    def _(self, step: Record):
        self._cores.carry_out((step,))

    @_execute.register
    def _(self, step: leaving.CloseAfterResponses):
        self._decisions.close_after_responses()

    @_execute.register
    def _(self, step: leaving.StopListening):
        self._decisions.refuse_new()

    @_execute.register
    def _(self, step: leaving.HandOver):
        cores = self._cores
        with cores.lock:
            now_s = cores.clock()
            effects = limits.release_seat_and_loans(cores.limits, now_s)
            requests.close_unused_tickets(cores.records, now_s)
            effects += requests.hand_over(
                cores.records, self._hand_over_receivers(), now_s
            )
        cores.carry_out(effects)
        self._is_handed_over = True

    @_execute.register
    def _(self, step: leaving.Stop):
        self._stop_servers()

    def _hand_over_receivers(self) -> tuple[str, ...]:
        region = region_of(self._cores.own.failure_domain)
        others = (
            item
            for item in self._control.instances.values()
            if item.name != self._cores.own.name
        )
        nearest = sorted(
            others, key=lambda i: (region_of(i.failure_domain) != region, i.name)
        )
        return tuple(item.name for item in nearest[:MAX_RECEIVERS])
