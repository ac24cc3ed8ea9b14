"""Events that change the limits of an instance, and their effects."""

from functools import singledispatch
from typing import Any, NamedTuple

from chervilpitch.model import Catalogue, Effect, Event, Record, Send, Sender

from .lending import ask_homes, expire_requests, lend, request_tokens, take_grant
from .messages import Claim, Grant, Promise, Release, TokenRequest
from .state import LimitState

__all__ = [
    "AccountShare",
    "request_tokens",
    "update_instances",
    "release_seat_and_loans",
    "apply_catalogue",
    "receive",
    "account_shares",
    "tick",
]


class AccountShare(NamedTuple):
    """What an instance has of one client account, for a status page.

    Parameters
    ----------
    account : str
        Name of the client account.
    level : float
        Tokens in the bucket minted here.
    lent : float
        Tokens lent to others.
    borrowed : float
        Tokens borrowed from others.
    demand_per_s : float
        Estimated tokens per second that callers ask of this instance.
    """

    account: str
    level: float
    lent: float
    borrowed: float
    demand_per_s: float


def receive(
    state: LimitState, message: Any, sender: Sender, now_s: float
) -> tuple[Effect, ...]:
    """Take a message of another instance.

    Parameters
    ----------
    state : LimitState
        The instance's state.
    message : NamedTuple
        A message of `chervilpitch.limits.messages`.
    sender : Sender
        Its authenticated sender.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Answers and events.
    """
    held = state.lease.holds(now_s)
    effects = _take(message, state, sender, now_s)
    return effects + _tenure_events(state, held, now_s)


def tick(state: LimitState, now_s: float) -> tuple[Effect, ...]:
    """Do what falls due: claims, token requests and dropping what is idle.

    Parameters
    ----------
    state : LimitState
        The instance's state.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Messages to other instances and events.

    Notes
    -----
    Call it every `TOKEN_REQUEST_INTERVAL_S`.
    """
    held = state.lease.held_since_s is not None
    expire_requests(state, now_s)
    effects = _claims(state, now_s) + ask_homes(state, now_s)
    state.forget_idle(now_s)
    return effects + _tenure_events(state, held, now_s)


def apply_catalogue(
    state: LimitState, catalogue: Catalogue, now_s: float
) -> tuple[Effect, ...]:
    """Follow a new catalogue.

    Parameters
    ----------
    state : LimitState
        The instance's state.
    catalogue : Catalogue
        Everything in force from now on.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Always empty.
    """
    state.replace_catalogue(catalogue, now_s)
    return ()


def update_instances(state: LimitState, instances, now_s: float) -> tuple[Effect, ...]:
    """Follow the published list of instances.

    Parameters
    ----------
    state : LimitState
        The instance's state.
    instances : mapping of str to Instance
        The instances known, by name.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Always empty.
    """
    holders: dict[int, tuple[str, ...]] = {}
    for name in sorted(instances):
        if name != state.own.name:
            seat = instances[name].seat
            holders[seat] = holders.get(seat, ()) + (name,)
    state.follow_holders(holders)
    return ()


def release_seat_and_loans(state: LimitState, now_s: float) -> tuple[Effect, ...]:
    """Hand back what a stopping instance holds; it may still borrow.

    Parameters
    ----------
    state : LimitState
        The instance's state.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Closings to givers and the release of the seat to its witnesses.
    """
    for borrowing in state.borrowings.values():
        borrowing.hand_back()
    closings = ask_homes(state, now_s)
    return closings + _release(state)


def account_shares(state: LimitState, now_s: float) -> tuple[AccountShare, ...]:
    """Return what the instance has of each account in use here.

    Parameters
    ----------
    state : LimitState
        The instance's state.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of AccountShare
        In the order of the accounts' names.
    """
    holds = state.lease.holds(now_s)
    buckets = state.buckets if holds else {}
    names = buckets.keys() | state.borrowings.keys()
    return tuple(
        _share(state, name, buckets.get(name), now_s) for name in sorted(names)
    )


def _share(state: LimitState, name: str, bucket, now_s: float) -> AccountShare:
    level = bucket.level(now_s) if bucket else 0.0
    lent = bucket.lent(now_s) if bucket else 0.0
    borrowing = state.borrowings.get(name)
    borrowed = borrowing.tokens(now_s) if borrowing else 0.0
    demand_per_s = borrowing.demand_per_s if borrowing else 0.0
    return AccountShare(name, level, lent, borrowed, demand_per_s)


@singledispatch
def _take(message, state, sender, now_s):
    raise TypeError(type(message).__name__)


@_take.register
def _(message: Claim, state, sender, now_s):
    answer = state.lease.answer(message, sender.incarnation, now_s)
    return (Send(sender.name, answer),)


@_take.register
def _(message: Promise, state, sender, now_s):
    state.lease.take(message, now_s)
    return ()


@_take.register
def _(message: Release, state, sender, now_s):
    state.lease.released(message.seat, sender.incarnation)
    return ()


@_take.register
def _(message: TokenRequest, state, sender, now_s):
    grant = lend(state, message, sender, now_s)
    return (Send(sender.name, grant),) if message.wants else ()


@_take.register
def _(message: Grant, state, sender, now_s):
    take_grant(state, message, sender, now_s)
    return ()


def _claims(state: LimitState, now_s: float) -> tuple[Send, ...]:
    receivers = state.lease.claims_due(now_s)
    names = [name for seat in receivers for name in state.instances_of_seat(seat)]
    return tuple(Send(name, state.lease.claim(now_s)) for name in names)


def _release(state: LimitState) -> tuple[Send, ...]:
    seat = state.lease.seat
    receivers = state.lease.give_up_for_good()
    names = [name for witness in receivers for name in state.instances_of_seat(witness)]
    return tuple(Send(name, Release(seat)) for name in names)


def _tenure_events(state: LimitState, held: bool, now_s: float) -> tuple[Record, ...]:
    holds = state.lease.holds(now_s)
    if holds == held:
        return ()
    name = "seat-held" if holds else "seat-lost"
    return (Record(Event("limits", name, str(state.lease.seat))),)
