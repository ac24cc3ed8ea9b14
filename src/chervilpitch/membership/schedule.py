"""When heartbeats fall due, and the numbers that they carry."""

__all__ = ["Schedule"]

HELLO_PERIOD_S = 1.0
ANNOUNCE_AGAIN_S = 1_200.0
FORGET_PERIOD_S = 60.0


class Schedule:
    """Deadlines and serial numbers of the heartbeats of one instance.

    Parameters
    ----------
    now_s : float
        Monotonic time in seconds.
    """

    def __init__(self, now_s: float) -> None:
        self._ticked_at_s = now_s
        self._hello_at_s = now_s
        self._announce_at_s = now_s + ANNOUNCE_AGAIN_S
        self._forget_at_s = now_s + FORGET_PERIOD_S
        self._sequence = 0
        self._announcement_serial = 1
        self._report_serial = 0

    @property
    def last_tick_at_s(self) -> float:
        """Monotonic time in seconds at which the process ran last."""
        return self._ticked_at_s

    @property
    def announcement_serial(self) -> int:
        """Number of the last announcement."""
        return self._announcement_serial

    def note_tick(self, now_s: float) -> float:
        """Note that the process runs and return the seconds since it did before."""
        since_s = now_s - self._ticked_at_s
        self._ticked_at_s = now_s
        return since_s

    def take_hello_turn(self, now_s: float) -> bool:
        """Return whether heartbeats are due, and set the next deadline if so."""
        if now_s < self._hello_at_s:
            return False
        self._hello_at_s = now_s + HELLO_PERIOD_S
        return True

    def take_announcement_turn(self, now_s: float) -> bool:
        """Return whether to announce again, and set the next deadline if so."""
        if now_s < self._announce_at_s:
            return False
        self._announce_at_s = now_s + ANNOUNCE_AGAIN_S
        return True

    def take_forget_turn(self, now_s: float) -> bool:
        """Return whether to forget old news, and set the next deadline if so."""
        if now_s < self._forget_at_s:
            return False
        self._forget_at_s = now_s + FORGET_PERIOD_S
        return True

    def trigger_hello(self, now_s: float) -> None:
        """Make heartbeats due at once."""
        self._hello_at_s = now_s

    def hurry_announcement(self, now_s: float) -> None:
        """Make an announcement due with the next heartbeats."""
        self._announce_at_s = now_s

    def next_sequence(self) -> int:
        """Return the number of the next heartbeat."""
        self._sequence += 1
        return self._sequence

    def next_announcement(self) -> int:
        """Return the number of the next announcement."""
        self._announcement_serial += 1
        return self._announcement_serial

    def next_report(self) -> int:
        """Return the number of the next report of silence."""
        self._report_serial += 1
        return self._report_serial
