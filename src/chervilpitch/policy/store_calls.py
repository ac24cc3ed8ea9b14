"""Whether the calls by which an instance reads the store are answered."""

from enum import IntEnum, StrEnum

__all__ = ["ReaderStatus", "StoreCalls", "StoreStream"]


class StoreStream(StrEnum):
    """What a reader follows in the store, by one call after the other."""

    CONFIGURATION = "configuration"
    ENTRIES = "entries"


class ReaderStatus(IntEnum):
    """What an instance states about its own reading of the store.

    Builds that don't state it send the first value.
    """

    NOT_READING = 0
    READING = 1
    FAILING = 2


class StoreCalls:
    """The latest call of each stream: in progress, answered or failed.

    Examples
    --------
    >>> calls = StoreCalls()
    >>> calls.begin(StoreStream.ENTRIES, due_at_s=5.0)
    >>> calls.are_failing(4.9), calls.are_failing(5.1)
    (False, True)
    >>> calls.end(StoreStream.ENTRIES, is_answered=True)
    >>> calls.are_failing(9.0)
    False
    """

    def __init__(self) -> None:
        self._due_at_s: dict[StoreStream, float] = {}
        self._failed: set[StoreStream] = set()

    def begin(self, stream: StoreStream, due_at_s: float) -> None:
        """Record that a call is sent.

        Parameters
        ----------
        stream : StoreStream
            Stream of the call.
        due_at_s : float
            Monotonic time in seconds until which a store that serves this instance
            answers.
        """
        self._due_at_s[stream] = due_at_s

    def end(self, stream: StoreStream, is_answered: bool) -> None:
        """Record the end of the call in progress, and whether the store answered."""
        self._due_at_s.pop(stream, None)
        if is_answered:
            self._failed.discard(stream)
        else:
            self._failed.add(stream)

    def clear(self, stream: StoreStream) -> None:
        """Forget a stream that is not read any more."""
        self._due_at_s.pop(stream, None)
        self._failed.discard(stream)

    def are_failing(self, now_s: float) -> bool:
        """Return whether the latest call of a stream has failed or is overdue."""
        if self._failed:
            return True
        return any(now_s > due_at_s for due_at_s in self._due_at_s.values())
