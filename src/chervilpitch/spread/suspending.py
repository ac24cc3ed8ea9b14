"""Keys that stop working before the note that withdraws them is in force."""

from typing import NamedTuple

from chervilpitch.notes import ItemKind, Withdrawn

from .state import SpreadState

__all__ = ["Suspended", "suspended"]


class Suspended(NamedTuple):
    """What is refused while a note waits.

    Parameters
    ----------
    keys : frozenset of str
        Digests of keys.
    accounts : frozenset of str
        Names of client accounts.
    """

    keys: frozenset[str]
    accounts: frozenset[str]


def suspended(state: SpreadState) -> Suspended:
    """Return the keys and accounts that any waiting note withdraws.

    Parameters
    ----------
    state : SpreadState
        State of the instance.

    Returns
    -------
    Suspended
        Withdrawals of all confirmed candidates, rivals included.

    Notes
    -----
    A withdrawal is obeyed at once and a grant only when its note is in force:
    while two notes of one revision are held back, no key works that either of
    them withdraws.
    """
    changes = [
        change
        for candidate in state.chain.vouched
        for change in candidate.note.changes
        if isinstance(change, Withdrawn)
    ]
    return Suspended(
        frozenset(c.name for c in changes if c.kind is ItemKind.KEY),
        frozenset(c.name for c in changes if c.kind is ItemKind.ACCOUNT),
    )
