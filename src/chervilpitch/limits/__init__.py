"""Distributed rate limiting of client accounts over all instances together."""

from .admission import TOKEN_REQUEST_INTERVAL_S, admit
from .homes import group_seats, home_seats
from .limiter import (
    AccountShare,
    account_shares,
    apply_catalogue,
    receive,
    release_seat_and_loans,
    request_tokens,
    tick,
    update_instances,
)
from .messages import Claim, Closing, Grant, Loan, Promise, Release, TokenRequest, Want
from .state import LimitState

__all__ = [
    "TOKEN_REQUEST_INTERVAL_S",
    "AccountShare",
    "Claim",
    "Closing",
    "Grant",
    "LimitState",
    "Loan",
    "Promise",
    "Release",
    "TokenRequest",
    "Want",
    "admit",
    "request_tokens",
    "update_instances",
    "group_seats",
    "home_seats",
    "release_seat_and_loans",
    "apply_catalogue",
    "receive",
    "account_shares",
    "tick",
]
