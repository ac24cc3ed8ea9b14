"""What an instance does beside requests: ticks, messages, notes and lists."""

from collections.abc import Mapping
from functools import singledispatchmethod

from chervilpitch import accounts, health, limits, membership, requests, routing
from chervilpitch.accounts import questions
from chervilpitch.model import Catalogue, Effect, Instance, Send, Sender

from .cores import Cores

__all__ = ["Control"]


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
            cores.records.directory.heard(sender)
            effects = self._take(message, sender, cores.clock())
        cores.carry_out(effects)

    def tick(self) -> None:
        """Do what falls due in every core."""
        cores = self._cores
        with cores.lock:
            now_s = cores.clock()
            effects = membership.tick(cores.membership, now_s)
            effects += self._follow_instances(now_s)
            effects += health.tick(cores.health, now_s)
            effects += limits.tick(cores.limits, now_s)
            effects += questions.tick(cores.questions, now_s)
            effects += requests.tick(cores.records, now_s)
            effects += self._health_reports(now_s)
        cores.carry_out(effects)

    def put_in_force(self, catalogue: Catalogue) -> None:
        """Follow a new catalogue in every core at once.

        Parameters
        ----------
        catalogue : Catalogue
            The catalogue.
        """
        cores = self._cores
        with cores.lock:
            now_s = cores.clock()
            cores.catalogue = catalogue
            effects = accounts.put_in_force(cores.freshness, catalogue, now_s)
            effects += limits.put_in_force(cores.limits, catalogue, now_s)
            effects += routing.put_in_force(cores.routing, catalogue, now_s)
        cores.carry_out(effects)

    def follow_list(self, listed: Mapping[str, Instance]) -> None:
        """Follow the published list of instances.

        Parameters
        ----------
        listed : mapping of str to Instance
            The list, by name.
        """
        cores = self._cores
        with cores.lock:
            effects = membership.follow_list(cores.membership, listed, cores.clock())
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
            effects = accounts.platform_heard(
                cores.freshness, revision, asked_at_s, cores.clock()
            )
        cores.carry_out(effects)

    def _follow_instances(self, now_s) -> tuple[Effect, ...]:
        cores = self._cores
        known = membership.instances(cores.membership, now_s)
        if known == self._instances:
            return ()
        self._instances = dict(known)
        effects = limits.follow_instances(cores.limits, known, now_s)
        effects += accounts.follow_instances(cores.freshness, known, now_s)
        effects += requests.follow_instances(cores.records, known, now_s)
        return effects

    def _health_reports(self, now_s) -> tuple[Effect, ...]:
        cores = self._cores
        report = health.report(cores.health, now_s)
        if report is None:
            return ()
        return tuple(Send(name, report) for name in cores.membership.neighbours)

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
        return requests.receive(self._cores.records, message, sender, now_s)

    @_take.register
    def _(
        self,
        message: accounts.RevisionQuestion | accounts.RevisionAnswer,
        sender,
        now_s,
    ):
        return questions.receive(message, self._cores.questions, sender, now_s)
