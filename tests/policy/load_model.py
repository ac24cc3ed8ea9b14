"""A small load model: instances of a region before upstreams that hang by turns."""

import heapq
import itertools
import math
import random
from typing import NamedTuple

from chervilpitch.model import RequestKind, UpstreamEntry
from chervilpitch.policy import LatencyBaseline, Location, UpstreamTable

AIM_S = 0.8
TIMEOUT_S = 2.0
SLOTS = 4
WORK_S = 0.24
HANGING_SHARE = 0.75
BAD_EVERY_S = 9.0
BAD_FOR_S = 2.7
SOUND_AFTER_S = 2.0
TOUCHED_S = 2.0
REPORT_S = 0.1
DOUBLE_SURVIVAL = 0.04


class Played(NamedTuple):
    """What callers got."""

    asked: int
    failed_safe: int
    failed_unsafe: int
    doubled: int
    least_touched_share: float

    @property
    def failed_share(self):
        return (self.failed_safe + self.failed_unsafe) / self.asked


class Upstreams:
    """Upstreams that hang for some seconds each, at times of their own."""

    def __init__(self, count, rng, has_faults):
        self.names = [f"u{number}" for number in range(count)]
        self._phases = {name: rng.uniform(0, BAD_EVERY_S) for name in self.names}
        self._rng = rng
        self._has_faults = has_faults
        self.busy = dict.fromkeys(self.names, 0)

    def entries(self):
        return [
            UpstreamEntry(name, "desk", f"{name}:1", "n1", SLOTS, False, 0.0, 1, 1)
            for name in self.names
        ]

    def is_bad(self, name, now_s):
        phase = (now_s + self._phases[name]) % BAD_EVERY_S
        return self._has_faults and phase < BAD_FOR_S

    def sound_since_s(self, name, now_s):
        """Return since when an upstream counts as sound, or now."""
        if not self._has_faults:
            return 0.0
        phase = (now_s + self._phases[name]) % BAD_EVERY_S
        sound_for_s = phase - BAD_FOR_S - SOUND_AFTER_S
        return now_s - max(0.0, sound_for_s)

    def work_s(self, name, now_s):
        """Return the time that a request takes, infinite for one that hangs."""
        if self.is_bad(name, now_s) and self._rng.random() < HANGING_SHARE:
            return math.inf
        queued = max(0, self.busy[name] + 1 - SLOTS) / SLOTS
        return WORK_S * self._rng.lognormvariate(-0.06, 0.35) * (1 + queued)


class PolicyInstance:
    """An instance that decides by the project's policy."""

    def __init__(self, name, upstreams, rng):
        self.name = name
        self._rng = rng
        location = Location("north", "n1", {"n1": "north"})
        self.table = UpstreamTable(location)
        self.table.update_entries(upstreams.entries(), 0.0)
        self.baseline = LatencyBaseline(AIM_S)

    def choose(self, kind, excluded, now_s):
        draws = iter(self._rng.random, None)
        choice = self.table.choose("desk", kind, self.baseline, excluded, now_s, draws)
        return choice.upstream.entry.name if choice else None

    def begin(self, number, name, now_s):
        self.table.get(name).start_attempt(number, self.baseline, now_s)

    def succeeded(self, number, name, now_s):
        self.table.get(name).record_success(number, now_s)

    def given_up(self, number, name, now_s):
        self.table.get(name).record_abandoned(number, now_s)

    def double_after_s(self):
        return age_at(self.baseline, DOUBLE_SURVIVAL)


def age_at(baseline, survival):
    """Return the age in seconds that this share of good answers exceeds."""
    low_s, high_s = 0.0, baseline.median_s * 20
    for _ in range(20):
        middle_s = (low_s + high_s) / 2
        if baseline.survival(middle_s) > survival:
            low_s = middle_s
        else:
            high_s = middle_s
    return high_s


class NaiveInstance:
    """Least loaded by its own count; two seconds' ejection after a failure."""

    def __init__(self, name, upstreams, rng):
        self.name = name
        self._rng = rng
        self._in_flight = dict.fromkeys(upstreams.names, 0)
        self._out_until_s = dict.fromkeys(upstreams.names, 0.0)

    def choose(self, kind, excluded, now_s):
        names = [name for name in self._in_flight if name not in excluded]
        allowed = [name for name in names if now_s >= self._out_until_s[name]]
        key = lambda name: (self._in_flight[name], self._rng.random())  # noqa: E731
        return min(allowed or names, key=key)

    def begin(self, number, name, now_s):
        self._in_flight[name] += 1

    def succeeded(self, number, name, now_s):
        self._in_flight[name] -= 1

    def given_up(self, number, name, now_s):
        self._in_flight[name] -= 1
        self._out_until_s[name] = now_s + 2.0

    def double_after_s(self):
        return math.inf


