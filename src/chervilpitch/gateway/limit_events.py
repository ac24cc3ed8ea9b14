"""Counts and log lines of limits on callers that took effect."""

from collections import Counter
from collections.abc import Mapping
from enum import StrEnum

from chervilpitch.observe import part_logger

__all__ = ["LimitEvents", "LimitKind"]

log = part_logger("callers")

LOG_INTERVAL_S = 10.0
"""Shortest time between two log lines of a kind, as callers cause any number."""


class LimitKind(StrEnum):
    """Kind of limit, and what it did."""

    STALLED_CLOSED = "stalled_callers_closed"
    UNSENT_CLOSED = "unsent_responses_closed"
    UNSENT_REFUSED = "unsent_responses_refused"
    UNPARSED_REFUSED = "unparsed_input_refused"
    IDLE_CLOSED = "connection_limit_closed"
    CONNECTION_REFUSED = "connection_limit_refused"
    BODY_REFUSED = "bodies_refused"
    SLOW_BODY_REFUSED = "slow_bodies_refused"


class LimitEvents:
    """How often each limit took effect; logged once in a while."""

    def __init__(self) -> None:
        self._counts: Counter[LimitKind] = Counter()
        self._next_line_at_s: dict[LimitKind, float] = {}

    @property
    def counts(self) -> Mapping[LimitKind, int]:
        """Number of times so far, by kind."""
        return self._counts

    def record(self, kind: LimitKind, now_s: float) -> None:
        """Count that a limit took effect.

        Parameters
        ----------
        kind : LimitKind
            The limit.
        now_s : float
            Monotonic time in seconds.
        """
        self._counts[kind] += 1
        if now_s < self._next_line_at_s.get(kind, float("-inf")):
            return
        self._next_line_at_s[kind] = now_s + LOG_INTERVAL_S
        log.warning(
            "Limit on callers took effect.", limit=kind, so_far=self.count(kind)
        )

    def count(self, kind: LimitKind) -> int:
        """Return the number of times so far of one kind."""
        return self._counts[kind]
