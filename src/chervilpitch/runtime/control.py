"""What an instance does beside requests: ticks, messages, notes and lists."""

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

HEALTH_PERIOD_S = 0.1
FLEET_PERIOD_S = 0.5


class Control:
    """Drives the decision cores of one instance.

    Parameters
    ----------
    cores : Cores
        The decision cores.
    """

    def __init__(self, cores: Cores):
        self._cores = cores
        self._instances: Mapping[str, Instance] = {}
        self._health_due_at_s = float("-inf")
        self._fleet_due_at_s = float("-inf")

    @property
    def instances(self) -> Mapping[str, Instance]:
        """Instances known, by name."""
        return self._instances

    def receive(self, message, sender: Sender) -> None:
        """Take a message of a peer.

        Parameters
        ----------
        message : NamedTuple
            A message of one of the decision packages.
        sender : Sender
            Its authenticated origin.
        """
        cores = self._cores
        with cores.lock:
            cores.records.peer_tickets.record_incarnation(sender)
            effects = self._take(message, sender, cores.clock())
        cores.carry_out(effects)

    def tick(self) -> None:
        """Do what falls due in every core; call it every 50 ms."""
        cores = self._cores
        with cores.lock:
            now_s = cores.clock()
            effects = limits.tick(cores.limits, now_s)
            if now_s >= self._health_due_at_s:
                self._health_due_at_s = now_s + HEALTH_PERIOD_S
                effects += self._tick_health(now_s)
            if now_s >= self._fleet_due_at_s:
                self._fleet_due_at_s = now_s + FLEET_PERIOD_S
                effects += self._tick_fleet(now_s)
        cores.carry_out(effects)

    def platform_answered(self, event: spread.PlatformEvent) -> None:
        """Take an answer of the configuration service.

        Parameters
        ----------
        event : PlatformEvent
            The answer.
        """
        cores = self._cores
        with cores.lock:
            effects = self._spread(
                spread.platform_answered(cores.spread, event, cores.clock())
            )
        cores.carry_out(effects)

    def apply_list(self, listed: Mapping[str, Instance]) -> None:
        """Follow the published list of instances.

        Parameters
        ----------
        listed : mapping of str to Instance
            The list, by name.
        """
        cores = self._cores
        with cores.lock:
            effects = membership.apply_list(cores.membership, listed, cores.clock())
        cores.carry_out(effects)

    def platform_heard(self, revision: int, asked_at_s: float) -> None:
        """Note what the platform showed as its newest revision.

        Parameters
        ----------
        revision : int
            The revision.
        asked_at_s : float
            Monotonic time in seconds at which it was asked.
        """
        cores = self._cores
        with cores.lock:
            effects = accounts.record_platform_answer(
                cores.freshness, revision, asked_at_s, cores.clock()
            )
        cores.carry_out(effects)

    def _tick_health(self, now_s) -> tuple[Effect, ...]:
        effects = health.tick(self._cores.health, now_s)
        return effects + self._health_reports(now_s)

    def _tick_fleet(self, now_s) -> tuple[Effect, ...]:
        cores = self._cores
        effects = membership.tick(cores.membership, now_s)
        effects += self._follow_instances(now_s)
        effects += questions.tick(cores.questions, now_s)
        effects += accounts.tick(cores.freshness, now_s)
        effects += requests.tick(cores.records, now_s)
        return effects + self._spread(spread.tick(cores.spread, now_s))

    def _follow_instances(self, now_s) -> tuple[Effect, ...]:
        cores = self._cores
        known = membership.instances(cores.membership, now_s)
        if known == self._instances:
            return ()
        self._instances = dict(known)
        effects = limits.update_instances(cores.limits, known, now_s)
        effects += accounts.update_instances(cores.freshness, known, now_s)
        effects += requests.update_instances(cores.records, known, now_s)
        effects += self._spread(spread.follow_instances(cores.spread, known, now_s))
        return effects

    def _spread(self, effects) -> tuple[Effect, ...]:
        """Put catalogues in force at once and return the other effects."""
        rest: tuple[Effect, ...] = ()
        for effect in effects:
            if isinstance(effect, spread.PutInForce):
                rest += self._put_in_force(effect.catalogue)
            else:
                rest += (effect,)
        self._cores.suspended = spread.suspended(self._cores.spread)
        return rest

    def _put_in_force(self, catalogue: Catalogue) -> tuple[Effect, ...]:
        cores = self._cores
        now_s = cores.clock()
        cores.catalogue = catalogue
        effects = accounts.apply_catalogue(cores.freshness, catalogue, now_s)
        effects += limits.apply_catalogue(cores.limits, catalogue, now_s)
        effects += routing.apply_catalogue(cores.routing, catalogue, now_s)
        return effects

    def _health_reports(self, now_s) -> tuple[Effect, ...]:
        cores = self._cores
        report = health.report(cores.health, now_s)
        if report is None:
            return ()
        return tuple(Send(name, report) for name in cores.membership.expected_since_s)

    @singledispatchmethod
    def _take(self, message, sender, now_s):
        return limits.receive(self._cores.limits, message, sender, now_s)

    @_take.register
    def _(self, message: membership.Hello, sender, now_s):
        return membership.receive(self._cores.membership, message, sender, now_s)

    @_take.register
    def _(self, message: health.HealthReport, sender, now_s):
        return health.receive(self._cores.health, message, sender, now_s)

    @_take.register
    def _(self, message: requests.FinalOutcomes, sender, now_s):
        return requests.receive(message, self._cores.records, sender, now_s)

    @_take.register
    def _(
        self,
        message: accounts.RevisionQuestion | accounts.RevisionAnswer,
        sender,
        now_s,
    ):
        return questions.receive(message, self._cores.questions, sender, now_s)

    @_take.register
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
        return self._spread(spread.receive(self._cores.spread, message, sender, now_s))
