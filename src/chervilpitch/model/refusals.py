"""Refusals of requests, with their reason and whether the request was executed."""

from enum import StrEnum
from typing import NamedTuple

__all__ = ["Refusal", "RefusalKind", "RunState"]


class RunState(StrEnum):
    """Whether an upstream executed the request."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RUN = "run"


class RefusalKind(StrEnum):
    """Machine-readable reason of a refusal."""

    BAD_REQUEST = "bad-request"
    BODY_TOO_LARGE = "body-too-large"
    CALLER_STALLED = "caller-stalled"
    KEY_MISSING = "key-missing"
    KEY_MALFORMED = "key-malformed"
    KEY_UNKNOWN = "key-unknown"
    KEYS_NOT_FRESH = "keys-not-fresh"
    NOT_READY = "not-ready"
    INSTANCE_STOPPING = "instance-stopping"
    ROUTE_UNKNOWN = "route-unknown"
    ACCOUNT_NOT_ADMITTED = "account-not-admitted"
    ACCOUNT_OVER_SHARE = "account-over-share"
    PRIORITY_NOT_ADMITTED = "priority-not-admitted"
    RATE_EXCEEDED = "rate-exceeded"
    TOO_MANY_IN_FLIGHT = "too-many-in-flight"
    TICKET_REQUIRED = "ticket-required"
    TICKET_INVALID = "ticket-invalid"
    TICKET_EXPIRED = "ticket-expired"
    TICKET_OF_OTHER_INSTANCE = "ticket-of-other-instance"
    TICKET_INSTANCE_GONE = "ticket-instance-gone"
    REPEAT_IN_PROGRESS = "repeat-in-progress"
    OUTCOME_NOT_HELD = "outcome-not-held"
    RECORDS_FULL = "records-full"
    NO_UPSTREAM = "no-upstream"
    NO_SLOT = "no-slot"
    UPSTREAM_SHED = "upstream-shed"
    UPSTREAM_UNREACHABLE = "upstream-unreachable"
    UPSTREAM_FAILED = "upstream-failed"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    INTERNAL_ERROR = "internal-error"


class Refusal(NamedTuple):
    """Refusal of a request.

    Parameters
    ----------
    kind : RefusalKind
        Reason of the refusal.
    run : RunState
        Whether an upstream executed the request; ``NOT_RUN`` only if that is certain.
    go_to : tuple of str
        Callers' addresses of the instances to try next, in order of preference.
    retry_at_s : float or None
        Monotonic time in seconds before which a retry is pointless; None if not
        known.
    """

    kind: RefusalKind
    run: RunState
    go_to: tuple[str, ...] = ()
    retry_at_s: float | None = None
