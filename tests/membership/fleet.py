"""A fleet of membership states connected by a simulated lossy network."""

from chervilpitch.membership import (
    MembershipState,
    apply_list,
    begin_leaving,
    receive,
    tick,
)
from chervilpitch.model import Instance, Send, Sender

REGIONS = ("punjab", "sindh", "khyber")
DOMAINS = tuple(f"{region}/{half}" for region in REGIONS for half in "ab")


def instance(seat, name=None, domains=DOMAINS):
    name = name or f"i{seat}"
    host = f"10.0.{seat // 250}.{seat % 250 + 1}"
    domain = domains[seat % len(domains)]
    return Instance(name, seat, domain, f"{host}:80", f"{host}:90")


def seats_of(listed):
    return {i.seat: i.failure_domain for i in listed.values()}


class Fleet:
    """States by (name, incarnation); stopped ones neither tick nor receive."""

    def __init__(self, size, now_s=0.0):
        self.now_s = now_s
        self.listed = {f"i{seat}": instance(seat) for seat in range(size)}
        self.states = {}
        self.stopped = set()
        self.blocked_links = set()
        self.delayed = []
        self.sent_count = 0
        self.events = []
        for own in self.listed.values():
            self.start(own, incarnation=1_000 + own.seat)

    def start(self, own, incarnation):
        state = MembershipState(own, incarnation, self.now_s, int(self.now_s * 1_000))
        apply_list(state, self.listed, self.now_s)
        self.states[own.name, incarnation] = state
        return state

    def state_of(self, name):
        """Return the state of the last started, running process of an instance."""
        return next(
            state
            for key, state in reversed(self.states.items())
            if key[0] == name and key not in self.stopped
        )

    def key_of(self, name):
        return (name, self.state_of(name).incarnation)

    def stop(self, name):
        self.stopped.add(self.key_of(name))

    def leave(self, name):
        key = self.key_of(name)
        self._deliver(key, begin_leaving(self.states[key], self.now_s))

    def publish(self, listed):
        self.listed = dict(listed)
        for key, state in self.states.items():
            if key not in self.stopped:
                apply_list(state, self.listed, self.now_s)

    def run(self, seconds, step_s=0.5):
        for _ in range(round(seconds / step_s)):
            self.now_s += step_s
            for key, state in list(self.states.items()):
                if key not in self.stopped:
                    self._deliver(key, tick(state, self.now_s))

    def _deliver(self, sender_key, effects):
        for effect in effects:
            if not isinstance(effect, Send):
                self.events.append(effect.event)
                continue
            self.sent_count += 1
            for key, state in self.states.items():
                if key[0] == effect.to and key not in self.stopped:
                    self._receive(sender_key, key, state, effect.message)

    def _receive(self, sender_key, key, state, message):
        if (sender_key[0], key[0]) in self.blocked_links:
            self.delayed.append((sender_key, key, message))
            return
        sender = Sender(*sender_key)
        self._deliver(key, receive(state, message, sender, self.now_s))

    def deliver_delayed(self):
        """Deliver the messages of blocked links, partly repeated and out of order."""
        delayed, self.delayed = self.delayed, []
        for sender_key, key, message in reversed(delayed + delayed[::3]):
            if key not in self.stopped:
                sender = Sender(*sender_key)
                receive(self.states[key], message, sender, self.now_s)
