"""Rates of client accounts: overshoot, wrongful refusals, the worst-served account.

Run ``python -m benchmarks.limits [--json PATH] [--seconds N] [--seed N]``. Time is
simulated; the figures depend on the seed alone.
"""

import argparse
import heapq
import itertools
import json
import math
import random
from typing import NamedTuple

from chervilpitch.limits import limiter, naive
from chervilpitch.limits.admission import TOKEN_REQUEST_INTERVAL_S, admit
from chervilpitch.limits.homes import HOMES_PER_REGION, group_seats, home_seats
from chervilpitch.limits.state import LimitState
from chervilpitch.model import (
    EMPTY_CATALOGUE,
    ClientAccount,
    Instance,
    Send,
    Sender,
    region_of,
)

REGIONS = 3
DOMAINS = 2
INSTANCES_PER_DOMAIN = 6
WARM_UP_S = 12.0
REPLACED_AFTER_S = 5.0
CALLERS_LEAN_ON = 3


class Shape(NamedTuple):
    """Sizes of one user: delays in seconds."""

    name: str
    between_domains_s: float
    between_regions_s: float


class Load(NamedTuple):
    """Requests of one client account as a multiple of its rate."""

    account: ClientAccount
    times_rate: float
    bursty: bool


class Setup(NamedTuple):
    """The levers of one run."""

    name: str
    is_naive: bool = False
    homes: int = HOMES_PER_REGION
    steering: bool = True
    lending: bool = True
    waiting_s: float = 0.0
    lean_on: int = CALLERS_LEAN_ON
    fault: str = ""


SHAPES = (
    Shape("qureshi", 0.001, 0.008),
    Shape("vandermeulen", 0.0015, 0.008),
)
LOADS = (
    Load(ClientAccount("large-1", 300.0, 150.0), 0.9, False),
    Load(ClientAccount("large-2", 200.0, 100.0), 4.0, False),
    Load(ClientAccount("large-3", 150.0, 150.0), 0.6, True),
    Load(ClientAccount("small-1", 10.0, 20.0), 0.9, False),
    Load(ClientAccount("small-2", 10.0, 20.0), 0.6, True),
    Load(ClientAccount("small-3", 5.0, 10.0), 0.5, False),
    Load(ClientAccount("small-4", 5.0, 5.0), 5.0, False),
    Load(ClientAccount("small-5", 2.0, 6.0), 0.8, True),
)
OURS = Setup("ours")
SETUPS = (
    Setup("naive, share of the list", is_naive=True),
    Setup("naive, lists disagree", is_naive=True, lean_on=36, fault="lists"),
    OURS,
    Setup("ours, waiting 50 ms", waiting_s=0.05),
    Setup("no steering", steering=False),
    Setup("callers on all instances", steering=False, lean_on=36),
    Setup("all instances, waiting 50 ms", False, 1, False, True, 0.05, 36),
    Setup("no steering, waiting 50 ms", steering=False, waiting_s=0.05),
    Setup("no lending", lending=False),
    Setup("no lending, no steering", lending=False, steering=False),
    Setup("2 homes per region", homes=2),
    Setup("4 homes per region", homes=4),
    Setup("12 homes per region", homes=12),
    Setup("one instance dies", fault="death"),
    Setup("one instance dies, 2 homes", homes=2, fault="death"),
    Setup("one instance dies, 4 homes", homes=4, fault="death"),
    Setup("a region apart", fault="region"),
    Setup("one message in 20 lost", fault="loss"),
)


class Arrival(NamedTuple):
    """One request of a caller."""

    at_s: float
    account: str
    caller: float


class Outcome(NamedTuple):
    """What one account got in one run."""

    account: str
    ideal: int
    admitted: int
    overshoot: float


