"""Suspension of keys and accounts that a note not yet in force withdraws."""

from typing import NamedTuple

from chervilpitch.notes import ItemKind, Withdrawn

from .state import SpreadState

__all__ = ["Suspended", "suspended"]


class Suspended(NamedTuple):
    """Keys and client accounts that are refused while notes wait.

    Parameters
    ----------
    keys : frozenset of str
        Digests of the suspended keys.
    accounts : frozenset of str
        Names of the suspended client accounts.
    """

    keys: frozenset[str]
    accounts: frozenset[str]


def suspended(state: SpreadState) -> Suspended:
    """Return the keys and client accounts that any waiting note withdraws.

    Parameters
    ----------
    state : SpreadState
        State of the instance.

    Returns
    -------
    Suspended
        Withdrawals of all confirmed candidates, including conflicting ones.

    Notes
    -----
    A withdrawal takes effect at once, an addition only when its note is in force.
    While two conflicting notes are held back, no key is valid that either of them
    withdraws.
    """
    changes = [
        change
        for candidate in state.chain.confirmed_candidates
        for change in candidate.note.changes
        if isinstance(change, Withdrawn)
    ]
    return Suspended(
        frozenset(c.name for c in changes if c.kind is ItemKind.KEY),
        frozenset(c.name for c in changes if c.kind is ItemKind.ACCOUNT),
    )
