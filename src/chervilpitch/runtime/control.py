"""Control plane of an instance: timers, peer messages, release notes, lists."""

from collections.abc import Mapping
from functools import singledispatchmethod

from chervilpitch import (
    accounts,
    health,
    limits,
    membership,
    requests,
    routing,
    spread,
)
from chervilpitch.accounts import questions
from chervilpitch.model import Catalogue, Effect, Instance, Send, Sender

from .cores import Cores

__all__ = ["Control"]

HEALTH_TICK_INTERVAL_S = 0.1
COORDINATION_TICK_INTERVAL_S = 0.5


class Control:
    """Pass timer ticks, peer messages and platform reads to the decision cores.

    Parameters
    ----------
    cores : Cores
        The decision cores.
    """

    def __init__(self, cores: Cores):
        self._cores = cores
        self._instances: Mapping[str, Instance] = {}
        self._health_due_at_s = float("-inf")
        self._coordination_due_at_s = float("-inf")

    @property
    def instances(self) -> Mapping[str, Instance]:
        """Known instances by name, as of the last coordination tick."""
        return self._instances

    def receive(self, message, sender: Sender) -> None:
        """Pass a message from another instance to the core that handles it.

        Parameters
        ----------
        message : NamedTuple
            A message type of one of the decision packages.
        sender : Sender
            Authenticated name and incarnation of the sending instance.
        """
        cores = self._cores
        with cores.lock:
            cores.records.peer_tickets.record_incarnation(sender)
            effects = self._handle(message, sender, cores.clock())
        cores.carry_out(effects)

    def tick(self) -> None:
        """Run the timers that are due in every core; to be called every 50 ms."""
        cores = self._cores
        with cores.lock:
            now_s = cores.clock()
            effects = limits.tick(cores.limits, now_s)
            if now_s >= self._health_due_at_s:
                self._health_due_at_s = now_s + HEALTH_TICK_INTERVAL_S
                effects += self._tick_health(now_s)
            if now_s >= self._coordination_due_at_s:
                self._coordination_due_at_s = now_s + COORDINATION_TICK_INTERVAL_S
                effects += self._tick_coordination(now_s)
        cores.carry_out(effects)

    def handle_platform_event(self, event: spread.PlatformEvent) -> None:
        """Pass the result of a read of the configuration service to the cores.

        Parameters
        ----------
        event : PlatformEvent
            The result of the read.
        """
        cores = self._cores
        with cores.lock:
            effects = self._apply_new_catalogues(
                spread.handle_platform_event(cores.spread, event, cores.clock())
            )
        cores.carry_out(effects)

    def apply_list(self, listed: Mapping[str, Instance]) -> None:
        """Apply a new version of the published list of instances.

        Parameters
        ----------
        listed : mapping of str to Instance
            The listed instances, by name.
        """
        cores = self._cores
        with cores.lock:
            effects = membership.apply_list(cores.membership, listed, cores.clock())
        cores.carry_out(effects)

    def record_platform_revision(self, revision: int, asked_at_s: float) -> None:
        """Record the newest revision reported by the configuration service.

        Parameters
        ----------
        revision : int
            The newest revision.
        asked_at_s : float
            Monotonic time in seconds at which the read began.
        """
        cores = self._cores
        with cores.lock:
            effects = accounts.record_platform_answer(
                cores.freshness, revision, asked_at_s, cores.clock()
            )
        cores.carry_out(effects)

    def _tick_health(self, now_s) -> tuple[Effect, ...]:
        effects = health.tick(self._cores.health, now_s)
        return effects + self._build_health_reports(now_s)

    def _tick_coordination(self, now_s) -> tuple[Effect, ...]:
        cores = self._cores
        effects = membership.tick(cores.membership, now_s)
        effects += self._update_instances(now_s)
        effects += questions.tick(cores.questions, now_s)
        effects += accounts.tick(cores.freshness, now_s)
        effects += requests.tick(cores.records, now_s)
        return effects + self._apply_new_catalogues(spread.tick(cores.spread, now_s))

    def _update_instances(self, now_s) -> tuple[Effect, ...]:
        cores = self._cores
        known = membership.instances(cores.membership, now_s)
        if known == self._instances:
            return ()
        self._instances = dict(known)
        effects = limits.update_instances(cores.limits, known, now_s)
        effects += accounts.update_instances(cores.freshness, known, now_s)
        effects += requests.update_instances(cores.records, known, now_s)
        effects += self._apply_new_catalogues(
            spread.update_instances(cores.spread, known, now_s)
        )
        return effects

    def _apply_new_catalogues(self, effects) -> tuple[Effect, ...]:
        """Apply new catalogues at once and return the other effects."""
        other_effects: tuple[Effect, ...] = ()
        for effect in effects:
            if isinstance(effect, spread.ApplyCatalogue):
                other_effects += self._apply_catalogue(effect.catalogue)
            else:
                other_effects += (effect,)
        self._cores.suspended = spread.suspended(self._cores.spread)
        return other_effects

    def _apply_catalogue(self, catalogue: Catalogue) -> tuple[Effect, ...]:
        cores = self._cores
        now_s = cores.clock()
        cores.catalogue = catalogue
        effects = accounts.apply_catalogue(cores.freshness, catalogue, now_s)
        effects += limits.apply_catalogue(cores.limits, catalogue, now_s)
        effects += routing.apply_catalogue(cores.routing, catalogue, now_s)
        return effects

    def _build_health_reports(self, now_s) -> tuple[Effect, ...]:
        cores = self._cores
        report = health.report(cores.health, now_s)
        if report is None:
            return ()
        return tuple(Send(name, report) for name in cores.membership.expected_since_s)

    @singledispatchmethod
    def _handle(self, message, sender, now_s):
        return limits.receive(self._cores.limits, message, sender, now_s)

    @_handle.register
    def _(self, message: membership.Hello, sender, now_s):
        return membership.receive(self._cores.membership, message, sender, now_s)

    @_handle.register
    def _(self, message: health.HealthReport, sender, now_s):
        return health.receive(self._cores.health, message, sender, now_s)

    @_handle.register
    def _(self, message: requests.FinalOutcomes, sender, now_s):
        return requests.receive(message, self._cores.records, sender, now_s)

    @_handle.register
    def _(
        self,
        message: accounts.RevisionQuestion | accounts.RevisionAnswer,
        sender,
        now_s,
    ):
        return questions.receive(message, self._cores.questions, sender, now_s)

    @_handle.register
    def _(
        self,
        message: (
            spread.RevisionAdvert
            | spread.NoteRequest
            | spread.NotesReply
            | spread.SnapshotRequest
            | spread.SnapshotPart
        ),
        sender,
        now_s,
    ):
        return self._apply_new_catalogues(
            spread.receive(self._cores.spread, message, sender, now_s)
        )