def seat_table():
    """Return the failure domain of each of the 36 seats."""
    domains = [f"r{r}/d{d}" for r in range(REGIONS) for d in range(DOMAINS)]
    count = len(domains) * INSTANCES_PER_DOMAIN
    return {seat: domains[seat // INSTANCES_PER_DOMAIN] for seat in range(count)}


def arrivals(load, seconds, rng):
    """Return the requests of one account: Poisson, or bursts every 4 s."""
    rate_per_s = load.account.rate_per_s * load.times_rate
    end_s = WARM_UP_S + seconds
    found = []
    at_s = WARM_UP_S
    while at_s < end_s:
        if load.bursty:
            size = max(1, round(min(rate_per_s * 4, load.account.burst)))
            found += [(at_s + rng.uniform(0, 0.2), rng.random()) for _ in range(size)]
            at_s += 4.0
        else:
            at_s += rng.expovariate(rate_per_s)
            found.append((at_s, rng.random()))
    return [Arrival(at, load.account.name, caller) for at, caller in found]


class Run:
    """One fleet in simulated time."""

    def __init__(self, shape, setup, seconds, seed):
        self.shape, self.setup = shape, setup
        self.rng = random.Random(seed)
        self.seats = seat_table()
        accounts = {load.account.name: load.account for load in LOADS}
        self.catalogue = EMPTY_CATALOGUE._replace(
            revision=1, accounts=accounts, seats=self.seats
        )
        self.dead = set()
        self.incarnations = {seat: seat + 1 for seat in self.seats}
        near = [s for s, domain in self.seats.items() if region_of(domain) == "r0"]
        self._fallback = self.rng.sample(near, CALLERS_LEAN_ON)
        self.admitted = []
        self.requests = 0
        self.messages = 0
        self._order = itertools.count()
        self._events = []
        self.end_s = WARM_UP_S + seconds
        self.fault_at_s = WARM_UP_S + seconds / 3
        self.heal_at_s = WARM_UP_S + seconds * 2 / 3
        self.states = [self._start(seat) for seat in self.seats]
        self.choices = {load.account.name: self._chosen(load) for load in LOADS}
        self._plan(seconds)

    def run(self):
        """Run to the end and return the outcomes of all accounts."""
        while self._events and self._events[0][0] <= self.end_s:
            now_s, _, act, *details = heapq.heappop(self._events)
            act(now_s, *details)
        offered = sorted(self.offered)
        return [self._outcome(load.account, offered) for load in LOADS]

    def _at(self, at_s, act, *details):
        heapq.heappush(self._events, (at_s, next(self._order), act, *details))

    def _start(self, seat, now_s=0.0):
        own = Sender(f"n{seat}", self.incarnations[seat])
        listing = {
            f"n{s}": Instance(f"n{s}", s, domain, "", "")
            for s, domain in self.seats.items()
        }
        if self.setup.is_naive:
            state = naive.NaiveLimitState(own)
            if self.setup.fault == "lists" and seat % 2:
                listing = dict(list(listing.items())[:12])
            naive.apply_catalogue(state, self.catalogue, now_s)
            naive.update_instances(state, listing, now_s)
            return state
        state = LimitState(own, seat, self.setup.homes)
        limiter.apply_catalogue(state, self.catalogue, now_s)
        limiter.update_instances(state, listing, now_s)
        return state

    def _chosen(self, load):
        name = load.account.name
        if self.setup.steering and not self.setup.is_naive:
            homes = home_seats(name, group_seats(self.seats), self.setup.homes)
            return [s for s in homes if region_of(self.seats[s]) == "r0"] or homes
        return self.rng.sample(sorted(self.seats), self.setup.lean_on)

    def _plan(self, seconds):
        self.offered = []
        for load in LOADS:
            self.offered += arrivals(load, seconds, self.rng)
        for arrival in self.offered:
            self._at(arrival.at_s, self._request, arrival, False)
        if not self.setup.is_naive:
            for seat in self.seats:
                self._at(
                    self.rng.uniform(0, TOKEN_REQUEST_INTERVAL_S), self._tick, seat
                )
        if self.setup.fault == "death":
            victim = self.choices["large-1"][0]
            self._at(self.fault_at_s, lambda now_s: self.dead.add(victim))
            self._at(self.fault_at_s + REPLACED_AFTER_S, self._replace, victim)

    def _replace(self, now_s, seat):
        self.incarnations[seat] += 1000
        self.states[seat] = self._start(seat, now_s)
        self.dead.discard(seat)
        if not self.setup.is_naive:
            self._tick(now_s, seat)

    def _request(self, now_s, arrival, is_retry):
        live = [s for s in self.choices[arrival.account] if s not in self.dead]
        live = live or [s for s in self._fallback if s not in self.dead]
        seat = live[int(arrival.caller * len(live))]
        self.requests += 1
        if self.setup.is_naive:
            answer = naive.admit(self.states[seat], arrival.account, now_s)
        else:
            state = self.states[seat]
            answer = admit(state, arrival.account, now_s, is_retry=is_retry)
        if answer.is_ok():
            self.admitted.append((now_s, arrival.account))
        elif now_s + 0.01 <= arrival.at_s + self.setup.waiting_s:
            if not is_retry:
                asked = limiter.request_tokens(state, arrival.account, now_s)
                self._send(now_s, seat, asked)
            self._at(now_s + 0.01, self._request, arrival, True)

    def _tick(self, now_s, seat):
        if seat in self.dead:
            return
        self._at(now_s + TOKEN_REQUEST_INTERVAL_S, self._tick, seat)
        self._send(now_s, seat, limiter.tick(self.states[seat], now_s))

    def _send(self, now_s, seat, effects):
        for effect in effects:
            if isinstance(effect, Send):
                to = int(effect.to[1:])
                lending = type(effect.message).__name__ in ("TokenRequest", "Grant")
                if self._is_lost(now_s, seat, to) or (
                    lending and not self.setup.lending
                ):
                    continue
                self.messages += 1
                at_s = now_s + self._delay_s(seat, to)
                self._at(at_s, self._deliver, seat, to, effect.message)

    def _deliver(self, now_s, seat, to, message):
        if to not in self.dead:
            sender = Sender(f"n{seat}", self.incarnations[seat])
            effects = limiter.receive(self.states[to], message, sender, now_s)
            self._send(now_s, to, effects)

    def _is_lost(self, now_s, seat, to):
        if self.setup.fault == "loss":
            return self.rng.random() < 0.05
        if self.setup.fault == "region" and self.fault_at_s <= now_s < self.heal_at_s:
            ends = {region_of(self.seats[seat]), region_of(self.seats[to])}
            return len(ends) == 2 and "r0" in ends
        return False

    def _delay_s(self, seat, to):
        here, there = self.seats[seat], self.seats[to]
        if region_of(here) != region_of(there):
            return self.shape.between_regions_s
        return self.shape.between_domains_s if here != there else 0.0005

    def _outcome(self, account, offered):
        ideal, level, at_s = 0, account.burst, WARM_UP_S
        for arrival in offered:
            if arrival.account == account.name:
                earned = (arrival.at_s - at_s) * account.rate_per_s
                level, at_s = min(account.burst, level + earned), arrival.at_s
                if level >= 1:
                    level, ideal = level - 1, ideal + 1
        times = [at for at, name in self.admitted if name == account.name]
        return Outcome(account.name, ideal, len(times), _overshoot(times, account))


def _overshoot(times, account):
    level, at_s, worst = account.burst, 0.0, 0.0
    for now_s in times:
        earned = (now_s - at_s) * account.rate_per_s
        level, at_s = min(account.burst, level + earned) - 1, now_s
        worst = min(worst, level)
    return max(0.0, -worst - 1e-6)


def summary(shape, setup, seconds, seed):
    """Run one setup and return its row."""
    run = Run(shape, setup, seconds, seed)
    outcomes = run.run()
    wrongful = sum(max(0, o.ideal - o.admitted) for o in outcomes)
    ideal = sum(o.ideal for o in outcomes)
    worst = min(outcomes, key=lambda o: o.admitted / o.ideal)
    return {
        "shape": shape.name,
        "setup": setup.name,
        "overshoot": round(sum(o.overshoot for o in outcomes), 3),
        "wrongful_percent": round(100 * wrongful / ideal, 2),
        "worst_served": round(min(1.0, worst.admitted / worst.ideal), 3),
        "worst_account": worst.account,
        "accounts": {o.account: round(o.admitted / o.ideal, 3) for o in outcomes},
        "messages_per_s_and_instance": round(
            run.messages / math.ceil(run.end_s) / len(run.seats), 1
        ),
    }


def main():
    """Print a row for each user and setup."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json")
    parser.add_argument("--only", default="", help="part of a setup's name")
    parser.add_argument("--accounts", action="store_true")
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    rows = []
    head = ("user", "setup", "overshoot", "wrongful", "worst served", "messages/s")
    print("%-13s %-28s %10s %9s %-22s %s" % head)
    for shape in SHAPES:
        for setup in (each for each in SETUPS if options.only in each.name):
            row = summary(shape, setup, options.seconds, options.seed)
            rows.append(row)
            worst = f"{row['worst_served']:.3f} ({row['worst_account']})"
            print(
                f"{row['shape']:13} {row['setup']:28} {row['overshoot']:10.1f}"
                f" {row['wrongful_percent']:8.2f}% {worst:22}"
                f" {row['messages_per_s_and_instance']}"
            )
            if options.accounts:
                print("             ", row["accounts"])
    if options.json:
        with open(options.json, "w") as file:
            json.dump(rows, file, indent=1)


if __name__ == "__main__":
    main()
