"""Simulated fleet with skewed clocks and unreliable messages."""

import heapq
import itertools
import random

from chervilpitch.limits import limiter
from chervilpitch.limits.admission import admit
from chervilpitch.limits.state import LimitState
from chervilpitch.model import EMPTY_CATALOGUE, ClientAccount, Instance, Send, Sender

STEP_S = 0.05


def seat_table(regions, domains, size):
    """Return the failure domain of each seat, seats numbered consecutively."""
    names = [f"r{r}/d{d}" for r in range(regions) for d in range(domains)]
    return {i: names[i // size] for i in range(len(names) * size)}


def catalogue_of(accounts, seats, revision=1):
    accounts = {a.name: a for a in accounts}
    return EMPTY_CATALOGUE._replace(revision=revision, accounts=accounts, seats=seats)


class Node:
    """One incarnation of an instance with its own clock."""

    def __init__(
        self, name, seat, incarnation, clock_offset_s=0.0, clock_rate=1.0, **options
    ):
        self.sender = Sender(name, incarnation)
        self.state = LimitState(self.sender, seat, **options)
        self.seat = seat
        self.clock_offset_s = clock_offset_s
        self.clock_rate = clock_rate
        self.paused_until_s = 0.0
        self.is_stopped = False

    def clock(self, true_s):
        return self.clock_offset_s + true_s * self.clock_rate


class Fleet:
    """Nodes, the messages between them and injected faults.

    ``is_connected(a, b)`` returns whether a message from node a reaches node b;
    ``copy_delays(random)`` returns the delays in seconds of the copies of a message.
    """

    def __init__(self, catalogue, seed=0, delay_s=0.002):
        self.random = random.Random(seed)
        self.catalogue = catalogue
        self.nodes = {}
        self.now_s = 0.0
        self.admitted = []
        self.is_connected = lambda a, b: True
        self.copy_delays = lambda rng: [delay_s]
        self._messages = []
        self._order = itertools.count()

    def start(self, name, seat, clock_offset_s=0.0, clock_rate=1.0, **options):
        incarnation = self.random.getrandbits(64)
        node = Node(name, seat, incarnation, clock_offset_s, clock_rate, **options)
        self.nodes[name] = node
        limiter.apply_catalogue(node.state, self.catalogue, node.clock(self.now_s))
        return node

    def start_all(self, **options):
        for seat in self.catalogue.seats:
            self.start(f"n{seat}", seat, **options)
        self.publish()

    def listed_instances(self):
        seats = self.catalogue.seats
        return {
            n.sender.name: Instance(n.sender.name, n.seat, seats[n.seat], "", "")
            for n in self.nodes.values()
            if n.seat in seats and not n.is_stopped
        }

    def publish(self, listing=None, to=None):
        listing = self.listed_instances() if listing is None else listing
        for node in to or self.nodes.values():
            limiter.update_instances(node.state, listing, node.clock(self.now_s))

    def apply_catalogue(self, node, catalogue):
        limiter.apply_catalogue(node.state, catalogue, node.clock(self.now_s))

    def send(self, node, effects):
        for effect in effects:
            target = isinstance(effect, Send) and self.nodes.get(effect.to)
            if target and self.is_connected(node, target):
                for delay_s in self.copy_delays(self.random):
                    entry = (self.now_s + delay_s, next(self._order), node, effect)
                    heapq.heappush(self._messages, entry)

    def deliver(self, until_s):
        while self._messages and self._messages[0][0] <= until_s:
            at_s, _, node, effect = heapq.heappop(self._messages)
            target = self.nodes[effect.to]
            if target.is_stopped:
                continue
            if target.paused_until_s > at_s:
                entry = (target.paused_until_s, next(self._order), node, effect)
                heapq.heappush(self._messages, entry)
                continue
            self.now_s = max(self.now_s, at_s)
            now_s = target.clock(self.now_s)
            effects = limiter.receive(target.state, effect.message, node.sender, now_s)
            self.send(target, effects)

    def is_running(self, node):
        return not node.is_stopped and node.paused_until_s <= self.now_s

    def step(self, for_s=STEP_S):
        until_s = self.now_s + for_s
        self.deliver(until_s)
        self.now_s = until_s
        for node in list(self.nodes.values()):
            if self.is_running(node):
                self.send(node, limiter.tick(node.state, node.clock(until_s)))

    def run(self, for_s, load=lambda fleet: None):
        until_s = self.now_s + for_s
        while self.now_s < until_s - 1e-9:
            self.step()
            load(self)

    def request(self, node, account, cost=1.0):
        if not self.is_running(node):
            return False
        result = admit(node.state, account, node.clock(self.now_s), cost)
        if result.is_ok():
            self.admitted.append((self.now_s, account, cost))
        return result.is_ok()


def overshoot(admitted, account: ClientAccount):
    """Return the tokens admitted beyond a single global bucket in true time."""
    level, at_s, worst = account.burst, 0.0, 0.0
    for now_s, name, cost in admitted:
        if name == account.name:
            earned = (now_s - at_s) * account.rate_per_s
            level = min(account.burst, level + earned) - cost
            at_s, worst = now_s, min(worst, level)
    return max(0.0, -worst - 1e-6)
