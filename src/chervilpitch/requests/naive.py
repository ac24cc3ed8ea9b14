"""What a hurried author writes: a cache of idempotency keys on each instance.

Kept for the differential tests and the benchmarks; never part of the program.
"""

from collections import OrderedDict

from .outcomes import Outcome
from .records import FirstRun, Recorded

__all__ = ["MAX_ENTRIES", "NaiveRecords", "naive_begin", "naive_finish"]

MAX_ENTRIES = 1_000


class NaiveRecords:
    """Outcomes by idempotency key; the least recently used makes room.

    Parameters
    ----------
    max_entries : int
        Outcomes held at once.
    """

    def __init__(self, max_entries: int = MAX_ENTRIES):
        self._max_entries = max_entries
        self._outcomes: OrderedDict[str, Outcome] = OrderedDict()

    def get(self, key: str) -> Outcome | None:
        """Return the outcome of a key, or None."""
        if key in self._outcomes:
            self._outcomes.move_to_end(key)
        return self._outcomes.get(key)

    def put(self, key: str, outcome: Outcome) -> None:
        """Hold the outcome of a key."""
        self._outcomes[key] = outcome
        if len(self._outcomes) > self._max_entries:
            self._outcomes.popitem(last=False)


def naive_begin(state: NaiveRecords, key: str) -> FirstRun | Recorded:
    """Decide whether a request may run now.

    Parameters
    ----------
    state : NaiveRecords
        Outcomes of this instance.
    key : str
        Idempotency key that came with the request.

    Returns
    -------
    FirstRun or Recorded
        The recorded outcome if this instance holds one.
    """
    outcome = state.get(key)
    return FirstRun(key) if outcome is None else Recorded(outcome)


def naive_finish(state: NaiveRecords, key: str, outcome: Outcome) -> None:
    """Hold the outcome of a request that an upstream answered.

    Parameters
    ----------
    state : NaiveRecords
        Outcomes of this instance; changed.
    key : str
        Idempotency key.
    outcome : Outcome
        The outcome.
    """
    state.put(key, outcome)
