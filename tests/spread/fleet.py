"""Simulated fleet and platform: lost, late and duplicated messages, stale reads."""

import random

from chervilpitch.model import EMPTY_CATALOGUE, Instance, Record, Send, Sender
from chervilpitch.notes import apply, canonical_text, digest, parse, take_snapshot
from chervilpitch.spread import (
    ApplyCatalogue,
    PlatformFailed,
    PlatformHead,
    PlatformValue,
    ReadPlatform,
    SpreadState,
    catalogue,
    handle_platform_event,
    receive,
    status,
    tick,
    update_instances,
)

STEP_S = 0.25
DOMAINS = ("punjab/a", "punjab/b", "sindh/a")


def note_text(revision, follows, rate=1.0, replaces=""):
    """Return the text of a note that sets the rate of one account, and its digest."""
    action = "added" if revision == 1 else "changed"
    text = f"[note]\nrevision = {revision}\nfollows = {follows}\n"
    text += f"replaces = {replaces}\n" if replaces else ""
    text += f"[{action} account a]\nrate-per-s = {rate + revision}\n"
    text += "burst = 1\n" if revision == 1 else ""
    note = parse(text, "x").unwrap()
    return canonical_text(note), digest(note)


class Platform:
    """Platform that keeps the history of its values, to serve stale reads."""

    def __init__(self):
        self.history = [{}]
        self.head = (0, "")

    def publish(self, rate=1.0, follows=None, replaces=""):
        """Publish the next note and return its digest."""
        revision, last = self.head
        text, name = note_text(revision + 1, follows or last, rate, replaces)
        self.write({f"notes/{revision + 1}": text.encode()}, (revision + 1, name))
        return name

    def write(self, values, head):
        """Write values and the head in one step."""
        self.head = head
        self.history.append(self.history[-1] | values | {"notes/head": head})

    def publish_conflicting(self, rate):
        """Overwrite the newest note by a conflicting one and return its digest."""
        revision, _ = self.head
        follows = self.history[-2].get("notes/head", (0, ""))[1]
        text, name = note_text(revision, follows, rate)
        self.write({f"notes/{revision}": text.encode()}, (revision, name))
        return name

    def read(self, name, behind):
        """Return a value from a replica that lags by a number of writes."""
        values = self.history[max(0, len(self.history) - 1 - behind)]
        if name == "notes/head":
            return PlatformHead(*values.get(name, (0, "")))
        return PlatformValue(name, values.get(name, b""))


class Fleet:
    """Instances that exchange messages over an unreliable, unordered network."""

    def __init__(self, count, seed=0, loss=0.0, delays_s=(0.0, 0.0, 0.25, 1.0)):
        self.delays_s = delays_s
        self.random = random.Random(seed)
        self.loss = loss
        self.now_s = 100.0
        self.platform = Platform()
        self.without_platform, self.replica_lags, self.cut_links, self.frozen = (
            set(),
            {},
            set(),
            set(),
        )
        self.in_transit, self.pending_reads, self.events = [], {}, []
        self.reads = self.sent = 0
        self.revisions = {}
        self.instances = {
            f"i{n}": Instance(f"i{n}", n, DOMAINS[n % 3], "", "") for n in range(count)
        }
        self.states = {}
        for name in self.instances:
            self.start(name)

    def start(self, name):
        """Start or restart an instance with empty state."""
        self.states[name] = SpreadState(self.instances[name], self.now_s)
        self.revisions[name] = 0
        self.pending_reads = {
            k: v for k, v in self.pending_reads.items() if k[0] != name
        }
        update_instances(self.states[name], self.instances, self.now_s)

    def partition(self, *groups):
        """Cut every link between two groups in both directions."""
        side = {name: n for n, group in enumerate(groups) for name in group}
        names = self.instances
        self.cut_links = {(a, b) for a in names for b in names if side[a] != side[b]}

    def run(self, seconds):
        """Advance the clock, deliver messages and reads, and tick the instances."""
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            due = [entry for entry in self.in_transit if self.is_due(entry)]
            self.in_transit = [
                entry for entry in self.in_transit if not self.is_due(entry)
            ]
            self.random.shuffle(due)
            for _, to, message, sender in due:
                effects = receive(self.states[to], message, sender, self.now_s)
                self.run_effects(to, effects)
            self.deliver_reads()
            for name in sorted(self.states.keys() - self.frozen):
                self.run_effects(name, tick(self.states[name], self.now_s))

    def is_due(self, entry):
        """Whether a message arrives now; a frozen process receives none."""
        return entry[0] <= self.now_s and entry[1] not in self.frozen

    def deliver_reads(self):
        """Deliver the reads whose value changed or whose deadline has passed."""
        for (name, value), (until_s, seen) in list(self.pending_reads.items()):
            if name in self.frozen:
                continue
            event = self.read_platform(name, value)
            if until_s <= self.now_s or event != seen:
                del self.pending_reads[name, value]
                state = self.states[name]
                self.run_effects(name, handle_platform_event(state, event, self.now_s))

    def read_platform(self, name, value):
        """Return the current result of a read by an instance."""
        if name in self.without_platform:
            return PlatformFailed(value)
        return self.platform.read(value, self.replica_lags.get(name, 0))

    def run_effects(self, name, effects):
        """Execute the effects of an instance; its revision must never fall."""
        for effect in effects:
            if isinstance(effect, Send):
                self.sent += 1
                self.transmit(name, effect)
            elif isinstance(effect, ReadPlatform):
                self.reads += 1
                seen = self.read_platform(name, effect.name)
                until_s = max(effect.wait_until_s, self.now_s + STEP_S)
                self.pending_reads[name, effect.name] = (until_s, seen)
            elif isinstance(effect, ApplyCatalogue):
                assert effect.catalogue.revision > self.revisions[name]
                self.revisions[name] = effect.catalogue.revision
            elif isinstance(effect, Record):
                self.events.append((name, effect.event.name, effect.event.subject))

    def transmit(self, name, send):
        """Send a message that may be lost or duplicated."""
        if (name, send.to) in self.cut_links or send.to not in self.states:
            return
        for _ in range(2 if self.random.random() < self.loss else 1):
            if self.random.random() >= self.loss:
                delay_s = self.random.choice(self.delays_s)
                entry = (self.now_s + delay_s, send.to, send.message, Sender(name, 1))
                self.in_transit.append(entry)

    def in_force(self, names=None):
        """Return the set of revisions and digests in force."""
        states = [self.states[name] for name in names or self.states]
        return {catalogue(state)[:2] for state in states}

    def recorders_of(self, name):
        """Return the names of the instances that recorded an event."""
        return {who for who, event, _ in self.events if event == name}

    def are_ready(self):
        """Whether all instances have completed their start."""
        return all(status(state).is_ready for state in self.states.values())


def publish_snapshot(platform):
    """Publish a snapshot of all notes published so far."""
    current = EMPTY_CATALOGUE
    values = platform.history[-1]
    for number in range(1, platform.head[0] + 1):
        note = parse(values[f"notes/{number}"], "x").unwrap()
        current = apply(current, note).unwrap()
    snapshot = take_snapshot(current)
    parts = {
        f"snapshot/{current.revision}/{n}": part
        for n, part in enumerate(snapshot.parts)
    }
    platform.write(parts | {"snapshot/head": snapshot.head}, platform.head)
