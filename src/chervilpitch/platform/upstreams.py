"""Headers between an instance and upstreams."""

from collections.abc import Sequence
from typing import NamedTuple

__all__ = [
    "HOP_BY_HOP",
    "REQUEST_ID",
    "SEAL",
    "AnswerFacts",
    "Headers",
    "answer_facts",
    "upstream_headers",
    "value_of",
]

Headers = Sequence[tuple[bytes, bytes]]

REQUEST_ID = b"x-chervilpitch-request-id"
SEAL = b"x-chervilpitch-response-seal"
NOT_EXECUTED = b"x-chervilpitch-not-executed"
LOAD = b"x-chervilpitch-server-load"
SET_BY_INSTANCES = frozenset(
    (
        b"x-chervilpitch-key",
        b"x-chervilpitch-tenant",
        b"x-chervilpitch-target-instance",
        b"x-chervilpitch-timeout-remaining",
    )
)
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
DROPPED = HOP_BY_HOP | SET_BY_INSTANCES
MISDIRECTED = 421
MS_PER_S = 1_000


class AnswerFacts(NamedTuple):
    """What an upstream says about its answer.

    Parameters
    ----------
    request_id : str
        Id of the request that it answers; empty when it names none.
    is_sealed : bool
        Whether the upstream vouches for the answer.
    is_not_run : bool
        Whether the upstream states that it did not run the request.
    is_misdirected : bool
        Whether another upstream has the address now.
    is_encoded : bool
        Whether the body is encoded, which no caller asks for.
    load : tuple of int or None
        Requests running and waiting, and slots, if told.
    idle_for_s : float or None
        Seconds that the connection may be idle, if told.
    """

    request_id: str
    is_sealed: bool
    is_not_run: bool
    is_misdirected: bool
    is_encoded: bool
    load: tuple[int, int, int] | None
    idle_for_s: float | None


def upstream_headers(
    headers: Headers, upstream: str, account: str, left_s: float
) -> list[tuple[bytes, bytes]]:
    """Return the headers that go to an upstream.

    Parameters
    ----------
    headers : sequence of pairs of bytes
        Lower-case names and values from the caller.
    upstream : str
        Id of the upstream that is meant; any other one refuses the request.
    account : str
        Name of the client account; empty for none.
    left_s : float
        Seconds until the answer is of no use.
    """
    named = value_of(headers, b"connection").lower().split(b",")
    dropped = DROPPED | {name.strip() for name in named}
    sent = [item for item in headers if item[0] not in dropped]
    sent.append((b"X-Chervilpitch-Timeout-Remaining", b"%d" % (left_s * MS_PER_S)))
    sent.append((b"X-Chervilpitch-Target-Instance", upstream.encode("latin-1")))
    if account:
        sent.append((b"X-Chervilpitch-Tenant", account.encode("latin-1")))
    return sent


def answer_facts(status: int, headers: Headers) -> AnswerFacts:
    """Read an upstream's answer.

    Parameters
    ----------
    status : int
        Status code.
    headers : sequence of pairs of bytes
        Lower-case names and values.
    """
    is_misdirected = status == MISDIRECTED
    return AnswerFacts(
        request_id=value_of(headers, REQUEST_ID).decode("latin-1"),
        is_sealed=bool(value_of(headers, SEAL)),
        is_not_run=is_misdirected or bool(value_of(headers, NOT_EXECUTED)),
        is_misdirected=is_misdirected,
        is_encoded=bool(value_of(headers, b"content-encoding")),
        load=_load(value_of(headers, LOAD)),
        idle_for_s=_idle_for_s(value_of(headers, b"keep-alive")),
    )


def value_of(headers: Headers, wanted: bytes) -> bytes:
    """Return the values of a header joined by commas, empty when it is missing."""
    return b",".join(value for name, value in headers if name == wanted)


def _load(value: bytes) -> tuple[int, int, int] | None:
    parts = value.split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return running, waiting, slots


def _idle_for_s(value: bytes) -> float | None:
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None
