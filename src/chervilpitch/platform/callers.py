"""Headers between callers and instances."""

from typing import NamedTuple

from .upstreams import HOP_BY_HOP, REQUEST_ID, Headers, header_value

__all__ = [
    "RequestMetadata",
    "parse_request_metadata",
    "refusal_headers",
    "response_headers",
]

API_KEY = b"x-chervilpitch-key"
TIMEOUT_REMAINING = b"x-chervilpitch-timeout-remaining"
RETRY_AFTER = b"Retry-After"
MS_PER_S = 1_000


class RequestMetadata(NamedTuple):
    """Metadata of a caller's request, taken from its headers.

    Parameters
    ----------
    request_id : str
        Id of this attempt; empty when none was sent.
    key : str
        API key; empty when none was sent.
    timeout_s : float or None
        Seconds that the caller waits for the response, if it states them.
    """

    request_id: str
    key: str
    timeout_s: float | None


def parse_request_metadata(headers: Headers) -> RequestMetadata:
    """Parse the headers of a caller's request.

    Parameters
    ----------
    headers : sequence of pairs of bytes
        Lower-case names and values.
    """
    return RequestMetadata(
        request_id=header_value(headers, REQUEST_ID).decode("latin-1"),
        key=header_value(headers, API_KEY).decode("latin-1"),
        timeout_s=_timeout_s(header_value(headers, TIMEOUT_REMAINING)),
    )


def _timeout_s(value: bytes) -> float | None:
    try:
        return max(0.0, float(value) / MS_PER_S)
    except ValueError:
        return None


def response_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the end-to-end headers of an upstream's response.

    Parameters
    ----------
    headers : sequence of pairs of bytes
        Lower-case names and values from the upstream.
    """
    return [item for item in headers if item[0] not in HOP_BY_HOP]


def refusal_headers(
    request_id: str, retry_after_s: float | None
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a response that the instance itself produces.

    Parameters
    ----------
    request_id : str
        Id of the caller's attempt; may be empty.
    retry_after_s : float or None
        Seconds after which the caller may retry.
    """
    headers = []
    if request_id:
        headers.append((b"X-Chervilpitch-Request-Id", request_id.encode("latin-1")))
    if retry_after_s is not None:
        headers.append((RETRY_AFTER, f"{retry_after_s:.2f}".encode()))
    return headers
