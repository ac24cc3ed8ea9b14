"""Slopes of rates and keys: admission, accounts in use, loans and questions."""

import itertools
from collections.abc import Iterator

from chervilpitch import accounts, limits
from chervilpitch.accounts import questions
from chervilpitch.model import Catalogue, Sender

from .slopes_fleet import DOMAINS, catalogue, fleet, key_of, sizes
from .slopes_measure import Point, held_bytes, timed, value

__all__ = ["at_scale", "in_use", "seat_held"]

TOPIC = "limits"
OWN = Sender("region-0-domain-0-0000", 1)
ACCOUNTS_IN_USE = (100, 200, 400, 800)
HOLDING_AT_S = 20.0


def seat_held(catalogue_held: Catalogue, listed) -> limits.LimitState:
    """Return the state of an instance that holds its seat at `HOLDING_AT_S`."""
    state = limits.LimitState(OWN, 0)
    limits.apply_catalogue(state, catalogue_held, 0.0)
    limits.update_instances(state, listed, 0.0)
    for step in range(int(HOLDING_AT_S) + 1):
        _promise_all(state, float(step))
    return state


def _promise_all(state, now_s):
    seats = state.catalogue.seats
    names = {name: seat for seat in seats for name in state.instances_of_seat(seat)}
    for effect in limits.tick(state, now_s):
        if hasattr(effect, "to") and isinstance(effect.message, limits.Claim):
            promise = limits.Promise(
                names[effect.to], effect.message.number, True, False, True, True
            )
            limits.receive(state, promise, Sender(effect.to, 2), now_s)


def at_scale(scale: float) -> Iterator[Point]:
    """Yield what depends on the fleet and on the catalogue."""
    counts = sizes(scale)
    before = catalogue(scale)
    listed = fleet(counts["daemons"])
    yield from _keys(before)
    yield from _seats(before, listed)
    yield from _catalogues(before)
    yield from _questions(listed)


def _keys(before) -> Iterator[Point]:
    key = accounts.PresentedKey(key_of(3))
    size = len(before.keys)
    call = lambda: accounts.identify(before, key).unwrap()  # noqa: E731
    yield timed("accounts", "identify", "keys", size, call)


def _seats(before, listed) -> Iterator[Point]:
    seats = len(before.seats)
    groups = limits.group_seats(before.seats)
    numbers = itertools.count()
    yield timed(
        TOPIC,
        "home seats of an account not asked for before",
        "daemons",
        seats,
        lambda: limits.home_seats(f"new-{next(numbers)}", groups),
    )
    state = limits.LimitState(OWN, 0)
    yield timed(
        TOPIC,
        "follow_instances",
        "daemons",
        seats,
        lambda: limits.update_instances(state, listed, 0.0),
    )


def _catalogues(before) -> Iterator[Point]:
    size = len(before.accounts)
    state = limits.LimitState(OWN, 0)
    limits.apply_catalogue(state, before, 0.0)
    changed = before._replace(revision=2, accounts=dict(before.accounts))
    turns = itertools.cycle((changed, before))
    yield timed(
        TOPIC,
        "put_in_force",
        "accounts",
        size,
        lambda: limits.apply_catalogue(state, next(turns), 1.0),
    )


def _questions(listed) -> Iterator[Point]:
    own = next(iter(listed.values()))
    size = len(listed)
    held = accounts.Freshness(own)
    held.set_revision(1)
    yield timed(
        "accounts",
        "follow_instances",
        "daemons",
        size,
        lambda: accounts.update_instances(held, listed, 0.0),
    )
    asking = accounts.QuestionState(held)
    clock = itertools.count()

    def ask_and_hear():
        now_s = float(next(clock))
        asked = questions.tick(asking, now_s)
        for effect in asked:
            answer = accounts.RevisionAnswer(effect.message.number, 1)
            sender = Sender(effect.to, 2)
            questions.receive(answer, asking, sender, now_s)
        return asked

    asked = len(ask_and_hear())
    yield value("accounts", "questions in a round", "messages", "daemons", size, asked)
    yield timed("accounts", "round of questions", "daemons", size, ask_and_hear)
    now_s = float(next(clock))
    ask_and_hear()
    call = lambda: accounts.check_freshness(held, now_s)  # noqa: E731
    yield timed("accounts", "freshness check", "daemons", size, call)
    refused = accounts.Freshness(own)
    accounts.update_instances(refused, listed, 0.0)
    call = lambda: accounts.check_freshness(refused, 1e6)  # noqa: E731
    yield timed("accounts", "freshness check that refuses", "daemons", size, call)


def in_use() -> Iterator[Point]:
    """Yield what depends on the accounts in use at one instance."""
    listed = fleet(24)
    seats = {n: DOMAINS[n % len(DOMAINS)] for n in range(24)}
    before = catalogue(0.125)._replace(seats=seats)
    for size in ACCOUNTS_IN_USE:
        names = [f"account-{n:06d}" for n in range(size)]
        state = seat_held(before, listed)
        taken, _ = held_bytes(lambda: _admit_all(state, names, HOLDING_AT_S))
        yield value(TOPIC, "accounts in use", "bytes", "accounts in use", size, taken)
        turns = itertools.cycle(names)
        call = lambda: limits.admit(state, next(turns), HOLDING_AT_S)  # noqa: E731
        yield timed(TOPIC, "admission", "accounts in use", size, call)
        call = lambda: limits.tick(state, HOLDING_AT_S + 0.05)  # noqa: E731
        yield timed(TOPIC, "tick", "accounts in use", size, call)
    yield from _loans(state, names)


def _admit_all(state, names, now_s):
    for name in names:
        limits.admit(state, name, now_s)


def _loans(state, names) -> Iterator[Point]:
    numbers = itertools.count(1)
    for size in (1, 4, 16):
        wants = tuple(limits.Want(name, 0.001) for name in names[:size])

        def lend():
            request = limits.TokenRequest(next(numbers), wants)
            return limits.receive(state, request, Sender("n", 9), HOLDING_AT_S + 2.0)

        yield timed(TOPIC, "token request answered", "accounts asked", size, lend)
