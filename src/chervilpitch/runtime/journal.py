"""Event time line and hybrid logical clock of an instance."""

import threading

from chervilpitch.model import Event, Sender
from chervilpitch.observe import (
    Chunk,
    Clock,
    Timeline,
    encode_events,
    merge,
    part_logger,
    stamp,
    tick,
)
from chervilpitch.transport.clock import wall_ns

__all__ = ["Journal"]

MAX_EVENTS_RETURNED = 20_000


class Journal:
    """Stamp, store and log the events of one instance.

    Parameters
    ----------
    sender : Sender
        Name and incarnation of the instance.
    """

    def __init__(self, sender: Sender):
        self._name = sender.name
        self._clock = Clock()
        self._timeline = Timeline(sender.incarnation)
        self._lock = threading.Lock()

    def record(self, event: Event) -> None:
        """Append an event to the time line and log it.

        Parameters
        ----------
        event : Event
            The event.
        """
        with self._lock:
            self._clock = tick(self._clock, wall_ns())
            self._timeline.append(stamp(self._clock, self._name), event)
        sentence = f"{event.name.replace('-', ' ').capitalize()}."
        part_logger(event.part).info(
            sentence, subject=event.subject, detail=event.detail
        )

    def clock_for_message(self) -> Clock:
        """Advance the clock and return it for a message to be sent."""
        with self._lock:
            self._clock = tick(self._clock, wall_ns())
            return self._clock

    def merge_clock(self, remote: Clock, origin: str) -> None:
        """Merge the clock of a received message.

        A clock that is too far ahead is not merged; this is recorded as an event.

        Parameters
        ----------
        remote : Clock
            Clock of the message.
        origin : str
            Name of the sender.
        """
        with self._lock:
            merged = merge(self._clock, remote, wall_ns())
            self._clock = merged.unwrap_or(self._clock)
        if merged.is_err():
            ahead_s = merged.unwrap_err().ahead_ns / 1e9
            detail = f"{ahead_s:.1f} s ahead"
            self.record(Event("observe", "clock-refused", origin, detail))

    def lines(self) -> str:
        """Return the stored events as JSON lines, at most ``MAX_EVENTS_RETURNED``."""
        with self._lock:
            chunk: Chunk = self._timeline.since(None, MAX_EVENTS_RETURNED)
        return encode_events(chunk.events)