class Model:
    """Plays requests against upstreams and counts what callers get."""

    def __init__(self, kind_of_instance, seed, per_s, has_faults=True):
        self._rng = random.Random(seed)
        self._upstreams = Upstreams(9, self._rng, has_faults)
        self._instances = [
            kind_of_instance(f"i{number}", self._upstreams, self._rng)
            for number in range(12)
        ]
        self._per_s = per_s
        self._queue = []
        self._order = itertools.count()
        self._answered = set()
        self._failed = {RequestKind.SAFE: 0, RequestKind.UNSAFE: 0}
        self._asked = 0
        self._doubled = 0
        self._last_s = dict.fromkeys(self._upstreams.names, 0.0)
        self._least_touched_share = 1.0

    def play(self, until_s):
        self._at(0.0, self._arrive, until_s)
        self._at(0.0, self._report, until_s)
        while self._queue:
            now_s, _, step, values = heapq.heappop(self._queue)
            step(now_s, *values)
        return Played(
            self._asked,
            self._failed[RequestKind.SAFE],
            self._failed[RequestKind.UNSAFE],
            self._doubled,
            self._least_touched_share,
        )

    def _at(self, at_s, step, *values):
        heapq.heappush(self._queue, (at_s, next(self._order), step, values))

    def _arrive(self, now_s, until_s):
        if now_s >= until_s:
            return
        is_safe = self._rng.random() < 0.3
        kind = RequestKind.SAFE if is_safe else RequestKind.UNSAFE
        instance = self._rng.choice(self._instances)
        self._asked += 1
        request = self._asked
        self._send(now_s, request, instance, kind, frozenset())
        if is_safe:
            after_s = instance.double_after_s()
            self._at(now_s + after_s, self._double, request, instance)
        self._at(now_s + TIMEOUT_S, self._give_up, request, kind)
        self._at(now_s + self._rng.expovariate(self._per_s), self._arrive, until_s)

    def _send(self, now_s, request, instance, kind, excluded):
        name = instance.choose(kind, excluded, now_s)
        number = next(self._order)
        self._last_s[name] = now_s
        instance.begin(number, name, now_s)
        work_s = self._upstreams.work_s(name, now_s)
        self._upstreams.busy[name] += 1
        held = (request, number, instance, name)
        if work_s < TIMEOUT_S:
            self._at(now_s + work_s, self._answer, *held)
        else:
            self._at(now_s + TIMEOUT_S, self._lose, *held)

    def _double(self, now_s, request, instance):
        if request not in self._answered:
            self._doubled += 1
            self._send(now_s, request, instance, RequestKind.SAFE, frozenset())

    def _answer(self, now_s, request, number, instance, name):
        self._upstreams.busy[name] -= 1
        self._answered.add(request)
        instance.succeeded(number, name, now_s)

    def _lose(self, now_s, request, number, instance, name):
        self._upstreams.busy[name] -= 1
        instance.given_up(number, name, now_s)

    def _give_up(self, now_s, request, kind):
        if request not in self._answered:
            self._failed[kind] += 1

    def _report(self, now_s, until_s):
        if now_s >= until_s:
            return
        for sender in self._instances:
            table = getattr(sender, "table", None)
            reports = table.next_reports(now_s) if table else ()
            for other in self._instances:
                if reports and other is not sender:
                    other.table.add_reports(reports, sender.name, now_s)
        self._watch(now_s)
        self._at(now_s + REPORT_S, self._report, until_s)

    def _watch(self, now_s):
        """Note the share of sound upstreams that got a request lately."""
        since_s = now_s - TOUCHED_S
        sound = [
            name
            for name in self._upstreams.names
            if self._upstreams.sound_since_s(name, now_s) <= since_s
        ]
        touched = sum(self._last_s[name] >= since_s for name in sound)
        if sound and since_s > 0:
            share = touched / len(sound)
            self._least_touched_share = min(self._least_touched_share, share)
