"""Which instances of a region read the store for the others."""

from collections.abc import Sequence

from .members import Member, MemberState

__all__ = ["READER_COUNT", "ReaderElection", "is_proof_current", "peers_to_query"]

READER_COUNT = 2
HEAR_FIRST_S = 1.0
FIRST_ANSWER_S = 1.6
UNANSWERED_S = 0.9
STEP_S = 0.1
MOST_STEPS = 4
READ_FOR_S = 4.0
CURRENT_S = 2.2


class ReaderElection:
    """Whether this instance reads the store itself, and for how long.

    Each instance reads once when it starts and then waits to hear of others. The
    first two of a region read on; the others take their answers, and turn to the
    second when the first fails. When neither answers in time the others begin to
    read one after the other, so that the store isn't asked by all of them at once,
    also when all have just started.

    Parameters
    ----------
    now_s : float
        Monotonic time in seconds at which the instance starts.
    """

    def __init__(self, now_s: float):
        self._started_at_s = now_s
        self._answered_at_s: float | None = None
        self._until_s = float("-inf")
        self._is_reading = False

    @property
    def is_reading(self) -> bool:
        """Whether this instance reads the store now."""
        return self._is_reading

    def record_answer(self, at_s: float) -> None:
        """Note the question's time of an answer that is current."""
        self._answered_at_s = max(at_s, self._answered_at_s or at_s)

    def update(self, ranked: Sequence[Member], own: Member, now_s: float) -> bool:
        """Decide whether to read, and return it.

        Parameters
        ----------
        ranked : sequence of Member
            Instances of the region in the order that all of them agree on.
        own : Member
            This instance.
        now_s : float
            Monotonic time in seconds.
        """
        rank = next(at for at, member in enumerate(ranked) if member.name == own.name)
        if self._is_left_alone(rank, now_s):
            self._until_s = now_s + READ_FOR_S
        has_heard = now_s - self._started_at_s >= HEAR_FIRST_S
        is_first = rank == 0 or (
            rank < READER_COUNT and self._answered_at_s is not None
        )
        self._is_reading = has_heard and (is_first or now_s < self._until_s)
        return self._is_reading

    def _is_left_alone(self, rank, now_s):
        step_s = STEP_S * min(rank, MOST_STEPS)
        if self._answered_at_s is None:
            return now_s - self._started_at_s > FIRST_ANSWER_S + step_s
        return now_s - self._answered_at_s > UNANSWERED_S + step_s


def is_proof_current(proof_age_s: float) -> bool:
    """Return whether an instance that answers with this proof reads the store."""
    return proof_age_s < CURRENT_S


def peers_to_query(ranked: Sequence[Member], own: Member) -> list[Member]:
    """Return the instances to ask, best first."""
    others = [member for member in ranked if member.name != own.name]
    return [item for item in others if item.state != MemberState.LEAVING]
