"""HTTP server towards callers."""

import io
import logging
import re
from collections.abc import Callable, Iterable

from cheroot import errors as cheroot_errors
from cheroot import server as cheroot_server
from cheroot import wsgi

from chervilpitch.observe import part_logger

__all__ = ["CallersServer", "StrictHeaderReader", "build_server"]

log = part_logger("transport")

SINGLE_HEADERS = frozenset((b"content-length", b"host", b"transfer-encoding"))
TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9a-z-]+")
MAX_HEADERS = 100
SHUTDOWN_TIMEOUT_S = 3_600


class StrictHeaderReader(cheroot_server.HeaderReader):
    """Header reader that refuses what two parsers could understand differently.

    Notes
    -----
    A second ``Content-Length``, ``Host`` or ``Transfer-Encoding``, both lengths
    at once, folded lines and space before a colon are refused with status 400.

    References
    ----------
    RFC 9112, sections 5.1, 5.2 and 6.3.
    """

    def __call__(self, rfile, hdict=None):
        """Read the header lines and return them by name."""
        lines = _header_lines(rfile)
        _check_lines(lines)
        return super().__call__(io.BytesIO(b"".join(lines)), hdict)


class StrictRequest(cheroot_server.HTTPRequest):
    """Request whose headers are read strictly."""

    header_reader = StrictHeaderReader()


class StrictConnection(cheroot_server.HTTPConnection):
    """Connection that makes strict requests."""

    RequestHandlerClass = StrictRequest


class CallersServer(wsgi.Server):
    """WSGI server with strict requests and typed reports of its failures."""

    ConnectionClass = StrictConnection

    def error_log(self, msg="", level=logging.INFO, traceback=False):
        """Log a failure of a connection in one line, without its traceback."""
        log.warning("A connection failed.", failure=msg.split("\n")[0])


def build_server(
    address: str,
    application: Callable[..., Iterable[bytes]],
    threads: int,
    stall_timeout_s: float,
    max_header_bytes: int,
) -> CallersServer:
    """Return a server that is not yet listening.

    Parameters
    ----------
    address : str
        Host and port to listen on.
    application : callable
        WSGI application.
    threads : int
        Requests served at once.
    stall_timeout_s : float
        Seconds after which a caller that sends nothing is dropped.
    max_header_bytes : int
        Most bytes of header accepted.

    Returns
    -------
    CallersServer
        The server.
    """
    host, _, port = address.rpartition(":")
    server = CallersServer(
        (host.strip("[]"), int(port)),
        application,
        numthreads=threads,
        server_name="chervilpitch",
        timeout=stall_timeout_s,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        request_queue_size=threads * 4,
    )
    server.max_request_header_size = max_header_bytes
    return server


def _header_lines(rfile) -> list[bytes]:
    lines = []
    while True:
        line = rfile.readline()
        lines.append(line)
        if line in (b"\r\n", b"\n", b""):
            return lines
        if len(lines) > MAX_HEADERS:
            raise cheroot_errors.MaxSizeExceeded


def _check_lines(lines: list[bytes]) -> None:
    names = [line.partition(b":")[0].lower() for line in lines[:-1]]
    for name, line in zip(names, lines, strict=False):
        if TOKEN.fullmatch(name) is None or b":" not in line:
            raise ValueError("a malformed header line")
    for name in SINGLE_HEADERS:
        if names.count(name) > 1:
            raise ValueError("a header that may come once came twice")
    if b"content-length" in names and b"transfer-encoding" in names:
        raise ValueError("two lengths")
