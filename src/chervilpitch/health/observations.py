"""What an instance sees of an upstream, one type for each kind of sight."""

from typing import NamedTuple

__all__ = [
    "Abandoned",
    "Answered",
    "ConnectFailed",
    "DrainAnnounced",
    "ErrorResponse",
    "Observation",
    "ProbeSucceeded",
    "ProbeFailed",
    "Shed",
    "Stalled",
    "Truncated",
]


class Answered(NamedTuple):
    """The upstream answered whole, with a status below 500.

    Parameters
    ----------
    latency_s : float
        Seconds from the last byte of the request to the first of the answer.
    body_bytes : int
        Size of the answer's body in bytes.
    duration_s : float
        Seconds spent waiting for the upstream; time spent waiting for the caller
        is left out.
    status_class : int
        First digit of the status.
    request_bytes : int
        Size of the request's body in bytes.
    """

    latency_s: float
    body_bytes: int
    duration_s: float
    status_class: int
    request_bytes: int = 0


class Shed(NamedTuple):
    """The upstream refused the request for load, before running it."""


class ErrorResponse(NamedTuple):
    """The upstream answered with an error of its own.

    Parameters
    ----------
    status : int
        The status, 500 or above.
    """

    status: int = 500


class ConnectFailed(NamedTuple):
    """No connection to the upstream could be made."""


class Stalled(NamedTuple):
    """The upstream was silent until the instance gave the exchange up.

    Parameters
    ----------
    waited_s : float
        Seconds of silence.
    """

    waited_s: float


class Truncated(NamedTuple):
    """The answer ended before its announced end."""


class Abandoned(NamedTuple):
    """The exchange ended for a reason that says nothing about the upstream."""


class ProbeSucceeded(NamedTuple):
    """A probe of the health endpoint was answered.

    Parameters
    ----------
    latency_s : float
        Seconds to the answer.
    """

    latency_s: float


class ProbeFailed(NamedTuple):
    """A probe of the health endpoint failed or was not answered in time."""


class DrainAnnounced(NamedTuple):
    """The upstream said that it is draining."""


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
