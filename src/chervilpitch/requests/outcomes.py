"""Final outcomes of a request that runs at most once."""

from functools import singledispatch
from typing import NamedTuple

from chervilpitch.model import RefusalKind

__all__ = [
    "Answered",
    "HELD_HEADERS",
    "NotRun",
    "Outcome",
    "Unknown",
    "held_bytes",
    "select_headers",
    "without_body",
]

HELD_HEADERS = frozenset(
    {
        "content-encoding",
        "content-language",
        "content-type",
        "etag",
        "last-modified",
        "location",
    }
)


class Answered(NamedTuple):
    """The upstream answered whole.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Selected headers.
    body : bytes or None
        The whole body; None when it is not held.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


class NotRun(NamedTuple):
    """It is proved that no upstream ran the request, and none will.

    Parameters
    ----------
    kind : RefusalKind
        Why it was refused.
    """

    kind: RefusalKind


class Unknown(NamedTuple):
    """An upstream may have run the request.

    Parameters
    ----------
    kind : RefusalKind
        How the attempt ended.
    """

    kind: RefusalKind


Outcome = Answered | NotRun | Unknown


def select_headers(headers) -> tuple[tuple[str, str], ...]:
    """Return the headers of an answer that are held for its repeats.

    Parameters
    ----------
    headers : iterable of (str, str)
        Names and values of all headers.

    Returns
    -------
    tuple of (str, str)
        The selected ones, with names in lower case.

    Examples
    --------
    >>> select_headers([("Content-Type", "text/plain"), ("Connection", "close")])
    (('content-type', 'text/plain'),)
    """
    lowered = ((name.lower(), value) for name, value in headers)
    return tuple(pair for pair in lowered if pair[0] in HELD_HEADERS)


@singledispatch
def held_bytes(outcome) -> int:
    """Return the bytes that an outcome keeps in memory beside its record.

    Parameters
    ----------
    outcome : Outcome
        The outcome.

    Returns
    -------
    int
        Bytes of the body and the headers.

    Examples
    --------
    >>> held_bytes(Answered(201, (("etag", "7"),), b"booked"))
    11
    """
    return 0


@held_bytes.register
def _(outcome: Answered) -> int:
    headers = sum(len(name) + len(value) for name, value in outcome.headers)
    return headers + len(outcome.body or b"")


def without_body(outcome: Answered) -> Answered:
    """Return an answer reduced to its status.

    Parameters
    ----------
    outcome : Answered
        The answer.

    Returns
    -------
    Answered
        The same status without headers and body.
    """
    return Answered(outcome.status, (), None)
