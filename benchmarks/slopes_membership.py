"""Measure how the cost of membership grows with the size of the fleet.

This covers the list of instances, heartbeats, status reviews and address answers.
"""

import itertools
from collections.abc import Iterator

from chervilpitch import membership
from chervilpitch.membership.neighbours import neighbours
from chervilpitch.model import InstanceState, Sender

from .slopes_fleet import DOMAINS, make_fleet
from .slopes_measure import Point, make_point, measure_allocated, time_call

__all__ = ["measure_at_size"]

TOPIC = "membership"


def measure_at_size(size: int) -> Iterator[Point]:
    """Yield the points of membership in a fleet of the given size."""
    listed = make_fleet(size)
    yield from _measure_list(listed, size)
    list_bytes, state = measure_allocated(lambda: _create_state(listed))
    yield make_point(TOPIC, "list followed", "bytes", "daemons", size, list_bytes)
    yield from _measure_heartbeats(state, listed, size)
    yield from _measure_views(state, listed, size)
    yield from _measure_address_answers(state, size)


def _create_state(listed):
    own = next(iter(listed.values()))
    state = membership.MembershipState(own, 1, 0.0)
    membership.apply_list(state, listed, 0.0)
    membership.tick(state, 0.0)
    return state


def _measure_list(listed, size) -> Iterator[Point]:
    text = membership.format_instances(listed)
    yield make_point(TOPIC, "list length", "bytes", "daemons", size, len(text))
    port_offsets = itertools.count(1)

    def parse_new():
        return membership.parse_instances(
            text.replace(":8080", f":{next(port_offsets) + 10_000}", 1)
        ).unwrap()

    parse_new()
    yield time_call(TOPIC, "list parsed with one change", "daemons", size, parse_new)
    prefix = itertools.count()

    def parse_cold():
        return membership.parse_instances(
            text.replace("[instance ", f"[instance x{next(prefix)}")
        ).unwrap()

    yield time_call(TOPIC, "list parsed anew", "daemons", size, parse_cold)


def _measure_heartbeats(state, listed, size) -> Iterator[Point]:
    names = neighbours(state.own.name, listed)
    yield make_point(TOPIC, "neighbours", "daemons", "daemons", size, len(names))
    yield time_call(
        TOPIC,
        "neighbours chosen",
        "daemons",
        size,
        lambda: neighbours(state.own.name, listed),
    )
    clock = itertools.count(1)
    sequences = itertools.count(1)

    def run_second():
        now_s = float(next(clock))
        for name in names:
            hello = _make_hello(listed[name], next(sequences), state.incarnation)
            membership.receive(state, hello, Sender(name, 5), now_s)
        return membership.tick(state, now_s)

    for _ in range(4):
        run_second()
    yield time_call(TOPIC, "second of heartbeats", "daemons", size, run_second)
    state.schedule.trigger_hello(1e12)


def _make_hello(instance, sequence, heard_incarnation):
    return membership.Hello(
        instance.name,
        instance.seat,
        instance.failure_domain,
        instance.callers_address,
        instance.peers_address,
        False,
        0,
        1,
        sequence,
        heard_incarnation,
        7,
    )


def _measure_views(state, listed, size) -> Iterator[Point]:
    now_s = state.schedule.last_tick_at_s
    membership.instance_statuses(state, now_s)
    yield time_call(
        TOPIC, "tick", "daemons", size, lambda: membership.tick(state, now_s)
    )
    previous = dict(membership.instances(state, now_s))

    def compare_instances():
        return membership.instances(state, now_s) == previous

    yield time_call(
        TOPIC, "instances compared in a tick", "daemons", size, compare_instances
    )
    name = next(reversed(listed))
    leaving = listed[name]._replace(state=InstanceState.LEAVING)
    alternating_lists = itertools.cycle(({**listed, name: leaving}, listed))
    yield time_call(
        TOPIC,
        "follow_list with one change",
        "daemons",
        size,
        lambda: membership.apply_list(state, next(alternating_lists), now_s),
    )


def _measure_address_answers(state, size) -> Iterator[Point]:
    now_s = state.schedule.last_tick_at_s
    seats = {n: DOMAINS[n % len(DOMAINS)] for n in range(size)}
    callers = itertools.count()
    accounts = itertools.count()

    def answer_known_account():
        caller = str(next(callers))
        return membership.select_addresses(
            state, seats, "account-1", now_s, caller=caller
        )

    def answer_new_account():
        return membership.select_addresses(state, seats, f"new-{next(accounts)}", now_s)

    def answer_after_invalidation():
        state.status_cache.invalidate()
        return answer_known_account()

    answer_known_account()
    yield time_call(TOPIC, "address answer", "daemons", size, answer_known_account)
    yield time_call(
        TOPIC, "address answer, account new here", "daemons", size, answer_new_account
    )
    name = "address answer, first after a review"
    yield time_call(TOPIC, name, "daemons", size, answer_after_invalidation)
