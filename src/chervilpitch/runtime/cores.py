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
    """States of the decision cores, the lock that guards them, and shared inputs.

    Parameters
    ----------
    own : Instance
        This instance.
    incarnation : int
        Random number drawn at process start.
    secret : bytes
        Secret shared by all instances.
    clock : callable
        Returns the monotonic time in seconds.
    started_wall_ms : int
        Wall-clock time of the process start in milliseconds.
    carry_out : callable
        Executes the effects of a decision; called without the lock.
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
