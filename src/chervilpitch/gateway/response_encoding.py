"""Encoding of responses to callers."""

from http import HTTPStatus

import h11

from .http_server import ServerResponse

__all__ = ["encode_response"]

CONNECTION_CLOSE = (b"Connection", b"close")
MAX_JOINED_BYTES = 65_536


def encode_response(
    http: h11.Connection, response: ServerResponse, is_last: bool
) -> list[bytes]:
    """Return a response in parts; a large one in several, as joining copies its body.

    Parameters
    ----------
    http : h11.Connection
        State of the connection.
    response : ServerResponse
        The response.
    is_last : bool
        Whether the connection ends after it.
    """
    headers = [*response.headers, (b"Content-Length", b"%d" % len(response.body))]
    if is_last:
        headers.append(CONNECTION_CLOSE)
    head = h11.Response(
        status_code=int(response.status),
        headers=headers,
        reason=_reason(response.status),
    )
    parts = [http.send(head)]
    if response.body:
        parts.append(http.send(h11.Data(data=response.body)))
    parts.append(http.send(h11.EndOfMessage()))
    if sum(map(len, parts)) <= MAX_JOINED_BYTES:
        return [b"".join(parts)]
    return [part for part in parts if part]


def _reason(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""
