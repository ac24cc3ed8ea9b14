"""The rate of a client account over instances that report to each other late."""

import math
import random

import pytest

from chervilpitch.policy import (
    AccountUsage,
    FleetBucket,
    UsageTotals,
)

STEP_S = 0.02
EXCESS = 0.1
TOLERANCE = 8.0


class Group:
    """Instances that tell each other their counts, some of them late."""

    def __init__(self, instances, rate, burst, tolerance=TOLERANCE, lag_s=0.15):
        self.buckets = [
            FleetBucket(rate * (1 + EXCESS), burst, tolerance, 0.0)
            for _ in range(instances)
        ]
        self.lag_s = lag_s
        self.silent = frozenset()
        self.silent_until_s = math.inf
        self.silent_from_s = 0.0
        self.began_after = False
        self.queue = []

    def tell(self, now_s):
        for at, bucket in enumerate(self.buckets):
            self.queue.append((now_s + self.lag_s, at, bucket.admitted))

    def deliver(self, now_s):
        while self.queue and self.queue[0][0] <= now_s:
            _, sender, admitted = self.queue.pop(0)
            for at, bucket in enumerate(self.buckets):
                is_cut = self.is_silent(now_s) and {at, sender} & self.silent
                if at != sender and not is_cut:
                    bucket.add_report(str(sender), admitted, now_s, self.began_after)

    def is_silent(self, now_s):
        return self.silent_from_s <= now_s < self.silent_until_s

    def play(self, rate_at, until_s, rng):
        """Return the times of admitted and of refused requests."""
        admitted, refused = [], []
        for step in range(int(until_s / STEP_S)):
            now_s = step * STEP_S
            is_urgent = any(bucket.is_low(now_s) for bucket in self.buckets)
            if step % (5 if is_urgent else 15) == 0:
                self.tell(now_s)
            self.deliver(now_s)
            for _ in range(poisson(rate_at(now_s) * STEP_S, rng)):
                bucket = rng.choice(self.buckets)
                (admitted if bucket.admit(now_s) else refused).append(now_s)
        return admitted, refused


def poisson(mean, rng):
    """Return a random count."""
    total, count = rng.expovariate(1.0), 0
    while total < mean:
        total += rng.expovariate(1.0)
        count += 1
    return count


def most_in_window(times, window_s=5.0):
    """Return the most times in a window."""
    return max(
        (sum(1 for t in times if start <= t < start + window_s) for start in times),
        default=0,
    )


@pytest.mark.parametrize("rate", [4.0, 12.0, 60.0])
def test_usual_traffic_is_hardly_refused(rate):
    group = Group(36, rate, rate)
    rng = random.Random(1)
    admitted, refused = group.play(lambda now_s: rate / 1.6, 40.0, rng)
    late = [t for t in refused if t > 5.0]
    assert len(late) < 0.01 * len(admitted)


@pytest.mark.parametrize("seed", range(2, 8))
@pytest.mark.parametrize("rate", [4.0, 12.0, 60.0])
def test_an_account_far_beyond_its_rate_stays_within_the_bound(rate, seed):
    group = Group(36, rate, rate, lag_s=0.25)
    rng = random.Random(seed)
    surge = lambda now_s: rate / 1.6 * (8 if now_s > 10 else 1)  # noqa: E731
    admitted, refused = group.play(surge, 30.0, rng)
    assert most_in_window(admitted) <= (rate * 5 + rate) * 1.25 + 20
    assert refused


def test_a_rate_is_used_while_far_more_is_asked():
    group = Group(36, 60.0, 60.0)
    admitted, _ = group.play(lambda now_s: 300.0, 30.0, random.Random(3))
    later = [t for t in admitted if t > 5.0]
    assert len(later) > 0.85 * 60.0 * 25


def test_naive_buckets_of_their_own_let_an_account_exceed_its_rate():
    group = Group(36, 60.0, 60.0)
    group.silent = frozenset(range(36))
    admitted, _ = group.play(lambda now_s: 600.0, 20.0, random.Random(4))
    assert most_in_window(admitted) > (60.0 * 5 + 60.0) * 1.25 + 20


def test_a_lowered_rate_binds_at_once():
    bucket = FleetBucket(60.0, 60.0, 0.0, 0.0)
    assert bucket.admit(10.0)
    bucket.set_rate(1.0, 1.0, 10.0)
    assert sum(bucket.admit(10.1) for _ in range(10)) == 1


def test_totals_count_what_was_gained_since_a_counter_was_first_seen():
    totals = UsageTotals()
    totals.add("a", (AccountUsage("fitters", 100),))
    totals.add("a", (AccountUsage("fitters", 104),))
    totals.add("a", (AccountUsage("fitters", 102),))
    assert totals.usages() == (AccountUsage("fitters", 4),)


def test_totals_count_all_of_an_instance_that_started_later():
    totals = UsageTotals()
    totals.add("a", (AccountUsage("fitters", 7),), began_after=True)
    assert totals.usages() == (AccountUsage("fitters", 7),)


@pytest.mark.parametrize("rate", [4.0, 12.0, 60.0])
def test_instances_that_all_start_again_stay_within_the_bound(rate):
    group = Group(36, rate, rate, lag_s=0.1)
    group.silent = frozenset(range(36))
    group.silent_until_s = 0.8
    group.began_after = True
    admitted, _ = group.play(lambda now_s: rate * 5, 12.0, random.Random(5))
    assert most_in_window(admitted) <= (rate * 5 + rate) * 1.25 + 20


@pytest.mark.parametrize("rate", [4.0, 12.0, 60.0])
def test_instances_that_are_cut_off_stay_within_the_bound(rate):
    group = Group(36, rate, rate, lag_s=0.1)
    group.silent = frozenset(range(11))
    group.silent_from_s = 10.0
    group.silent_until_s = 18.0
    surge = lambda now_s: rate / 1.6 * (8 if now_s > 11 else 1)  # noqa: E731
    admitted, _ = group.play(surge, 30.0, random.Random(6))
    assert most_in_window(admitted) <= (rate * 5 + rate) * 1.25 + 20


def test_a_cut_that_heals_leaves_an_account_refused_for_a_window_at_most():
    bucket = FleetBucket(10.0, 10.0, 0.0, 0.0)
    bucket.add_report("a", 0, 5.0)
    bucket.add_report("a", 500, 20.0)
    assert not bucket.admit(24.0)
    assert bucket.admit(26.0)
