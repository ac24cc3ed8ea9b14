"""Headers between instances and upstreams."""

from collections.abc import Sequence
from typing import NamedTuple

__all__ = [
    "HOP_BY_HOP",
    "REQUEST_ID",
    "SEAL",
    "ResponseMetadata",
    "Headers",
    "parse_response_metadata",
    "upstream_headers",
    "header_value",
]

Headers = Sequence[tuple[bytes, bytes]]

REQUEST_ID = b"x-chervilpitch-request-id"
SEAL = b"x-chervilpitch-response-seal"
NOT_EXECUTED = b"x-chervilpitch-not-executed"
SERVER_LOAD = b"x-chervilpitch-server-load"
SERVER_LEAVING = b"server-leaving"
IS_LEAVING = b"1"
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
NOT_FORWARDED = HOP_BY_HOP | SET_BY_INSTANCES
MISDIRECTED_STATUS = 421
MAX_LOAD = 1_000_000
"""Largest number of requests or slots that an upstream may state."""
MAX_LOAD_DIGITS = 7
MS_PER_S = 1_000


class ResponseMetadata(NamedTuple):
    """Metadata of an upstream's response.

    Parameters
    ----------
    request_id : str
        Id of the request that it responds to; empty when it states none.
    is_sealed : bool
        Whether the response has the seal by which the upstream vouches for it.
    is_not_run : bool
        Whether the upstream states that it did not run the request.
    is_misdirected : bool
        Whether the address now belongs to another upstream.
    is_encoded : bool
        Whether the body has a content encoding, which no caller requests.
    load : tuple of int or None
        Requests running, requests waiting and slots, if stated.
    idle_for_s : float or None
        Seconds that the connection may be idle, if stated.
    is_leaving : bool
        Whether the upstream states that it is leaving. A value other than ``1``
        doesn't state this.
    """

    request_id: str
    is_sealed: bool
    is_not_run: bool
    is_misdirected: bool
    is_encoded: bool
    load: tuple[int, int, int] | None
    idle_for_s: float | None
    is_leaving: bool


def upstream_headers(
    headers: Headers, upstream: str, account: str, remaining_s: float
) -> list[tuple[bytes, bytes]]:
    """Return the headers to send to an upstream.

    Parameters
    ----------
    headers : sequence of pairs of bytes
        Lower-case names and values from the caller.
    upstream : str
        Id of the target upstream; any other upstream refuses the request.
    account : str
        Name of the client account; empty for none.
    remaining_s : float
        Seconds until the deadline of the request.
    """
    named = header_value(headers, b"connection").lower().split(b",")
    dropped = NOT_FORWARDED | {name.strip() for name in named}
    sent = [item for item in headers if item[0] not in dropped]
    sent.append((b"X-Chervilpitch-Timeout-Remaining", b"%d" % (remaining_s * MS_PER_S)))
    sent.append((b"X-Chervilpitch-Target-Instance", upstream.encode("latin-1")))
    if account:
        sent.append((b"X-Chervilpitch-Tenant", account.encode("latin-1")))
    return sent


def parse_response_metadata(status: int, headers: Headers) -> ResponseMetadata:
    """Parse the status and the headers of an upstream's response.

    Parameters
    ----------
    status : int
        Status code.
    headers : sequence of pairs of bytes
        Lower-case names and values.
    """
    is_misdirected = status == MISDIRECTED_STATUS
    return ResponseMetadata(
        request_id=header_value(headers, REQUEST_ID).decode("latin-1"),
        is_sealed=bool(header_value(headers, SEAL)),
        is_not_run=is_misdirected or bool(header_value(headers, NOT_EXECUTED)),
        is_misdirected=is_misdirected,
        is_encoded=bool(header_value(headers, b"content-encoding")),
        load=_parse_load(header_value(headers, SERVER_LOAD)),
        idle_for_s=_parse_idle_for_s(header_value(headers, b"keep-alive")),
        is_leaving=any(
            name == SERVER_LEAVING and value.strip() == IS_LEAVING
            for name, value in headers
        ),
    )


def header_value(headers: Headers, wanted: bytes) -> bytes:
    """Return the values of a header joined by commas, empty when it is missing."""
    return b",".join(value for name, value in headers if name == wanted)


def _parse_load(value: bytes) -> tuple[int, int, int] | None:
    parts = [part.strip() for part in value.split(b",")]
    if len(parts) != 3 or not all(_is_load(part) for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return running, waiting, slots


def _is_load(part: bytes) -> bool:
    is_number = part.isdigit() and len(part) <= MAX_LOAD_DIGITS
    return is_number and int(part) <= MAX_LOAD


def _parse_idle_for_s(value: bytes) -> float | None:
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None
