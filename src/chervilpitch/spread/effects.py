"""Effects of this package besides sending and recording."""

from typing import NamedTuple

from chervilpitch.model import Catalogue, Event, Record, Send

__all__ = ["HEAD", "ApplyCatalogue", "ReadPlatform", "SpreadEffect", "record"]

HEAD = "notes/head"


class ReadPlatform(NamedTuple):
    """Read a value of the platform and pass the answer to `handle_platform_event`.

    Parameters
    ----------
    name : str
        Name of the value.
    wait_until_s : float
        Monotonic time in seconds until which the platform may hold the answer
        back while the value is the one read last; 0.0 asks for it at once.
    """

    name: str
    wait_until_s: float


class ApplyCatalogue(NamedTuple):
    """Pass a new catalogue to the other parts of the program.

    Parameters
    ----------
    catalogue : Catalogue
        The catalogue in force from now on.
    """

    catalogue: Catalogue


SpreadEffect = Send | Record | ReadPlatform | ApplyCatalogue


def record(name: str, subject: object, detail: str = "") -> Record:
    """Return the effect that records an event of this package.

    Parameters
    ----------
    name : str
        What happened.
    subject : object
        The revision or instance concerned.
    detail : str
        Further fields.

    Returns
    -------
    Record
        The effect.

    Examples
    --------
    >>> record("note-in-force", 7).event.subject
    '7'
    """
    return Record(Event("spread", name, str(subject), detail))
