"""Rates and bursts of client accounts over all instances together."""

from .admission import ASK_INTERVAL_S, admit
from .core import (
    AccountShare,
    ask_for_account,
    follow_instances,
    leaving,
    put_in_force,
    receive,
    shares,
    tick,
)
from .homes import group_seats, home_seats
from .messages import Claim, Closing, Grant, Loan, Promise, Release, TokenRequest, Want
from .state import LimitState

__all__ = [
    "ASK_INTERVAL_S",
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
    "ask_for_account",
    "follow_instances",
    "group_seats",
    "home_seats",
    "leaving",
    "put_in_force",
    "receive",
    "shares",
    "tick",
]
