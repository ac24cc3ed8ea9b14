"""Responses that end at any byte, for stand-ins of upstreams."""

from enum import StrEnum
from typing import NamedTuple

__all__ = ["CUT_HEADER", "Framing", "ResponseCut", "build_response", "parse_cut"]

CUT_HEADER = "x-cut"
BODY = b"0123456789abcdef"
SEAL_LINE = b"X-Chervilpitch-Response-Seal: s\r\n"
INTERIM_RESPONSE = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


class Framing(StrEnum):
    """How the end of a response is marked."""

    LENGTH = "length"
    LENGTH_AFTER_SEAL = "length-after-seal"
    CHUNKED = "chunked"
    CHUNKED_LEADING_ZERO = "chunked-leading-zero"
    TRAILER = "trailer"
    UNTIL_CLOSE = "until-close"
    INTERIM = "interim"
    NO_CONTENT = "no-content"
    NOT_MODIFIED = "not-modified"

    @property
    def status(self) -> int:
        """Status code of the response."""
        return {Framing.NO_CONTENT: 204, Framing.NOT_MODIFIED: 304}.get(self, 200)

    @property
    def body(self) -> bytes:
        """Whole body of the response."""
        return BODY if self.status == 200 else b""


class ResponseCut(NamedTuple):
    """Where a response ends and how its connection is closed there.

    Parameters
    ----------
    framing : Framing
        How the end of the whole response is marked.
    sent_bytes : int
        Number of bytes sent; the connection stays open after the whole response if
        its end is marked.
    is_reset : bool
        Whether the connection is reset instead of closed in order.
    """

    framing: Framing
    sent_bytes: int
    is_reset: bool

    def encode(self) -> str:
        """Return the value of the request header that asks for this cut."""
        return f"{self.framing},{self.sent_bytes},{int(self.is_reset)}"


def parse_cut(value: str) -> ResponseCut:
    """Parse the value of the request header that asks for a cut.

    Examples
    --------
    >>> parse_cut("chunked,7,0").sent_bytes
    7
    """
    framing, sent_bytes, is_reset = value.split(",")
    return ResponseCut(Framing(framing), int(sent_bytes), is_reset == "1")


def build_response(framing: Framing, request_id: str, method: str = "GET") -> bytes:
    """Return a whole response.

    Parameters
    ----------
    framing : Framing
        How its end is marked.
    request_id : str
        Id of the request; a header of the response repeats it.
    method : str
        Method of the request; the response to HEAD has no body.
    """
    head = b"HTTP/1.1 %d Any\r\nX-Chervilpitch-Request-Id: %b\r\n" % (
        framing.status,
        request_id.encode(),
    )
    lines, body = _FRAMES[framing]
    has_body = framing.status == 200 and method != "HEAD"
    interim = INTERIM_RESPONSE if framing is Framing.INTERIM else b""
    return interim + head + lines + b"\r\n" + (body if has_body else b"")


_LENGTH_LINE = b"Content-Length: %d\r\n" % len(BODY)
_CHUNKED_LINES = SEAL_LINE + b"Transfer-Encoding: chunked\r\n"
_CHUNKS = b"6;e=1\r\n" + BODY[:6] + b"\r\na\r\n" + BODY[6:] + b"\r\n"
_FRAMES = {
    Framing.LENGTH: (_LENGTH_LINE + SEAL_LINE, BODY),
    Framing.LENGTH_AFTER_SEAL: (SEAL_LINE + _LENGTH_LINE, BODY),
    Framing.CHUNKED: (_CHUNKED_LINES, _CHUNKS + b"0\r\n\r\n"),
    Framing.CHUNKED_LEADING_ZERO: (
        _CHUNKED_LINES,
        b"06\r\n" + BODY[:6] + b"\r\n0a\r\n" + BODY[6:] + b"\r\n00\r\n\r\n",
    ),
    Framing.TRAILER: (_CHUNKED_LINES, _CHUNKS + b"0\r\nX-Sum: 1\r\n\r\n"),
    Framing.UNTIL_CLOSE: (SEAL_LINE + b"Connection: close\r\n", BODY),
    Framing.INTERIM: (_LENGTH_LINE + SEAL_LINE, BODY),
    Framing.NO_CONTENT: (SEAL_LINE, b""),
    Framing.NOT_MODIFIED: (SEAL_LINE + _LENGTH_LINE, b""),
}
