"""Effects specific to this package, besides `Send` and `Record`."""

from typing import NamedTuple

from chervilpitch.model import Catalogue, Event, Record, Send

__all__ = [
    "ApplyCatalogue",
    "HEAD_NAME",
    "ReadPlatform",
    "SpreadEffect",
    "record_event",
]

HEAD_NAME = "notes/head"


class ReadPlatform(NamedTuple):
    """Read a value of the platform; the result goes to `handle_platform_event`.

    Parameters
    ----------
    name : str
        Name of the value.
    wait_until_s : float
        Deadline of a long poll, monotonic time in seconds: until then the platform
        may hold its response while the value is unchanged; 0.0 reads at once.
    """

    name: str
    wait_until_s: float


class ApplyCatalogue(NamedTuple):
    """Apply a new catalogue in the other parts of the program.

    Parameters
    ----------
    catalogue : Catalogue
        The catalogue that is now in force.
    """

    catalogue: Catalogue


SpreadEffect = Send | Record | ReadPlatform | ApplyCatalogue


def record_event(name: str, subject: object, detail: str = "") -> Record:
    """Return an effect that records an event of this package.

    Parameters
    ----------
    name : str
        Name of the event.
    subject : object
        Revision, digest or instance that the event is about.
    detail : str
        Further fields as ``key=value`` pairs.

    Returns
    -------
    Record
        The event as an effect.

    Examples
    --------
    >>> record_event("note-in-force", 7).event.subject
    '7'
    """
    return Record(Event("spread", name, str(subject), detail))
