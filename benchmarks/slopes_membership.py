"""Slopes of membership: the list, heartbeats, reviews and address answers."""

import itertools
from collections.abc import Iterator

from chervilpitch import membership
from chervilpitch.membership.neighbours import neighbours
from chervilpitch.model import InstanceState, Sender

from .slopes_fleet import DOMAINS, fleet
from .slopes_measure import Point, held_bytes, timed, value

__all__ = ["at_size"]

TOPIC = "membership"


def at_size(size: int) -> Iterator[Point]:
    """Yield the points of membership in a fleet of one size."""
    listed = fleet(size)
    yield from _list(listed, size)
    taken, state = held_bytes(lambda: _joined(listed))
    yield value(TOPIC, "list followed", "bytes", "daemons", size, taken)
    yield from _heartbeats(state, listed, size)
    yield from _views(state, listed, size)
    yield from _answers(state, size)


def _joined(listed):
    own = next(iter(listed.values()))
    state = membership.MembershipState(own, 1, 0.0)
    membership.apply_list(state, listed, 0.0)
    membership.tick(state, 0.0)
    return state


def _list(listed, size) -> Iterator[Point]:
    text = membership.format_instances(listed)
    yield value(TOPIC, "list length", "bytes", "daemons", size, len(text))
    fresh = itertools.count(1)

    def parse_new():
        return membership.parse_instances(
            text.replace(":8080", f":{next(fresh) + 10_000}", 1)
        ).unwrap()

    parse_new()
    yield timed(TOPIC, "list parsed with one change", "daemons", size, parse_new)
    prefix = itertools.count()

    def parse_cold():
        return membership.parse_instances(
            text.replace("[instance ", f"[instance x{next(prefix)}")
        ).unwrap()

    yield timed(TOPIC, "list parsed anew", "daemons", size, parse_cold)


def _heartbeats(state, listed, size) -> Iterator[Point]:
    names = neighbours(state.own.name, listed)
    yield value(TOPIC, "neighbours", "daemons", "daemons", size, len(names))
    yield timed(
        TOPIC,
        "neighbours chosen",
        "daemons",
        size,
        lambda: neighbours(state.own.name, listed),
    )
    clock = itertools.count(1)
    sequences = itertools.count(1)

    def second():
        now_s = float(next(clock))
        for name in names:
            hello = _hello(listed[name], next(sequences), state.incarnation)
            membership.receive(state, hello, Sender(name, 5), now_s)
        return membership.tick(state, now_s)

    for _ in range(4):
        second()
    yield timed(TOPIC, "second of heartbeats", "daemons", size, second)
    state.schedule.trigger_hello(1e12)


def _hello(instance, sequence, heard):
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
        heard,
        7,
    )


def _views(state, listed, size) -> Iterator[Point]:
    now_s = state.schedule.last_tick_at_s
    membership.instance_statuses(state, now_s)
    yield timed(TOPIC, "tick", "daemons", size, lambda: membership.tick(state, now_s))
    before = dict(membership.instances(state, now_s))

    def followed():
        return membership.instances(state, now_s) == before

    yield timed(TOPIC, "instances compared in a tick", "daemons", size, followed)
    name = next(reversed(listed))
    leaving = listed[name]._replace(state=InstanceState.LEAVING)
    turns = itertools.cycle(({**listed, name: leaving}, listed))
    yield timed(
        TOPIC,
        "follow_list with one change",
        "daemons",
        size,
        lambda: membership.apply_list(state, next(turns), now_s),
    )


def _answers(state, size) -> Iterator[Point]:
    now_s = state.schedule.last_tick_at_s
    seats = {n: DOMAINS[n % len(DOMAINS)] for n in range(size)}
    callers = itertools.count()
    accounts = itertools.count()

    def known():
        caller = str(next(callers))
        return membership.select_addresses(
            state, seats, "account-1", now_s, caller=caller
        )

    def new():
        return membership.select_addresses(state, seats, f"new-{next(accounts)}", now_s)

    def after_review():
        state.status_cache.invalidate()
        return known()

    known()
    yield timed(TOPIC, "address answer", "daemons", size, known)
    yield timed(TOPIC, "address answer, account new here", "daemons", size, new)
    name = "address answer, first after a review"
    yield timed(TOPIC, name, "daemons", size, after_review)
