"""Header fields of callers' requests."""

from collections.abc import Mapping

from chervilpitch.accounts import PresentedKey
from chervilpitch.transport.upstreams import HOP_BY_HOP, Headers

__all__ = [
    "forwarded_headers",
    "key_text",
    "presented_key",
    "request_headers",
    "ticket_text",
    "with_content_length",
]

KEY_HEADER = "authorization"
KEY_SCHEME = "bearer"
TICKET_HEADER = "chervilpitch-ticket"
NOT_FORWARDED_HEADERS = frozenset(
    (
        KEY_HEADER,
        TICKET_HEADER,
        "content-length",
        "expect",
        "x-request-id",
        "x-timeout-ms",
    )
)
CGI_PREFIX = "HTTP_"


def request_headers(environ: Mapping[str, object]) -> Headers:
    """Return the header fields of a WSGI request.

    Parameters
    ----------
    environ : mapping
        WSGI environment.

    Returns
    -------
    tuple of pairs of str
        Lower-case names and values.

    Examples
    --------
    >>> request_headers({"HTTP_ACCEPT": "*/*", "REQUEST_METHOD": "GET"})
    (('accept', '*/*'),)
    """
    fields = [
        (name.removeprefix(CGI_PREFIX).replace("_", "-").lower(), str(value))
        for name, value in environ.items()
        if name.startswith(CGI_PREFIX)
    ]
    if environ.get("CONTENT_TYPE"):
        fields.append(("content-type", str(environ["CONTENT_TYPE"])))
    return tuple(fields)


def presented_key(headers: Headers) -> PresentedKey | None:
    """Return the key of a request in a wrapper whose ``repr`` hides it.

    Parameters
    ----------
    headers : tuple of pairs of str
        Lower-case names and values from the caller.

    Returns
    -------
    PresentedKey or None
        The key of an ``Authorization: Bearer`` header.

    Examples
    --------
    >>> presented_key((("authorization", "Bearer k-123"),))
    PresentedKey(...)
    """
    key = key_text(headers)
    return PresentedKey(key) if key else None


def key_text(headers: Headers) -> str:
    """Return the text of the key of a request, empty if there is none.

    Parameters
    ----------
    headers : tuple of pairs of str
        Lower-case names and values from the caller.

    Returns
    -------
    str
        The key of an ``Authorization: Bearer`` header.
    """
    scheme, _, key = _header_value(headers, KEY_HEADER).partition(" ")
    return key.strip() if scheme.lower() == KEY_SCHEME else ""


def ticket_text(headers: Headers) -> str:
    """Return the ticket of a request, empty if there is none.

    Parameters
    ----------
    headers : tuple of pairs of str
        Lower-case names and values from the caller.

    Returns
    -------
    str
        Value of the ticket header.
    """
    return _header_value(headers, TICKET_HEADER)


def forwarded_headers(headers: Headers) -> Headers:
    """Return the headers that are forwarded to an upstream.

    Parameters
    ----------
    headers : tuple of pairs of str
        Lower-case names and values from the caller.

    Returns
    -------
    tuple of pairs of str
        The headers without hop-by-hop headers, the key, the ticket and those that
        the instance sets itself.

    Examples
    --------
    >>> forwarded_headers((("authorization", "k"), ("accept", "*/*"), ("te", "x")))
    (('accept', '*/*'),)
    """
    connection_options = {
        word.strip().lower()
        for name, value in headers
        if name == "connection"
        for word in value.split(",")
    }
    dropped = HOP_BY_HOP | NOT_FORWARDED_HEADERS | connection_options
    return tuple((name, value) for name, value in headers if name not in dropped)


def with_content_length(headers: Headers, body_length: int | None) -> Headers:
    """Return headers with the ``content-length`` of a body.

    Parameters
    ----------
    headers : tuple of pairs of str
        Headers for the upstream.
    body_length : int or None
        Length in bytes, ``None`` for a chunked body.

    Returns
    -------
    tuple of pairs of str
        The headers, unchanged if there is no body or its length is unknown.

    Examples
    --------
    >>> with_content_length((), 12)
    (('content-length', '12'),)
    """
    if not body_length:
        return headers
    return headers + (("content-length", str(body_length)),)


def _header_value(headers, name):
    return next((value for key, value in headers if key == name), "")
