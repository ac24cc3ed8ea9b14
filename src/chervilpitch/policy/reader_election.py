"""Election of the instances of a region that read the store for the others."""

from collections.abc import Sequence

from .aggregation import aggregators_of
from .members import Member, MemberState

__all__ = ["READER_COUNT", "ReaderElection", "is_proof_current", "peers_to_query"]

READER_COUNT = 2
DISCOVERY_S = 1.0
FIRST_ANSWER_TIMEOUT_S = 1.6
ANSWER_TIMEOUT_S = 0.9
STAGGER_STEP_S = 0.1
MAX_STAGGER_STEPS = 4
GROUP_STAGGER_S = 0.8
FALLBACK_READ_S = 4.0
STALE_ANSWER_TIMEOUT_S = 0.3
FAILING_READER_PAUSE_S = 1.5
"""Time for which an instance that fails to read the store counts as no reader."""
MAX_PROOF_AGE_S = 2.7
"""Age that the proof of a reader reaches between two watches, with a margin."""


class ReaderElection:
    """Decision whether this instance reads the store itself.

    Each instance reads once when it starts and then waits to discover the others.
    The first ``READER_COUNT`` instances of a region by rank continue to read. The
    others query them, and switch to the second if the first fails.

    A reader that the store turns away says so when it is queried. The next ones by rank
    then read in its place, as many as fail and at least ``READER_COUNT``; it goes on
    trying. If no reader answers in time, the others start to read one after another,
    by rank, so that they do not all query the store at once, even if all have just
    started. An instance that is not an aggregator gives its aggregator time to do so
    first.

    Parameters
    ----------
    now_s : float
        Monotonic time in seconds at which the instance starts.
    """

    def __init__(self, now_s: float):
        self._started_at_s = now_s
        self._answered_at_s: float | None = None
        self._is_answer_stale = False
        self._fallback_until_s = float("-inf")
        self._failing_until_s: dict[str, float] = {}
        self._is_reading = False
        self._is_replacement = False

    @property
    def is_reading(self) -> bool:
        """Whether this instance reads the store now."""
        return self._is_reading

    @property
    def is_replacement(self) -> bool:
        """Whether this instance reads only while the first readers fail."""
        return self._is_replacement

    def record_answer(self, asked_at_s: float, is_current: bool = True) -> None:
        """Record an answer by the time at which its query was sent.

        Parameters
        ----------
        asked_at_s : float
            Monotonic time in seconds.
        is_current : bool
            Whether it had a current proof. If not, the sender runs and can't read the
            store, so that others need not wait as long before they read.
        """
        self._is_answer_stale = not is_current
        if is_current:
            self._answered_at_s = max(asked_at_s, self._answered_at_s or asked_at_s)

    def record_failing(self, name: str, now_s: float) -> None:
        """Record that an instance reads the store and says that its calls fail."""
        self._failing_until_s = {
            other: until_s
            for other, until_s in self._failing_until_s.items()
            if now_s < until_s
        }
        self._failing_until_s[name] = now_s + FAILING_READER_PAUSE_S

    def record_reading(self, name: str) -> None:
        """Record that an instance says that the store answers its calls."""
        self._failing_until_s.pop(name, None)

    def is_failing(self, name: str, now_s: float) -> bool:
        """Return whether an instance said recently that its calls fail."""
        return now_s < self._failing_until_s.get(name, float("-inf"))

    def sources(
        self, ranked: Sequence[Member], own: Member, now_s: float
    ) -> list[Member]:
        """Return the instances to query for the store's state, the readers first.

        Parameters
        ----------
        ranked : sequence of Member
            Instances of the region by rank.
        own : Member
            This instance.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        list of Member
            Instances that are not leaving, by rank; while some fail to read the store,
            the aggregators that don't, if there are any.
        """
        if not self._failing_until_s:
            return peers_to_query(ranked, own)
        aggregators = aggregators_of(ranked)
        able = self._able(aggregators, own, now_s)
        others = [item for item in able if item.name != own.name]
        if len(able) == len(aggregators) or not others:
            return peers_to_query(ranked, own)
        return others

    def update(
        self,
        ranked: Sequence[Member],
        own: Member,
        now_s: float,
        is_isolated: bool = False,
    ) -> bool:
        """Decide whether this instance reads the store now, and return the decision.

        Parameters
        ----------
        ranked : sequence of Member
            Instances of the region by rank, in the same order on all of them.
        own : Member
            This instance.
        now_s : float
            Monotonic time in seconds.
        is_isolated : bool
            Whether neither many others nor a newer proof has been heard of recently.
            An aggregator then reads at once: if the store answers, the others are
            dead and this instance is not cut off.
        """
        rank = next(
            index for index, member in enumerate(ranked) if member.name == own.name
        )
        aggregators = aggregators_of(ranked)
        aggregates = any(item.name == own.name for item in aggregators)
        stagger_s = STAGGER_STEP_S * min(rank, MAX_STAGGER_STEPS)
        if not aggregates:
            stagger_s += GROUP_STAGGER_S
        is_replacing = self._is_replacing(aggregators, own, now_s)
        has_timed_out = self._has_timed_out(stagger_s, now_s)
        if is_replacing or (aggregates and is_isolated) or has_timed_out:
            self._fallback_until_s = now_s + FALLBACK_READ_S
        has_discovered = now_s - self._started_at_s >= DISCOVERY_S
        is_first_reader = rank == 0 or (
            rank < READER_COUNT and self._answered_at_s is not None
        )
        self._is_reading = has_discovered and (
            is_first_reader or now_s < self._fallback_until_s
        )
        self._is_replacement = self._is_reading and not is_first_reader
        return self._is_reading

    def _able(self, aggregators, own, now_s) -> list[Member]:
        """Return the aggregators that may read the store, this one included."""
        return [
            item
            for item in aggregators
            if item.name == own.name or not self.is_failing(item.name, now_s)
        ]

    def _is_replacing(self, aggregators, own, now_s) -> bool:
        """Return whether this instance reads in the place of readers that fail."""
        if self._answered_at_s is None or not self._failing_until_s:
            return False
        able = self._able(aggregators, own, now_s)
        failing_count = len(aggregators) - len(able)
        if not failing_count:
            return False
        readers = able[: max(READER_COUNT, failing_count)]
        return any(item.name == own.name for item in readers)

    def _has_timed_out(self, stagger_s, now_s):
        if self._answered_at_s is None:
            return now_s - self._started_at_s > FIRST_ANSWER_TIMEOUT_S + stagger_s
        timeout_s = (
            STALE_ANSWER_TIMEOUT_S if self._is_answer_stale else ANSWER_TIMEOUT_S
        )
        return now_s - self._answered_at_s > timeout_s + stagger_s


def is_proof_current(proof_age_s: float) -> bool:
    """Return whether the age of a proof shows that its sender can read the store."""
    return proof_age_s < MAX_PROOF_AGE_S


def peers_to_query(ranked: Sequence[Member], own: Member) -> list[Member]:
    """Return the instances to query for the store's state, in order of preference."""
    others = [member for member in ranked if member.name != own.name]
    return [item for item in others if item.state != MemberState.LEAVING]
