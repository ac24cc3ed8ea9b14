"""Time line of events: a bounded ring per instance, merged into one view."""

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

CAPACITY = 20_000
CHUNK = 1_000


class StampedEvent(NamedTuple):
    """An event and when and where it happened.

    Parameters
    ----------
    stamp : Stamp
        Stamp of the hybrid logical clock.
    number : int
        Number of the event at its instance, from 0, without holes.
    event : Event
        The event.
    incarnation : int
        Incarnation of the instance's process; numbers begin anew with it.
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
    """One event as a line of JSON."""

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
    """A line that is no event.

    Parameters
    ----------
    number : int
        Number of the line, from 1.
    reason : str
        What is wrong with it.
    """

    number: int
    reason: str


class Chunk(NamedTuple):
    """Some events of a time line.

    Parameters
    ----------
    events : tuple of StampedEvent
        Events in order.
    has_more : bool
        Whether later ones are left out.
    """

    events: tuple[StampedEvent, ...]
    has_more: bool


class Timeline:
    """The last events of one instance.

    Parameters
    ----------
    incarnation : int
        Incarnation of this process.
    capacity : int
        How many events are kept.

    Examples
    --------
    >>> line = Timeline(capacity=1)
    >>> line.append(Stamp(1, 0, "a"), Event("limits", "tenure-won", "fitters"))
    >>> line.append(Stamp(2, 0, "a"), Event("limits", "tenure-lost", "fitters"))
    >>> len(line), line.dropped
    (1, 1)
    """

    def __init__(self, incarnation: int = 0, capacity: int = CAPACITY) -> None:
        self._incarnation = incarnation
        self._events: deque[StampedEvent] = deque(maxlen=capacity)
        self._next_number = 0

    def __len__(self) -> int:
        return len(self._events)

    @property
    def dropped(self) -> int:
        """Number of events dropped to make room."""
        return self._next_number - len(self._events)

    def append(self, stamp: Stamp, event: Event) -> None:
        """Add an event and drop the oldest if there is no room.

        Parameters
        ----------
        stamp : Stamp
            Its stamp, later than those before.
        event : Event
            The event.
        """
        number = self._next_number
        self._next_number += 1
        self._events.append(StampedEvent(stamp, number, event, self._incarnation))

    def since(self, stamp: Stamp | None = None, limit: int = CHUNK) -> Chunk:
        """Return the first events after a stamp.

        Parameters
        ----------
        stamp : Stamp or None
            Where the last chunk ended; None for the beginning.
        limit : int
            How many events at most.

        Returns
        -------
        Chunk
            The events, and whether there are more.
        """
        later = [e for e in self._events if stamp is None or e.stamp > stamp]
        return Chunk(tuple(later[:limit]), len(later) > limit)


def encode_events(events: Iterable[StampedEvent]) -> str:
    """Write events as JSON, one a line.

    Parameters
    ----------
    events : iterable of StampedEvent
        Events.

    Returns
    -------
    str
        Lines, each ended by a newline.
    """
    return "".join(json.dumps(_line(event)) + "\n" for event in events)


def decode_events(text: str) -> Result[tuple[StampedEvent, ...], BadLine]:
    """Read events written by :func:`encode_events`.

    Parameters
    ----------
    text : str
        Lines of JSON.

    Returns
    -------
    result.Result
        The events, or the first bad line.

    Examples
    --------
    >>> decode_events("{}").err()
    BadLine(number=1, reason='fields')
    """
    events = []
    lines = text.removesuffix("\n").split("\n") if text else []
    for number, line in enumerate(lines, start=1):
        try:
            fields = json.loads(line)
        except ValueError:
            return Err(BadLine(number, "no JSON"))
        if not _is_line(fields):
            return Err(BadLine(number, "fields"))
        events.append(_event(fields))
    return Ok(tuple(events))


def merge_events(
    sources: Iterable[Sequence[StampedEvent]],
) -> Iterator[StampedEvent | Gap]:
    """Merge the events of many instances into one ordered view.

    Events given more than once appear once. Where the numbers of an instance's
    events leave a hole, a :class:`Gap` goes before the first event after it.

    Parameters
    ----------
    sources : iterable of sequence of StampedEvent
        Events of each instance, in order.

    Yields
    ------
    StampedEvent or Gap
        In the order of their stamps.
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


def _line(stamped: StampedEvent) -> EventLine:
    return EventLine(
        **stamped.stamp._asdict(),
        incarnation=stamped.incarnation,
        number=stamped.number,
        **stamped.event._asdict(),
    )


def _is_line(fields: object) -> bool:
    types = EventLine.__annotations__
    if not isinstance(fields, dict) or fields.keys() != types.keys():
        return False
    return all(type(fields[name]) is kind for name, kind in types.items())


def _event(fields: EventLine) -> StampedEvent:
    stamp = Stamp(*(fields[name] for name in Stamp._fields))
    event = Event(*(fields[name] for name in Event._fields))
    return StampedEvent(stamp, fields["number"], event, fields["incarnation"])
