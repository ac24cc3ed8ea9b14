"""Hybrid logical clock: timestamps consistent with causal order."""

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
        Logical counter among events with the same wall-clock part.
    """

    wall_ns: int = 0
    count: int = 0


class Stamp(NamedTuple):
    """Timestamp of an event; all instances' stamps are totally ordered.

    Parameters
    ----------
    wall_ns : int
        Wall-clock part in nanoseconds since the Unix epoch.
    count : int
        Logical counter among events with the same wall-clock part.
    instance : str
        Name of the instance; breaks ties.
    """

    wall_ns: int
    count: int
    instance: str


class ClockTooFarAhead(NamedTuple):
    """A remote clock was rejected because it is too far ahead of the wall clock.

    Parameters
    ----------
    ahead_ns : int
        Difference to the local wall clock in nanoseconds.
    limit_ns : int
        Maximum difference accepted, in nanoseconds.
    """

    ahead_ns: int
    limit_ns: int


def tick(clock: Clock, wall_ns: int) -> Clock:
    """Advance a clock for a local event or for a message to be sent.

    Parameters
    ----------
    clock : Clock
        Current state.
    wall_ns : int
        Wall-clock time in nanoseconds since the Unix epoch; may step back.

    Returns
    -------
    Clock
        The next state, later than `clock`.

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
    """Merge the clock of a received message into the local clock.

    Parameters
    ----------
    clock, remote : Clock
        Local clock and clock of the message.
    wall_ns : int
        Local wall-clock time in nanoseconds since the Unix epoch.

    Returns
    -------
    result.Result
        A clock later than both, or a failure when the remote clock is ahead of the
        local clock and more than ``MAX_DRIFT_NS`` ahead of the wall clock. The caller
        then ticks its own clock and reports the failure, so that one wrong wall
        clock does not advance the clocks of all other instances.

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
    """Return the timestamp of an event.

    Parameters
    ----------
    clock : Clock
        Clock after the :func:`tick` for the event.
    instance : str
        Name of the instance.

    Returns
    -------
    Stamp
        Clock and name.
    """
    return Stamp(clock.wall_ns, clock.count, instance)
