"""Rate limiting of one instance: handles messages, ticks and configuration."""

from functools import singledispatch
from typing import Any, NamedTuple

from chervilpitch.model import Catalogue, Effect, Event, Record, Send, Sender

from .lending import (
    apply_grant,
    expire_requests,
    grant_tokens,
    request_due_tokens,
    request_tokens,
)
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
    """Tokens of one client account on one instance, for the status output.

    Parameters
    ----------
    account : str
        Name of the client account.
    level : float
        Tokens in the bucket of this instance.
    lent : float
        Tokens lent to other instances.
    borrowed : float
        Tokens borrowed from other instances.
    demand_per_s : float
        Estimated demand of callers on this instance in tokens per second.
    """

    account: str
    level: float
    lent: float
    borrowed: float
    demand_per_s: float


def receive(
    state: LimitState, message: Any, sender: Sender, now_s: float
) -> tuple[Effect, ...]:
    """Handle a message from another instance.

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

    Raises
    ------
    TypeError
        If the message is of another type.
    """
    held_before = state.lease.holds(now_s)
    effects = _handle(message, state, sender, now_s)
    return effects + _seat_events(state, held_before, now_s)


def tick(state: LimitState, now_s: float) -> tuple[Effect, ...]:
    """Send due claims and token requests and remove idle state.

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
    held_before = state.lease.held_since_s is not None
    expire_requests(state, now_s)
    effects = _due_claims(state, now_s) + request_due_tokens(state, now_s)
    state.remove_idle(now_s)
    return effects + _seat_events(state, held_before, now_s)


def apply_catalogue(
    state: LimitState, catalogue: Catalogue, now_s: float
) -> tuple[Effect, ...]:
    """Apply a new catalogue.

    Parameters
    ----------
    state : LimitState
        The instance's state.
    catalogue : Catalogue
        The new catalogue.
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
    """Apply the published list of instances.

    Parameters
    ----------
    state : LimitState
        The instance's state.
    instances : mapping of str to Instance
        The known instances, by name.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Always empty.
    """
    seat_instances: dict[int, tuple[str, ...]] = {}
    for name in sorted(instances):
        if name != state.own.name:
            seat = instances[name].seat
            seat_instances[seat] = seat_instances.get(seat, ()) + (name,)
    state.update_seat_instances(seat_instances)
    return ()


def release_seat_and_loans(state: LimitState, now_s: float) -> tuple[Effect, ...]:
    """Return the loans and release the seat of a stopping instance.

    The instance may still borrow tokens afterwards.

    Parameters
    ----------
    state : LimitState
        The instance's state.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Closings to the lenders and the release of the seat to its witnesses.
    """
    for borrowing in state.borrowings.values():
        borrowing.return_loans()
    closings = request_due_tokens(state, now_s)
    return closings + _release_seat(state)


def account_shares(state: LimitState, now_s: float) -> tuple[AccountShare, ...]:
    """Return the tokens of each account in use on this instance.

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
    holds_seat = state.lease.holds(now_s)
    buckets = state.buckets if holds_seat else {}
    names = buckets.keys() | state.borrowings.keys()
    return tuple(
        _account_share(state, name, buckets.get(name), now_s) for name in sorted(names)
    )


def _account_share(state: LimitState, name: str, bucket, now_s: float) -> AccountShare:
    level = bucket.level(now_s) if bucket else 0.0
    lent = bucket.lent(now_s) if bucket else 0.0
    borrowing = state.borrowings.get(name)
    borrowed = borrowing.tokens(now_s) if borrowing else 0.0
    demand_per_s = borrowing.demand_per_s if borrowing else 0.0
    return AccountShare(name, level, lent, borrowed, demand_per_s)


@singledispatch
def _handle(message, state, sender, now_s):
    raise TypeError(f"unsupported message type: {type(message).__name__}")


@_handle.register
def _(message: Claim, state, sender, now_s):
    answer = state.lease.answer_claim(message, sender.incarnation, now_s)
    return (Send(sender.name, answer),)


@_handle.register
def _(message: Promise, state, sender, now_s):
    state.lease.record_promise(message, now_s)
    return ()


@_handle.register
def _(message: Release, state, sender, now_s):
    state.lease.withdraw_promise(message.seat, sender.incarnation)
    return ()


@_handle.register
def _(message: TokenRequest, state, sender, now_s):
    grant = grant_tokens(state, message, sender, now_s)
    return (Send(sender.name, grant),) if message.wants else ()


@_handle.register
def _(message: Grant, state, sender, now_s):
    apply_grant(state, message, sender, now_s)
    return ()


def _due_claims(state: LimitState, now_s: float) -> tuple[Send, ...]:
    receivers = state.lease.due_claim_receivers(now_s)
    names = [name for seat in receivers for name in state.instances_of_seat(seat)]
    return tuple(Send(name, state.lease.new_claim(now_s)) for name in names)


def _release_seat(state: LimitState) -> tuple[Send, ...]:
    seat = state.lease.seat
    receivers = state.lease.release_permanently()
    names = [name for witness in receivers for name in state.instances_of_seat(witness)]
    return tuple(Send(name, Release(seat)) for name in names)


def _seat_events(
    state: LimitState, held_before: bool, now_s: float
) -> tuple[Record, ...]:
    holds_seat = state.lease.holds(now_s)
    if holds_seat == held_before:
        return ()
    name = "seat-held" if holds_seat else "seat-lost"
    return (Record(Event("limits", name, str(state.lease.seat))),)
