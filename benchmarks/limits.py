"""Simulate rate limits: overshoot, wrongful refusals and the worst-served account.

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
REPLACEMENT_DELAY_S = 5.0
INSTANCES_PER_CALLER = 3


class UserProfile(NamedTuple):
    """Network delays of one operator's fleet, in seconds."""

    name: str
    domain_delay_s: float
    region_delay_s: float


class Load(NamedTuple):
    """Load of one client account, as a multiple of its rate."""

    account: ClientAccount
    rate_factor: float
    is_bursty: bool


class Setup(NamedTuple):
    """Parameters of one run."""

    name: str
    is_naive: bool = False
    homes: int = HOMES_PER_REGION
    has_steering: bool = True
    has_lending: bool = True
    max_wait_s: float = 0.0
    instances_per_caller: int = INSTANCES_PER_CALLER
    fault: str = ""


USER_PROFILES = (
    UserProfile("qureshi", 0.001, 0.008),
    UserProfile("vandermeulen", 0.0015, 0.008),
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
DEFAULT_SETUP = Setup("ours")
SETUPS = (
    Setup("naive, share of the list", is_naive=True),
    Setup(
        "naive, lists disagree", is_naive=True, instances_per_caller=36, fault="lists"
    ),
    DEFAULT_SETUP,
    Setup("ours, waiting 50 ms", max_wait_s=0.05),
    Setup("no steering", has_steering=False),
    Setup("callers on all instances", has_steering=False, instances_per_caller=36),
    Setup("all instances, waiting 50 ms", False, 1, False, True, 0.05, 36),
    Setup("no steering, waiting 50 ms", has_steering=False, max_wait_s=0.05),
    Setup("no lending", has_lending=False),
    Setup("no lending, no steering", has_lending=False, has_steering=False),
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
    """Result of one account in one run.

    `ideal_admitted` is the number of requests that one exact token bucket admits;
    `overshoot` is the largest excess over the bucket, in requests.
    """

    account: str
    ideal_admitted: int
    admitted: int
    overshoot: float


def make_seat_table():
    """Return the failure domain of each of the 36 seats."""
    domains = [f"r{r}/d{d}" for r in range(REGIONS) for d in range(DOMAINS)]
    count = len(domains) * INSTANCES_PER_DOMAIN
    return {seat: domains[seat // INSTANCES_PER_DOMAIN] for seat in range(count)}


def draw_arrivals(load, seconds, rng):
    """Draw the requests of one account: a Poisson process, or bursts every 4 s."""
    rate_per_s = load.account.rate_per_s * load.rate_factor
    end_s = WARM_UP_S + seconds
    requests = []
    at_s = WARM_UP_S
    while at_s < end_s:
        if load.is_bursty:
            size = max(1, round(min(rate_per_s * 4, load.account.burst)))
            requests += [
                (at_s + rng.uniform(0, 0.2), rng.random()) for _ in range(size)
            ]
            at_s += 4.0
        else:
            at_s += rng.expovariate(rate_per_s)
            requests.append((at_s, rng.random()))
    return [Arrival(at, load.account.name, caller) for at, caller in requests]


class Simulation:
    """A fleet in simulated time, driven by a queue of events."""

    def __init__(self, profile, setup, seconds, seed):
        self.profile, self.setup = profile, setup
        self.rng = random.Random(seed)
        self.seats = make_seat_table()
        accounts = {load.account.name: load.account for load in LOADS}
        self.catalogue = EMPTY_CATALOGUE._replace(
            revision=1, accounts=accounts, seats=self.seats
        )
        self.crashed = set()
        self.incarnations = {seat: seat + 1 for seat in self.seats}
        local_seats = [
            s for s, domain in self.seats.items() if region_of(domain) == "r0"
        ]
        self._fallback = self.rng.sample(local_seats, INSTANCES_PER_CALLER)
        self.admitted = []
        self.requests = 0
        self.messages = 0
        self._order = itertools.count()
        self._events = []
        self.end_s = WARM_UP_S + seconds
        self.fault_at_s = WARM_UP_S + seconds / 3
        self.partition_ends_at_s = WARM_UP_S + seconds * 2 / 3
        self.states = [self._create_state(seat) for seat in self.seats]
        self.seats_of_account = {
            load.account.name: self._choose_seats(load) for load in LOADS
        }
        self._schedule_events(seconds)

    def run(self):
        """Run to the end and return the outcomes of all accounts."""
        while self._events and self._events[0][0] <= self.end_s:
            now_s, _, handler, *args = heapq.heappop(self._events)
            handler(now_s, *args)
        offered = sorted(self.offered)
        return [self._compute_outcome(load.account, offered) for load in LOADS]

    def _schedule(self, at_s, handler, *args):
        heapq.heappush(self._events, (at_s, next(self._order), handler, *args))

    def _create_state(self, seat, now_s=0.0):
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

    def _choose_seats(self, load):
        name = load.account.name
        if self.setup.has_steering and not self.setup.is_naive:
            homes = home_seats(name, group_seats(self.seats), self.setup.homes)
            return [s for s in homes if region_of(self.seats[s]) == "r0"] or homes
        return self.rng.sample(sorted(self.seats), self.setup.instances_per_caller)

    def _schedule_events(self, seconds):
        self.offered = []
        for load in LOADS:
            self.offered += draw_arrivals(load, seconds, self.rng)
        for arrival in self.offered:
            self._schedule(arrival.at_s, self._handle_request, arrival, False)
        if not self.setup.is_naive:
            for seat in self.seats:
                self._schedule(
                    self.rng.uniform(0, TOKEN_REQUEST_INTERVAL_S), self._run_tick, seat
                )
        if self.setup.fault == "death":
            crashed_seat = self.seats_of_account["large-1"][0]
            self._schedule(
                self.fault_at_s, lambda now_s: self.crashed.add(crashed_seat)
            )
            self._schedule(
                self.fault_at_s + REPLACEMENT_DELAY_S,
                self._replace_instance,
                crashed_seat,
            )

    def _replace_instance(self, now_s, seat):
        self.incarnations[seat] += 1000
        self.states[seat] = self._create_state(seat, now_s)
        self.crashed.discard(seat)
        if not self.setup.is_naive:
            self._run_tick(now_s, seat)

    def _handle_request(self, now_s, arrival, is_retry):
        live_seats = [
            s for s in self.seats_of_account[arrival.account] if s not in self.crashed
        ]
        live_seats = live_seats or [s for s in self._fallback if s not in self.crashed]
        seat = live_seats[int(arrival.caller * len(live_seats))]
        self.requests += 1
        if self.setup.is_naive:
            result = naive.admit(self.states[seat], arrival.account, now_s)
        else:
            state = self.states[seat]
            result = admit(state, arrival.account, now_s, is_retry=is_retry)
        if result.is_ok():
            self.admitted.append((now_s, arrival.account))
        elif now_s + 0.01 <= arrival.at_s + self.setup.max_wait_s:
            if not is_retry:
                effects = limiter.request_tokens(state, arrival.account, now_s)
                self._send_effects(now_s, seat, effects)
            self._schedule(now_s + 0.01, self._handle_request, arrival, True)

    def _run_tick(self, now_s, seat):
        if seat in self.crashed:
            return
        self._schedule(now_s + TOKEN_REQUEST_INTERVAL_S, self._run_tick, seat)
        self._send_effects(now_s, seat, limiter.tick(self.states[seat], now_s))

    def _send_effects(self, now_s, seat, effects):
        for effect in effects:
            if isinstance(effect, Send):
                receiver_seat = int(effect.to[1:])
                is_lending_message = type(effect.message).__name__ in (
                    "TokenRequest",
                    "Grant",
                )
                if self._is_lost(now_s, seat, receiver_seat) or (
                    is_lending_message and not self.setup.has_lending
                ):
                    continue
                self.messages += 1
                at_s = now_s + self._delay_s(seat, receiver_seat)
                self._schedule(
                    at_s, self._deliver_message, seat, receiver_seat, effect.message
                )

    def _deliver_message(self, now_s, seat, receiver_seat, message):
        if receiver_seat not in self.crashed:
            sender = Sender(f"n{seat}", self.incarnations[seat])
            effects = limiter.receive(
                self.states[receiver_seat], message, sender, now_s
            )
            self._send_effects(now_s, receiver_seat, effects)

    def _is_lost(self, now_s, seat, receiver_seat):
        if self.setup.fault == "loss":
            return self.rng.random() < 0.05
        if (
            self.setup.fault == "region"
            and self.fault_at_s <= now_s < self.partition_ends_at_s
        ):
            regions = {
                region_of(self.seats[seat]),
                region_of(self.seats[receiver_seat]),
            }
            return len(regions) == 2 and "r0" in regions
        return False

    def _delay_s(self, seat, receiver_seat):
        own_domain, peer_domain = self.seats[seat], self.seats[receiver_seat]
        if region_of(own_domain) != region_of(peer_domain):
            return self.profile.region_delay_s
        return self.profile.domain_delay_s if own_domain != peer_domain else 0.0005

    def _compute_outcome(self, account, offered):
        ideal_admitted, tokens, at_s = 0, account.burst, WARM_UP_S
        for arrival in offered:
            if arrival.account == account.name:
                refill = (arrival.at_s - at_s) * account.rate_per_s
                tokens, at_s = min(account.burst, tokens + refill), arrival.at_s
                if tokens >= 1:
                    tokens, ideal_admitted = tokens - 1, ideal_admitted + 1
        times = [at for at, name in self.admitted if name == account.name]
        return Outcome(
            account.name, ideal_admitted, len(times), _max_overshoot(times, account)
        )


def _max_overshoot(times, account):
    tokens, at_s, min_tokens = account.burst, 0.0, 0.0
    for now_s in times:
        refill = (now_s - at_s) * account.rate_per_s
        tokens, at_s = min(account.burst, tokens + refill) - 1, now_s
        min_tokens = min(min_tokens, tokens)
    return max(0.0, -min_tokens - 1e-6)


def summarize(profile, setup, seconds, seed):
    """Run one setup and return its row of the table."""
    simulation = Simulation(profile, setup, seconds, seed)
    outcomes = simulation.run()
    wrongful = sum(max(0, o.ideal_admitted - o.admitted) for o in outcomes)
    ideal_admitted = sum(o.ideal_admitted for o in outcomes)
    worst = min(outcomes, key=lambda o: o.admitted / o.ideal_admitted)
    return {
        "shape": profile.name,
        "setup": setup.name,
        "overshoot": round(sum(o.overshoot for o in outcomes), 3),
        "wrongful_percent": round(100 * wrongful / ideal_admitted, 2),
        "worst_served": round(min(1.0, worst.admitted / worst.ideal_admitted), 3),
        "worst_account": worst.account,
        "accounts": {
            o.account: round(o.admitted / o.ideal_admitted, 3) for o in outcomes
        },
        "messages_per_s_and_instance": round(
            simulation.messages / math.ceil(simulation.end_s) / len(simulation.seats), 1
        ),
    }


def main():
    """Print a row for each operator and setup."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json")
    parser.add_argument("--only", default="", help="part of a setup's name")
    parser.add_argument("--accounts", action="store_true")
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    rows = []
    header = ("user", "setup", "overshoot", "wrongful", "worst served", "messages/s")
    print("%-13s %-28s %10s %9s %-22s %s" % header)
    for profile in USER_PROFILES:
        for setup in (each for each in SETUPS if options.only in each.name):
            row = summarize(profile, setup, options.seconds, options.seed)
            rows.append(row)
            worst_served = f"{row['worst_served']:.3f} ({row['worst_account']})"
            print(
                f"{row['shape']:13} {row['setup']:28} {row['overshoot']:10.1f}"
                f" {row['wrongful_percent']:8.2f}% {worst_served:22}"
                f" {row['messages_per_s_and_instance']}"
            )
            if options.accounts:
                print("             ", row["accounts"])
    if options.json:
        with open(options.json, "w") as file:
            json.dump(rows, file, indent=1)


if __name__ == "__main__":
    main()
