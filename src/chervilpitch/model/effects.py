"""Effects returned by decision functions and executed by the runtime."""

from typing import Any, NamedTuple

__all__ = ["Effect", "Event", "Record", "Send"]


class Send(NamedTuple):
    """Send a message to another instance; it may be lost or duplicated.

    Parameters
    ----------
    to : str
        Name of the receiving instance.
    message : NamedTuple
        Message to send.
    """

    to: str
    message: Any


class Event(NamedTuple):
    """An event of the time line.

    Parameters
    ----------
    part : str
        Package that produced the event, for example ``"limits"``.
    name : str
        Name of the event in lower case, with words separated by hyphens.
    subject : str
        Name of the client account, upstream, instance or revision concerned.
    detail : str
        Additional fields as short text, which must not contain a key.
    """

    part: str
    name: str
    subject: str
    detail: str = ""


class Record(NamedTuple):
    """Append an event to the time line.

    Parameters
    ----------
    event : Event
        The event.
    """

    event: Event


Effect = Send | Record
