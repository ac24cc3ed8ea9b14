"""A small fleet with a fake platform: messages lost, late and twice; stale reads."""

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
    """Return a note that changes the rate of one account, and its digest."""
    action = "added" if revision == 1 else "changed"
    text = f"[note]\nrevision = {revision}\nfollows = {follows}\n"
    text += f"replaces = {replaces}\n" if replaces else ""
    text += f"[{action} account a]\nrate-per-s = {rate + revision}\n"
    text += "burst = 1\n" if revision == 1 else ""
    note = parse(text, "x").unwrap()
    return canonical_text(note), digest(note)


class Platform:
    """Values with their history, so that a stale replica shows an old state."""

    def __init__(self):
        self.history = [{}]
        self.head = (0, "")

    def publish(self, rate=1.0, follows=None, replaces=""):
        """Publish the next note; return its digest."""
        revision, last = self.head
        text, name = note_text(revision + 1, follows or last, rate, replaces)
        self.put({f"notes/{revision + 1}": text.encode()}, (revision + 1, name))
        return name

    def put(self, values, head):
        """Write values and a head at once."""
        self.head = head
        self.history.append(self.history[-1] | values | {"notes/head": head})

    def rival(self, rate):
        """Overwrite the newest note by another one of the same revision."""
        revision, _ = self.head
        follows = self.history[-2].get("notes/head", (0, ""))[1]
        text, name = note_text(revision, follows, rate)
        self.put({f"notes/{revision}": text.encode()}, (revision, name))
        return name

    def read(self, name, behind):
        """Return a value as a replica that is some writes behind shows it."""
        values = self.history[max(0, len(self.history) - 1 - behind)]
        if name == "notes/head":
            return PlatformHead(*values.get(name, (0, "")))
        return PlatformValue(name, values.get(name, b""))


class Fleet:
    """Instances that exchange messages through a bag."""

    def __init__(self, count, seed=0, loss=0.0, delays_s=(0.0, 0.0, 0.25, 1.0)):
        self.delays_s = delays_s
        self.random = random.Random(seed)
        self.loss = loss
        self.now_s = 100.0
        self.platform = Platform()
        self.down, self.behind, self.cuts, self.frozen = set(), {}, set(), set()
        self.bag, self.watches, self.events = [], {}, []
        self.reads = self.sent = 0
        self.revisions = {}
        self.instances = {
            f"i{n}": Instance(f"i{n}", n, DOMAINS[n % 3], "", "") for n in range(count)
        }
        self.states = {}
        for name in self.instances:
            self.start(name)

    def start(self, name):
        """Start or restart an instance with nothing in memory."""
        self.states[name] = SpreadState(self.instances[name], self.now_s)
        self.revisions[name] = 0
        self.watches = {k: v for k, v in self.watches.items() if k[0] != name}
        update_instances(self.states[name], self.instances, self.now_s)

    def split(self, *groups):
        """Cut every link between two groups, both ways."""
        side = {name: n for n, group in enumerate(groups) for name in group}
        names = self.instances
        self.cuts = {(a, b) for a in names for b in names if side[a] != side[b]}

    def run(self, seconds):
        """Let time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            due = [entry for entry in self.bag if self.is_due(entry)]
            self.bag = [entry for entry in self.bag if not self.is_due(entry)]
            self.random.shuffle(due)
            for _, to, message, sender in due:
                effects = receive(self.states[to], message, sender, self.now_s)
                self.carry_out(to, effects)
            self.answer_watches()
            for name in sorted(self.states.keys() - self.frozen):
                self.carry_out(name, tick(self.states[name], self.now_s))

    def is_due(self, entry):
        """Whether a message arrives now; a frozen process reads none."""
        return entry[0] <= self.now_s and entry[1] not in self.frozen

    def answer_watches(self):
        """Answer reads that need no longer wait."""
        for (name, value), (until_s, seen) in list(self.watches.items()):
            if name in self.frozen:
                continue
            event = self.answer(name, value)
            if until_s <= self.now_s or event != seen:
                del self.watches[name, value]
                state = self.states[name]
                self.carry_out(name, handle_platform_event(state, event, self.now_s))

    def answer(self, name, value):
        """Return what the platform says to an instance now."""
        if name in self.down:
            return PlatformFailed(value)
        return self.platform.read(value, self.behind.get(name, 0))

    def carry_out(self, name, effects):
        """Do what an instance asks for."""
        for effect in effects:
            if isinstance(effect, Send):
                self.sent += 1
                self.post(name, effect)
            elif isinstance(effect, ReadPlatform):
                self.reads += 1
                seen = self.answer(name, effect.name)
                until_s = max(effect.wait_until_s, self.now_s + STEP_S)
                self.watches[name, effect.name] = (until_s, seen)
            elif isinstance(effect, ApplyCatalogue):
                assert effect.catalogue.revision > self.revisions[name]
                self.revisions[name] = effect.catalogue.revision
            elif isinstance(effect, Record):
                self.events.append((name, effect.event.name, effect.event.subject))

    def post(self, name, send):
        """Put a message into the bag: once, twice or never."""
        if (name, send.to) in self.cuts or send.to not in self.states:
            return
        for _ in range(2 if self.random.random() < self.loss else 1):
            if self.random.random() >= self.loss:
                delay_s = self.random.choice(self.delays_s)
                entry = (self.now_s + delay_s, send.to, send.message, Sender(name, 1))
                self.bag.append(entry)

    def in_force(self, names=None):
        """Return the revisions and digests in force, as a set."""
        states = [self.states[name] for name in names or self.states]
        return {catalogue(state)[:2] for state in states}

    def recorded(self, name):
        """Return the instances that recorded an event."""
        return {who for who, event, _ in self.events if event == name}

    def are_ready(self):
        """Whether all instances finished their start."""
        return all(status(state).is_ready for state in self.states.values())


def publish_snapshot(platform):
    """Publish a snapshot of all notes so far."""
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
    platform.put(parts | {"snapshot/head": snapshot.head}, platform.head)
