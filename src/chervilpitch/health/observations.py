"""Observations of an upstream by one instance, one type for each kind."""

from typing import NamedTuple

__all__ = [
    "Abandoned",
    "Answered",
    "ConnectFailed",
    "DrainAnnounced",
    "ErrorResponse",
    "Observation",
    "ProbeFailed",
    "ProbeSucceeded",
    "Shed",
    "Stalled",
    "Truncated",
]


class Answered(NamedTuple):
    """The upstream sent a complete response with a status below 500.

    Parameters
    ----------
    latency_s : float
        Seconds from the last byte of the request to the first byte of the response.
    body_bytes : int
        Size of the response body in bytes.
    duration_s : float
        Seconds spent waiting for the upstream, without the time spent waiting for
        the caller.
    status_class : int
        First digit of the HTTP status.
    request_bytes : int
        Size of the request body in bytes.
    """

    latency_s: float
    body_bytes: int
    duration_s: float
    status_class: int
    request_bytes: int = 0


class Shed(NamedTuple):
    """The upstream refused the request because of load, before running it."""


class ErrorResponse(NamedTuple):
    """The upstream responded with a server error.

    Parameters
    ----------
    status : int
        The HTTP status, 500 or above.
    """

    status: int = 500


class ConnectFailed(NamedTuple):
    """The connection to the upstream could not be established."""


class Stalled(NamedTuple):
    """The upstream sent nothing until the instance abandoned the exchange.

    Parameters
    ----------
    waited_s : float
        Seconds without a byte from the upstream.
    """

    waited_s: float


class Truncated(NamedTuple):
    """The response ended before its declared length."""


class Abandoned(NamedTuple):
    """The exchange ended for a reason unrelated to the upstream."""


class ProbeSucceeded(NamedTuple):
    """A probe of the health endpoint succeeded.

    Parameters
    ----------
    latency_s : float
        Seconds until the response.
    """

    latency_s: float


class ProbeFailed(NamedTuple):
    """A probe of the health endpoint failed or timed out."""


class DrainAnnounced(NamedTuple):
    """The upstream announced that it is draining."""


Observation = (
    Answered
    | Shed
    | ErrorResponse
    | ConnectFailed
    | Stalled
    | Truncated
    | Abandoned
    | ProbeSucceeded
    | ProbeFailed
    | DrainAnnounced
)
