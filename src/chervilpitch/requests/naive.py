"""Baseline: a cache of idempotency keys on each instance, without any handover.

Used by differential tests and benchmarks only, never by a running instance.
"""

from collections import OrderedDict

from .outcomes import Outcome
from .records import FirstRun, Recorded

__all__ = ["MAX_ENTRIES", "NaiveRecords", "naive_begin_request", "naive_record_outcome"]

MAX_ENTRIES = 1_000


class NaiveRecords:
    """Outcomes by idempotency key, evicted in least-recently-used order.

    Parameters
    ----------
    max_entries : int
        Largest number of outcomes stored at once.
    """

    def __init__(self, max_entries: int = MAX_ENTRIES):
        self._max_entries = max_entries
        self._outcomes: OrderedDict[str, Outcome] = OrderedDict()

    def get(self, key: str) -> Outcome | None:
        """Return the outcome of a key, or None."""
        if key in self._outcomes:
            self._outcomes.move_to_end(key)
        return self._outcomes.get(key)

    def store(self, key: str, outcome: Outcome) -> None:
        """Store the outcome of a key."""
        self._outcomes[key] = outcome
        if len(self._outcomes) > self._max_entries:
            self._outcomes.popitem(last=False)


def naive_begin_request(state: NaiveRecords, key: str) -> FirstRun | Recorded:
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
        The recorded outcome if this instance still has one.
    """
    outcome = state.get(key)
    return FirstRun(key) if outcome is None else Recorded(outcome)


def naive_record_outcome(state: NaiveRecords, key: str, outcome: Outcome) -> None:
    """Store the outcome of a request that an upstream answered.

    Parameters
    ----------
    state : NaiveRecords
        Outcomes of this instance; modified in place.
    key : str
        Idempotency key.
    outcome : Outcome
        The outcome.
    """
    state.store(key, outcome)
