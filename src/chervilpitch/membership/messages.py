"""Messages of the failure detection: heartbeats, announcements, reports."""

from typing import NamedTuple

__all__ = ["Announcement", "Hello", "Unheard"]


class Announcement(NamedTuple):
    """Announcement of one incarnation of an instance, relayed by other instances.

    Parameters
    ----------
    name : str
        Name of the instance.
    incarnation : int
        Random 64-bit number drawn when its process started.
    seat : int
        Seat that it occupies.
    failure_domain : str
        Failure domain, written ``"region/domain"``.
    callers_address, peers_address : str
        Host and port for callers and for the other instances.
    leaving : bool
        Whether it has begun to leave; never false again after true.
    started_wall_ms : int
        Wall-clock time of its start in milliseconds since the Unix epoch.
    serial : int
        Serial number of the announcement, increasing per incarnation.
    """

    name: str
    incarnation: int
    seat: int
    failure_domain: str
    callers_address: str
    peers_address: str
    leaving: bool
    started_wall_ms: int
    serial: int


class Unheard(NamedTuple):
    """Report that heartbeats from an instance to the observer are missing.

    Parameters
    ----------
    name : str
        Name of the silent instance.
    observer : str
        Name of the instance that does not receive its heartbeats.
    observer_incarnation : int
        Incarnation of the observer.
    serial : int
        Serial number of the report, increasing per observer incarnation.
    age_ms : int
        Age of the report in milliseconds when this message is sent.
    """

    name: str
    observer: str
    observer_incarnation: int
    serial: int
    age_ms: int


class Hello(NamedTuple):
    """A heartbeat from one instance to one of its neighbours.

    Parameters
    ----------
    name, seat, failure_domain, callers_address, peers_address
        The sender, as in :class:`Announcement`.
    leaving : bool
        Whether the sender has begun to leave.
    started_wall_ms : int
        Wall-clock time of the sender's start in milliseconds.
    serial : int
        Serial number of the sender's last announcement.
    sequence : int
        Sequence number of the heartbeat, increasing per incarnation.
    heard_incarnation : int
        Incarnation of the receiver with a recent heartbeat at the sender; 0 for
        none.
    list_digest : int
        Digest of the published list that the sender uses; 0 for none.
    announcements : tuple of Announcement
        Relayed announcements of other instances.
    unheard : tuple of Unheard
        Relayed reports of silent instances.
    """

    name: str
    seat: int
    failure_domain: str
    callers_address: str
    peers_address: str
    leaving: bool
    started_wall_ms: int
    serial: int
    sequence: int
    heard_incarnation: int
    list_digest: int
    announcements: tuple[Announcement, ...] = ()
    unheard: tuple[Unheard, ...] = ()
