"""Headers between callers and an instance."""

from typing import NamedTuple

from .upstreams import HOP_BY_HOP, REQUEST_ID, Headers, value_of

__all__ = ["PresentedFacts", "answer_headers", "caller_facts", "refusal_headers"]

KEY = b"x-chervilpitch-key"
TIME_LEFT = b"x-chervilpitch-timeout-remaining"
RETRY_AFTER = b"Retry-After"
MS_PER_S = 1_000


class PresentedFacts(NamedTuple):
    """What a caller says about its request.

    Parameters
    ----------
    request_id : str
        Id of this attempt; empty when none was sent.
    key : str
        The key; empty when none was sent.
    wait_s : float or None
        Seconds that the caller will wait, if it says so.
    """

    request_id: str
    key: str
    wait_s: float | None


def caller_facts(headers: Headers) -> PresentedFacts:
    """Read a caller's headers.

    Parameters
    ----------
    headers : sequence of pairs of bytes
        Lower-case names and values.
    """
    return PresentedFacts(
        request_id=value_of(headers, REQUEST_ID).decode("latin-1"),
        key=value_of(headers, KEY).decode("latin-1"),
        wait_s=_wait_s(value_of(headers, TIME_LEFT)),
    )


def _wait_s(value: bytes) -> float | None:
    try:
        return max(0.0, float(value) / MS_PER_S)
    except ValueError:
        return None


def answer_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the end-to-end headers of an upstream's answer.

    Parameters
    ----------
    headers : sequence of pairs of bytes
        Lower-case names and values from the upstream.
    """
    return [item for item in headers if item[0] not in HOP_BY_HOP]


def refusal_headers(
    request_id: str, retry_after_s: float | None
) -> list[tuple[bytes, bytes]]:
    """Return the headers of an answer of the instance's own.

    Parameters
    ----------
    request_id : str
        Id of the caller's attempt; may be empty.
    retry_after_s : float or None
        Seconds after which another attempt may succeed.
    """
    headers = []
    if request_id:
        headers.append((b"X-Chervilpitch-Request-Id", request_id.encode("latin-1")))
    if retry_after_s is not None:
        headers.append((RETRY_AFTER, f"{retry_after_s:.2f}".encode()))
    return headers
