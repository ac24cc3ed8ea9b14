"""Final outcomes of requests that run at most once."""

from functools import singledispatch
from typing import NamedTuple

from chervilpitch.model import RefusalKind

__all__ = [
    "Answered",
    "NotRun",
    "Outcome",
    "STORED_HEADERS",
    "Unknown",
    "select_headers",
    "stored_bytes",
    "status_only",
]

STORED_HEADERS = frozenset(
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
    """The upstream sent a complete response.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Selected headers, as returned by :func:`select_headers`.
    body : bytes or None
        The complete body; None if it is not stored.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


class NotRun(NamedTuple):
    """It is proved that no upstream ran the request and that none will.

    Parameters
    ----------
    kind : RefusalKind
        Why the request was refused.
    """

    kind: RefusalKind


class Unknown(NamedTuple):
    """An upstream may have run the request.

    Parameters
    ----------
    kind : RefusalKind
        Why the attempt failed.
    """

    kind: RefusalKind


Outcome = Answered | NotRun | Unknown


def select_headers(headers) -> tuple[tuple[str, str], ...]:
    """Select the headers of a response that are stored to replay it.

    Parameters
    ----------
    headers : iterable of (str, str)
        Names and values of all headers.

    Returns
    -------
    tuple of (str, str)
        The selected headers, with names in lower case.

    Examples
    --------
    >>> select_headers([("Content-Type", "text/plain"), ("Connection", "close")])
    (('content-type', 'text/plain'),)
    """
    lowered = ((name.lower(), value) for name, value in headers)
    return tuple(pair for pair in lowered if pair[0] in STORED_HEADERS)


@singledispatch
def stored_bytes(outcome) -> int:
    """Return the size in bytes of the payload that is stored with an outcome.

    Parameters
    ----------
    outcome : Outcome
        The outcome.

    Returns
    -------
    int
        Bytes of the body and the headers; 0 for an outcome without them.

    Examples
    --------
    >>> stored_bytes(Answered(201, (("etag", "7"),), b"booked"))
    11
    """
    return 0


@stored_bytes.register
def _(outcome: Answered) -> int:
    headers = sum(len(name) + len(value) for name, value in outcome.headers)
    return headers + len(outcome.body or b"")


def status_only(outcome: Answered) -> Answered:
    """Return a copy of a response that keeps only the status.

    Parameters
    ----------
    outcome : Answered
        The response.

    Returns
    -------
    Answered
        The same status without headers and body.
    """
    return Answered(outcome.status, (), None)
