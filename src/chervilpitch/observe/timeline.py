"""Event time line: a ring buffer per instance, merged into one ordered view."""

import heapq
import json
from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple, TypedDict

from result import Err, Ok, Result

from chervilpitch.model import Event

from .clock import Stamp

__all__ = [
    "BadLine",
    "Chunk",
    "EventLine",
    "Gap",
    "StampedEvent",
    "Timeline",
    "decode_events",
    "encode_events",
    "merge_events",
]

DEFAULT_CAPACITY_EVENTS = 20_000
DEFAULT_CHUNK_EVENTS = 1_000


class StampedEvent(NamedTuple):
    """An event with its timestamp and sequence number.

    Parameters
    ----------
    stamp : Stamp
        Timestamp of the hybrid logical clock.
    number : int
        Sequence number of the event in its incarnation, from 0, without gaps.
    event : Event
        The event.
    incarnation : int
        Incarnation of the instance's process; numbering restarts with it.
    """

    stamp: Stamp
    number: int
    event: Event
    incarnation: int = 0


class Gap(NamedTuple):
    """Events of one instance that are missing from a merged view.

    Parameters
    ----------
    stamp : Stamp
        Stamp of the first event after the gap.
    missing : int
        Number of events missing.
    """

    stamp: Stamp
    missing: int


class EventLine(TypedDict):
    """Fields of one event in a JSON line."""

    wall_ns: int
    count: int
    instance: str
    incarnation: int
    number: int
    part: str
    name: str
    subject: str
    detail: str


class BadLine(NamedTuple):
    """A line that does not encode an event.

    Parameters
    ----------
    number : int
        Line number, from 1.
    reason : str
        What is wrong with the line.
    """

    number: int
    reason: str


class Chunk(NamedTuple):
    """A page of events of a time line.

    Parameters
    ----------
    events : tuple of StampedEvent
        Events in order.
    has_more : bool
        Whether later events follow.
    """

    events: tuple[StampedEvent, ...]
    has_more: bool


class Timeline:
    """Ring buffer of the latest events of one instance.

    Parameters
    ----------
    incarnation : int
        Incarnation of this process.
    capacity : int
        Maximum number of events stored.

    Examples
    --------
    >>> line = Timeline(capacity=1)
    >>> line.append(Stamp(1, 0, "a"), Event("limits", "tenure-won", "fitters"))
    >>> line.append(Stamp(2, 0, "a"), Event("limits", "tenure-lost", "fitters"))
    >>> len(line), line.dropped
    (1, 1)
    """

    def __init__(
        self, incarnation: int = 0, capacity: int = DEFAULT_CAPACITY_EVENTS
    ) -> None:
        self._incarnation = incarnation
        self._events: deque[StampedEvent] = deque(maxlen=capacity)
        self._next_number = 0

    def __len__(self) -> int:
        return len(self._events)

    @property
    def dropped(self) -> int:
        """Number of events dropped because the buffer was full."""
        return self._next_number - len(self._events)

    def append(self, stamp: Stamp, event: Event) -> None:
        """Append an event; drops the oldest one if the buffer is full.

        Parameters
        ----------
        stamp : Stamp
            Timestamp, later than those of all earlier events.
        event : Event
            The event.
        """
        number = self._next_number
        self._next_number += 1
        self._events.append(StampedEvent(stamp, number, event, self._incarnation))

    def since(
        self, stamp: Stamp | None = None, limit: int = DEFAULT_CHUNK_EVENTS
    ) -> Chunk:
        """Return the first events after a stamp.

        Parameters
        ----------
        stamp : Stamp or None
            Timestamp of the last event already read; None to read from the start.
        limit : int
            Maximum number of events.

        Returns
        -------
        Chunk
            The events, and whether later ones follow.
        """
        later = [e for e in self._events if stamp is None or e.stamp > stamp]
        return Chunk(tuple(later[:limit]), len(later) > limit)


def encode_events(events: Iterable[StampedEvent]) -> str:
    """Encode events as JSON lines.

    Parameters
    ----------
    events : iterable of StampedEvent
        Events to encode.

    Returns
    -------
    str
        One line per event, each terminated by a newline.
    """
    return "".join(json.dumps(_to_line(event)) + "\n" for event in events)


def decode_events(text: str) -> Result[tuple[StampedEvent, ...], BadLine]:
    """Decode events encoded by :func:`encode_events`.

    Parameters
    ----------
    text : str
        JSON lines.

    Returns
    -------
    result.Result
        The events, or the first line that could not be decoded.

    Examples
    --------
    >>> decode_events("{}").err()
    BadLine(number=1, reason='wrong fields or types')
    """
    events = []
    lines = text.removesuffix("\n").split("\n") if text else []
    for number, line in enumerate(lines, start=1):
        try:
            fields = json.loads(line)
        except ValueError:
            return Err(BadLine(number, "not valid JSON"))
        if not _is_event_line(fields):
            return Err(BadLine(number, "wrong fields or types"))
        events.append(_from_line(fields))
    return Ok(tuple(events))


def merge_events(
    sources: Iterable[Sequence[StampedEvent]],
) -> Iterator[StampedEvent | Gap]:
    """Merge the events of many instances into one ordered view.

    Duplicate events are yielded once. If sequence numbers of an instance are
    missing, a :class:`Gap` precedes the first event after them.

    Parameters
    ----------
    sources : iterable of sequence of StampedEvent
        Events of each instance, in the order of their timestamps.

    Yields
    ------
    StampedEvent or Gap
        Entries in the order of their timestamps.
    """
    expected: dict[tuple[str, int], int] = {}
    for stamped in heapq.merge(*sources, key=lambda event: event.stamp):
        origin = (stamped.stamp.instance, stamped.incarnation)
        missing = stamped.number - expected.get(origin, 0)
        if missing < 0:
            continue
        if missing > 0:
            yield Gap(stamped.stamp, missing)
        expected[origin] = stamped.number + 1
        yield stamped


def _to_line(stamped: StampedEvent) -> EventLine:
    return EventLine(
        **stamped.stamp._asdict(),
        incarnation=stamped.incarnation,
        number=stamped.number,
        **stamped.event._asdict(),
    )


def _is_event_line(fields: object) -> bool:
    types = EventLine.__annotations__
    if not isinstance(fields, dict) or fields.keys() != types.keys():
        return False
    return all(type(fields[name]) is kind for name, kind in types.items())


def _from_line(fields: EventLine) -> StampedEvent:
    stamp = Stamp(*(fields[name] for name in Stamp._fields))
    event = Event(*(fields[name] for name in Event._fields))
    return StampedEvent(stamp, fields["number"], event, fields["incarnation"])
