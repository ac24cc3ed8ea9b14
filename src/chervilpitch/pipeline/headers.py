"""Headers of callers' requests and of answers."""

from collections.abc import Mapping

from chervilpitch.accounts import PresentedKey
from chervilpitch.transport.upstreams import HOP_BY_HOP, Headers

__all__ = [
    "end_to_end",
    "key_text",
    "presented_key",
    "sent_by_caller",
    "ticket_text",
    "with_length",
]

KEY_HEADER = "authorization"
KEY_SCHEME = "bearer"
TICKET_HEADER = "chervilpitch-ticket"
OWN_HEADERS = frozenset(
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


def sent_by_caller(environ: Mapping[str, object]) -> Headers:
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
    >>> sent_by_caller({"HTTP_ACCEPT": "*/*", "REQUEST_METHOD": "GET"})
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
    """Return the key that came with a request.

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
    """Return the text of the key that came with a request, empty for none.

    Parameters
    ----------
    headers : tuple of pairs of str
        Lower-case names and values from the caller.

    Returns
    -------
    str
        The key of an ``Authorization: Bearer`` header.
    """
    scheme, _, key = _value(headers, KEY_HEADER).partition(" ")
    return key.strip() if scheme.lower() == KEY_SCHEME else ""


def ticket_text(headers: Headers) -> str:
    """Return the ticket that came with a request, empty for none.

    Parameters
    ----------
    headers : tuple of pairs of str
        Lower-case names and values from the caller.

    Returns
    -------
    str
        The text of the ticket.
    """
    return _value(headers, TICKET_HEADER)


def end_to_end(headers: Headers) -> Headers:
    """Return the headers that go on to an upstream.

    Parameters
    ----------
    headers : tuple of pairs of str
        Lower-case names and values from the caller.

    Returns
    -------
    tuple of pairs of str
        Without hop-by-hop headers, the key, the ticket and the instance's own.

    Examples
    --------
    >>> end_to_end((("authorization", "k"), ("accept", "*/*"), ("te", "x")))
    (('accept', '*/*'),)
    """
    named = {
        word.strip().lower()
        for name, value in headers
        if name == "connection"
        for word in value.split(",")
    }
    dropped = HOP_BY_HOP | OWN_HEADERS | named
    return tuple((name, value) for name, value in headers if name not in dropped)


def with_length(headers: Headers, body_length: int | None) -> Headers:
    """Return headers with the length of a body.

    Parameters
    ----------
    headers : tuple of pairs of str
        Headers for the upstream.
    body_length : int or None
        Length in bytes, ``None`` for chunks.

    Returns
    -------
    tuple of pairs of str
        With ``content-length`` unless there is no body or its length is unknown.

    Examples
    --------
    >>> with_length((), 12)
    (('content-length', '12'),)
    """
    if not body_length:
        return headers
    return headers + (("content-length", str(body_length)),)


def _value(headers, wanted):
    return next((value for name, value in headers if name == wanted), "")
