"""HTTP responses for refusals and recorded outcomes."""

import json
import math
from functools import singledispatch
from typing import NamedTuple, TypedDict

from chervilpitch.model import Refusal, RefusalKind, RunState

from .outcomes import Answered, NotRun, Unknown

__all__ = [
    "GO_TO_HEADER",
    "REFUSAL_HEADER",
    "REPLAYED_HEADER",
    "RUN_HEADER",
    "RefusalBody",
    "Response",
    "STATUS_BY_KIND",
    "TICKET_HEADER",
    "refusal_before_lookup",
    "refusal_response",
    "replay",
]

TICKET_HEADER = "Chervilpitch-Ticket"
RUN_HEADER = "Chervilpitch-Run"
REFUSAL_HEADER = "Chervilpitch-Refusal"
GO_TO_HEADER = "Chervilpitch-Go-To"
REPLAYED_HEADER = "Chervilpitch-Replayed"

STATUS_BY_KIND = {
    RefusalKind.BAD_REQUEST: 400,
    RefusalKind.BODY_TOO_LARGE: 413,
    RefusalKind.CALLER_STALLED: 408,
    RefusalKind.KEY_MISSING: 401,
    RefusalKind.KEY_MALFORMED: 401,
    RefusalKind.KEY_UNKNOWN: 401,
    RefusalKind.KEYS_NOT_FRESH: 503,
    RefusalKind.NOT_READY: 503,
    RefusalKind.INSTANCE_STOPPING: 503,
    RefusalKind.ROUTE_UNKNOWN: 404,
    RefusalKind.ACCOUNT_NOT_ADMITTED: 403,
    RefusalKind.RATE_EXCEEDED: 429,
    RefusalKind.TOO_MANY_IN_FLIGHT: 429,
    RefusalKind.TICKET_REQUIRED: 428,
    RefusalKind.TICKET_INVALID: 422,
    RefusalKind.TICKET_EXPIRED: 410,
    RefusalKind.TICKET_OF_OTHER_INSTANCE: 421,
    RefusalKind.TICKET_INSTANCE_GONE: 410,
    RefusalKind.REPEAT_IN_PROGRESS: 409,
    RefusalKind.OUTCOME_NOT_HELD: 410,
    RefusalKind.RECORDS_FULL: 503,
    RefusalKind.NO_UPSTREAM: 503,
    RefusalKind.NO_SLOT: 503,
    RefusalKind.ACCOUNT_OVER_SHARE: 503,
    RefusalKind.PRIORITY_NOT_ADMITTED: 503,
    RefusalKind.UPSTREAM_SHED: 503,
    RefusalKind.UPSTREAM_UNREACHABLE: 502,
    RefusalKind.UPSTREAM_FAILED: 502,
    RefusalKind.DEADLINE_EXCEEDED: 504,
    RefusalKind.INTERNAL_ERROR: 500,
}


class RefusalBody(TypedDict):
    """JSON body of a refusal.

    Parameters
    ----------
    type : str
        Kind of the refusal.
    run : str
        ``"not-run"``, ``"unknown"`` or ``"run"``.
    go_to : list of str
        Callers' addresses of the instances to try next, in order of preference.
    retry_after : int or None
        Seconds to wait before a retry; None if not known.
    """

    type: str
    run: str
    go_to: list[str]
    retry_after: int | None


class Response(NamedTuple):
    """An HTTP response that the instance itself creates.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Headers without ``Content-Length``.
    body : bytes
        The complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


def refusal_response(refusal: Refusal, now_s: float, ticket: str = "") -> Response:
    """Return the HTTP response for a refusal.

    Parameters
    ----------
    refusal : Refusal
        The refusal.
    now_s : float
        Monotonic time in seconds.
    ticket : str
        Text of a new ticket for a retry, empty if none was issued.

    Returns
    -------
    Response
        Status, headers and a JSON body.

    References
    ----------
    M. Nottingham, E. Wilde, S. Dalal, "Problem Details for HTTP APIs",
    RFC 9457, 2023.

    Examples
    --------
    >>> refusal = Refusal(RefusalKind.RATE_EXCEEDED, RunState.NOT_RUN, (), 12.5)
    >>> response = refusal_response(refusal, now_s=10.0)
    >>> response.status, dict(response.headers)["Retry-After"]
    (429, '3')
    """
    body: RefusalBody = {
        "type": refusal.kind.value,
        "run": refusal.run.value,
        "go_to": list(refusal.go_to),
        "retry_after": _retry_after(refusal, now_s),
    }
    headers = _headers(refusal, body["retry_after"], ticket)
    status = STATUS_BY_KIND[refusal.kind]
    return Response(status, headers, json.dumps(body).encode())


def refusal_before_lookup(refusal: Refusal, has_ticket: bool) -> Refusal:
    """Return a refusal that is sent before the ticket of the request is looked up.

    Parameters
    ----------
    refusal : Refusal
        The refusal.
    has_ticket : bool
        Whether the request came with a ticket.

    Returns
    -------
    Refusal
        The same refusal, but with run state ``unknown`` if the request has a
        ticket: an earlier copy of the request may have run, and a delayed copy may
        still run.
    """
    return refusal._replace(run=RunState.UNKNOWN) if has_ticket else refusal


@singledispatch
def replay(outcome, now_s: float, ticket: str = "") -> Response:
    """Return the HTTP response for a recorded outcome.

    Parameters
    ----------
    outcome : Outcome
        The final outcome.
    now_s : float
        Monotonic time in seconds.
    ticket : str
        Text of a new ticket; sent only if the request did not run.

    Returns
    -------
    Response
        The recorded response of the upstream, or a refusal.

    Raises
    ------
    TypeError
        If the outcome is of another type.
    """
    raise TypeError(f"cannot replay an outcome of type {type(outcome).__name__}")


@replay.register
def _(outcome: Answered, now_s: float, ticket: str = "") -> Response:
    if outcome.body is None:
        kind = RefusalKind.OUTCOME_NOT_HELD
        return refusal_response(Refusal(kind, RunState.RUN), now_s)
    headers = (*outcome.headers, (REPLAYED_HEADER, "1"))
    return Response(outcome.status, headers, outcome.body)


@replay.register
def _(outcome: NotRun, now_s: float, ticket: str = "") -> Response:
    return refusal_response(Refusal(outcome.kind, RunState.NOT_RUN), now_s, ticket)


@replay.register
def _(outcome: Unknown, now_s: float, ticket: str = "") -> Response:
    return refusal_response(Refusal(outcome.kind, RunState.UNKNOWN), now_s)


def _retry_after(refusal: Refusal, now_s: float) -> int | None:
    if refusal.retry_at_s is None:
        return None
    return max(0, math.ceil(refusal.retry_at_s - now_s))


def _headers(
    refusal: Refusal, retry_after: int | None, ticket: str
) -> tuple[tuple[str, str], ...]:
    headers = [
        ("Content-Type", "application/problem+json"),
        ("Cache-Control", "no-store"),
        (REFUSAL_HEADER, refusal.kind.value),
        (RUN_HEADER, refusal.run.value),
    ]
    if refusal.go_to:
        headers.append((GO_TO_HEADER, ", ".join(refusal.go_to)))
    if retry_after is not None:
        headers.append(("Retry-After", str(retry_after)))
    if STATUS_BY_KIND[refusal.kind] == 401:
        headers.append(("WWW-Authenticate", "Bearer"))
    if ticket:
        headers.append((TICKET_HEADER, ticket))
    return tuple(headers)
