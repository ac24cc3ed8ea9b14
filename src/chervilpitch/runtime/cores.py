"""States of all decision cores of one instance, and their lock."""

import random
import threading
from collections.abc import Callable

from chervilpitch import (
    accounts,
    health,
    limits,
    membership,
    requests,
    routing,
    spread,
)
from chervilpitch.model import EMPTY_CATALOGUE, Catalogue, Effect, Instance, Sender

__all__ = ["Cores"]


class Cores:
    """The states, the lock that owns them, and what they need from the shell.

    Parameters
    ----------
    own : Instance
        This instance.
    incarnation : int
        Random number drawn when the process started.
    secret : bytes
        Secret shared by the fleet.
    clock : callable
        Returns monotonic seconds.
    started_wall_ms : int
        Wall-clock time of the start in milliseconds.
    carry_out : callable
        Takes the effects of a decision, without holding the lock.
    """

    def __init__(
        self,
        own: Instance,
        incarnation: int,
        secret: bytes,
        clock: Callable[[], float],
        started_wall_ms: int,
        carry_out: Callable[[tuple[Effect, ...]], None],
    ):
        self.lock = threading.RLock()
        self.clock = clock
        self.carry_out = carry_out
        self.own = own
        self.sender = Sender(own.name, incarnation)
        self.catalogue: Catalogue = EMPTY_CATALOGUE
        self.health = health.HealthState(own.failure_domain)
        self.routing = routing.RoutingState(
            own.seat, own.failure_domain, self.health, random.Random(incarnation)
        )
        self.limits = limits.LimitState(self.sender, own.seat)
        self.records = requests.TicketRecords(own.name, incarnation, secret)
        self.freshness = accounts.Freshness(own)
        self.questions = accounts.QuestionState(self.freshness)
        self.membership = membership.MembershipState(
            own, incarnation, clock(), started_wall_ms
        )
        self.spread = spread.SpreadState(own, clock())
        self.suspended = spread.suspended(self.spread)
