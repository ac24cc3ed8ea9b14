"""Timers and serial numbers of heartbeats."""

__all__ = ["Schedule"]

HELLO_INTERVAL_S = 1.0
ANNOUNCEMENT_INTERVAL_S = 1_200.0
CLEANUP_INTERVAL_S = 60.0


class Schedule:
    """Timers and serial numbers of the heartbeats of one instance.

    Parameters
    ----------
    now_s : float
        Monotonic time in seconds.
    """

    def __init__(self, now_s: float) -> None:
        self._last_tick_at_s = now_s
        self._hello_at_s = now_s
        self._announce_at_s = now_s + ANNOUNCEMENT_INTERVAL_S
        self._cleanup_at_s = now_s + CLEANUP_INTERVAL_S
        self._sequence = 0
        self._announcement_serial = 1
        self._report_serial = 0

    @property
    def last_tick_at_s(self) -> float:
        """Monotonic time in seconds of the last tick."""
        return self._last_tick_at_s

    @property
    def announcement_serial(self) -> int:
        """Serial number of the last announcement."""
        return self._announcement_serial

    def record_tick(self, now_s: float) -> float:
        """Record a tick and return the seconds since the previous one."""
        gap_s = now_s - self._last_tick_at_s
        self._last_tick_at_s = now_s
        return gap_s

    def poll_hello_timer(self, now_s: float) -> bool:
        """Return whether heartbeats are due, and restart the timer if so."""
        if now_s < self._hello_at_s:
            return False
        self._hello_at_s = now_s + HELLO_INTERVAL_S
        return True

    def poll_announcement_timer(self, now_s: float) -> bool:
        """Return whether an announcement is due, and restart the timer if so."""
        if now_s < self._announce_at_s:
            return False
        self._announce_at_s = now_s + ANNOUNCEMENT_INTERVAL_S
        return True

    def poll_cleanup_timer(self, now_s: float) -> bool:
        """Return whether a cleanup is due, and restart the timer if so."""
        if now_s < self._cleanup_at_s:
            return False
        self._cleanup_at_s = now_s + CLEANUP_INTERVAL_S
        return True

    def trigger_hello(self, now_s: float) -> None:
        """Make heartbeats due immediately."""
        self._hello_at_s = now_s

    def trigger_announcement(self, now_s: float) -> None:
        """Make an announcement due with the next heartbeats."""
        self._announce_at_s = now_s

    def next_sequence(self) -> int:
        """Return the sequence number of the next heartbeat."""
        self._sequence += 1
        return self._sequence

    def next_announcement_serial(self) -> int:
        """Increase the serial number of the announcement and return it."""
        self._announcement_serial += 1
        return self._announcement_serial

    def next_report_serial(self) -> int:
        """Return the serial number of the next report of silence."""
        self._report_serial += 1
        return self._report_serial
