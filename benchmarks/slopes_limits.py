"""Measure how the cost of rate limits and key checks grows with their sizes.

This covers admission, accounts in use, token loans and revision questions.
"""

import itertools
from collections.abc import Iterator

from chervilpitch import accounts, limits
from chervilpitch.accounts import questions
from chervilpitch.model import Catalogue, Sender

from .slopes_fleet import (
    DOMAINS,
    make_catalogue,
    make_fleet,
    make_key_text,
    scaled_counts,
)
from .slopes_measure import Point, make_point, measure_allocated, time_call

__all__ = ["measure_at_scale", "measure_accounts_in_use", "make_state_with_seat"]

TOPIC = "limits"
OWN = Sender("region-0-domain-0-0000", 1)
ACCOUNTS_IN_USE = (100, 200, 400, 800)
SEAT_HELD_AT_S = 20.0


def make_state_with_seat(catalogue: Catalogue, listed) -> limits.LimitState:
    """Return the state of an instance that holds its seat at `SEAT_HELD_AT_S`."""
    state = limits.LimitState(OWN, 0)
    limits.apply_catalogue(state, catalogue, 0.0)
    limits.update_instances(state, listed, 0.0)
    for step in range(int(SEAT_HELD_AT_S) + 1):
        _grant_promises(state, float(step))
    return state


def _grant_promises(state, now_s):
    seats = state.catalogue.seats
    names = {name: seat for seat in seats for name in state.instances_of_seat(seat)}
    for effect in limits.tick(state, now_s):
        if hasattr(effect, "to") and isinstance(effect.message, limits.Claim):
            promise = limits.Promise(
                names[effect.to], effect.message.number, True, False, True, True
            )
            limits.receive(state, promise, Sender(effect.to, 2), now_s)


def measure_at_scale(scale: float) -> Iterator[Point]:
    """Yield the points that depend on the sizes of the fleet and the catalogue."""
    counts = scaled_counts(scale)
    catalogue = make_catalogue(scale)
    listed = make_fleet(counts["daemons"])
    yield from _measure_key_lookup(catalogue)
    yield from _measure_home_seats(catalogue, listed)
    yield from _measure_apply_catalogue(catalogue)
    yield from _measure_questions(listed)


def _measure_key_lookup(catalogue) -> Iterator[Point]:
    key = accounts.PresentedKey(make_key_text(3))
    size = len(catalogue.keys)
    call = lambda: accounts.identify(catalogue, key).unwrap()  # noqa: E731
    yield time_call("accounts", "identify", "keys", size, call)


def _measure_home_seats(catalogue, listed) -> Iterator[Point]:
    seats = len(catalogue.seats)
    groups = limits.group_seats(catalogue.seats)
    numbers = itertools.count()
    yield time_call(
        TOPIC,
        "home seats of an account not asked for before",
        "daemons",
        seats,
        lambda: limits.home_seats(f"new-{next(numbers)}", groups),
    )
    state = limits.LimitState(OWN, 0)
    yield time_call(
        TOPIC,
        "follow_instances",
        "daemons",
        seats,
        lambda: limits.update_instances(state, listed, 0.0),
    )


def _measure_apply_catalogue(catalogue) -> Iterator[Point]:
    size = len(catalogue.accounts)
    state = limits.LimitState(OWN, 0)
    limits.apply_catalogue(state, catalogue, 0.0)
    changed = catalogue._replace(revision=2, accounts=dict(catalogue.accounts))
    cycle = itertools.cycle((changed, catalogue))
    yield time_call(
        TOPIC,
        "put_in_force",
        "accounts",
        size,
        lambda: limits.apply_catalogue(state, next(cycle), 1.0),
    )


def _measure_questions(listed) -> Iterator[Point]:
    own = next(iter(listed.values()))
    size = len(listed)
    freshness = accounts.Freshness(own)
    freshness.set_revision(1)
    yield time_call(
        "accounts",
        "follow_instances",
        "daemons",
        size,
        lambda: accounts.update_instances(freshness, listed, 0.0),
    )
    question_state = accounts.QuestionState(freshness)
    clock = itertools.count()

    def ask_and_record_answers():
        now_s = float(next(clock))
        effects = questions.tick(question_state, now_s)
        for effect in effects:
            answer = accounts.RevisionAnswer(effect.message.number, 1)
            sender = Sender(effect.to, 2)
            questions.receive(answer, question_state, sender, now_s)
        return effects

    question_count = len(ask_and_record_answers())
    yield make_point(
        "accounts", "questions in a round", "messages", "daemons", size, question_count
    )
    yield time_call(
        "accounts", "round of questions", "daemons", size, ask_and_record_answers
    )
    now_s = float(next(clock))
    ask_and_record_answers()
    call = lambda: accounts.check_freshness(freshness, now_s)  # noqa: E731
    yield time_call("accounts", "freshness check", "daemons", size, call)
    stale = accounts.Freshness(own)
    accounts.update_instances(stale, listed, 0.0)
    call = lambda: accounts.check_freshness(stale, 1e6)  # noqa: E731
    yield time_call("accounts", "freshness check that refuses", "daemons", size, call)


def measure_accounts_in_use() -> Iterator[Point]:
    """Yield the points that depend on the accounts in use at one instance."""
    listed = make_fleet(24)
    seats = {n: DOMAINS[n % len(DOMAINS)] for n in range(24)}
    catalogue = make_catalogue(0.125)._replace(seats=seats)
    for size in ACCOUNTS_IN_USE:
        names = [f"account-{n:06d}" for n in range(size)]
        state = make_state_with_seat(catalogue, listed)
        state_bytes, _ = measure_allocated(
            lambda: _admit_all(state, names, SEAT_HELD_AT_S)
        )
        yield make_point(
            TOPIC, "accounts in use", "bytes", "accounts in use", size, state_bytes
        )
        cycle = itertools.cycle(names)
        call = lambda: limits.admit(state, next(cycle), SEAT_HELD_AT_S)  # noqa: E731
        yield time_call(TOPIC, "admission", "accounts in use", size, call)
        call = lambda: limits.tick(state, SEAT_HELD_AT_S + 0.05)  # noqa: E731
        yield time_call(TOPIC, "tick", "accounts in use", size, call)
    yield from _measure_loans(state, names)


def _admit_all(state, names, now_s):
    for name in names:
        limits.admit(state, name, now_s)


def _measure_loans(state, names) -> Iterator[Point]:
    numbers = itertools.count(1)
    for size in (1, 4, 16):
        wants = tuple(limits.Want(name, 0.001) for name in names[:size])

        def lend():
            request = limits.TokenRequest(next(numbers), wants)
            return limits.receive(state, request, Sender("n", 9), SEAT_HELD_AT_S + 2.0)

        yield time_call(TOPIC, "token request answered", "accounts asked", size, lend)
