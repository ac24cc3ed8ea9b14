"""Effects that a decision asks the shell to carry out."""

from typing import Any, NamedTuple

__all__ = ["Effect", "Event", "Record", "Send"]


class Send(NamedTuple):
    """Send a message to another instance; it may be lost or repeated.

    Parameters
    ----------
    to : str
        Name of the receiving instance.
    message : NamedTuple
        The typed message.
    """

    to: str
    message: Any


class Event(NamedTuple):
    """An event for the time line.

    Parameters
    ----------
    part : str
        The package that decided, for example ``"limits"``.
    name : str
        What happened, in lower-case words joined by hyphens.
    subject : str
        Name of the account, upstream, instance or revision concerned.
    detail : str
        Further fields as short text; never holds a key.
    """

    part: str
    name: str
    subject: str
    detail: str = ""


class Record(NamedTuple):
    """Put an event on the time line.

    Parameters
    ----------
    event : Event
        The event.
    """

    event: Event


Effect = Send | Record
