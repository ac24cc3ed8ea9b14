"""Hybrid logical clock: stamps that never show an effect before its cause."""

from typing import NamedTuple

from result import Err, Ok, Result

__all__ = ["Clock", "ClockTooFarAhead", "Stamp", "merge", "stamp", "tick"]

MAX_DRIFT_NS = 10_000_000_000


class Clock(NamedTuple):
    """State of a hybrid logical clock.

    Parameters
    ----------
    wall_ns : int
        Largest wall-clock time seen, in nanoseconds since the Unix epoch.
    count : int
        Number of the event within that time.
    """

    wall_ns: int = 0
    count: int = 0


class Stamp(NamedTuple):
    """Stamp of an event; stamps of all instances are in one total order.

    Parameters
    ----------
    wall_ns : int
        Wall-clock part in nanoseconds since the Unix epoch.
    count : int
        Number of the event within that time.
    instance : str
        Name of the instance, which breaks ties.
    """

    wall_ns: int
    count: int
    instance: str


class ClockTooFarAhead(NamedTuple):
    """A remote clock is refused because it is far ahead of the wall clock.

    Parameters
    ----------
    ahead_ns : int
        How far ahead it is, in nanoseconds.
    limit_ns : int
        How far ahead it may be, in nanoseconds.
    """

    ahead_ns: int
    limit_ns: int


def tick(clock: Clock, wall_ns: int) -> Clock:
    """Advance a clock for a local event or for a message to be sent.

    Parameters
    ----------
    clock : Clock
        The clock.
    wall_ns : int
        Wall-clock time in nanoseconds since the Unix epoch; it may step back.

    Returns
    -------
    Clock
        A later clock.

    References
    ----------
    S. Kulkarni, M. Demirbas and others, "Logical physical clocks", OPODIS 2014.

    Examples
    --------
    >>> tick(Clock(5, 0), 3)
    Clock(wall_ns=5, count=1)
    """
    if wall_ns > clock.wall_ns:
        return Clock(wall_ns, 0)
    return Clock(clock.wall_ns, clock.count + 1)


def merge(clock: Clock, remote: Clock, wall_ns: int) -> Result[Clock, ClockTooFarAhead]:
    """Advance a clock beyond that of a received message.

    Parameters
    ----------
    clock, remote : Clock
        The own clock and the message's.
    wall_ns : int
        Own wall-clock time in nanoseconds since the Unix epoch.

    Returns
    -------
    result.Result
        A later clock than both; or a failure when the remote one is over 10 s
        ahead of the own clock and of the wall clock. Then the caller ticks the
        own clock and reports the failure, so that one bad wall clock cannot drag
        those of all other instances along.

    Examples
    --------
    >>> merge(Clock(5, 0), Clock(8, 2), 6).ok()
    Clock(wall_ns=8, count=3)
    """
    ahead_ns = remote.wall_ns - wall_ns
    if ahead_ns > MAX_DRIFT_NS and remote.wall_ns > clock.wall_ns:
        return Err(ClockTooFarAhead(ahead_ns, MAX_DRIFT_NS))
    latest = max(clock, remote)
    return Ok(tick(latest, wall_ns))


def stamp(clock: Clock, instance: str) -> Stamp:
    """Return the stamp of an event at a clock.

    Parameters
    ----------
    clock : Clock
        The clock after its tick for the event.
    instance : str
        Name of the instance.

    Returns
    -------
    Stamp
        The stamp.
    """
    return Stamp(clock.wall_ns, clock.count, instance)
