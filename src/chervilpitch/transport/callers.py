"""HTTP server for callers."""

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

SINGLETON_HEADERS = frozenset((b"content-length", b"host", b"transfer-encoding"))
HEADER_NAME_PATTERN = re.compile(rb"[!#$%&'*+.^_`|~0-9a-z-]+")
MAX_HEADER_LINES = 100
SHUTDOWN_TIMEOUT_S = 3_600


class StrictHeaderReader(cheroot_server.HeaderReader):
    """Header reader that refuses headers which parsers may interpret differently.

    Such headers allow request smuggling.

    Notes
    -----
    Status 400 is the response to a second ``Content-Length``, ``Host`` or
    ``Transfer-Encoding``, to ``Content-Length`` together with
    ``Transfer-Encoding``, to a folded line and to a space before the colon.

    References
    ----------
    RFC 9112, sections 5.1, 5.2 and 6.3.
    """

    def __call__(self, rfile, hdict=None):
        """Return the header fields by name; raise ``ValueError`` to refuse them."""
        lines = _header_lines(rfile)
        _check_lines(lines)
        return super().__call__(io.BytesIO(b"".join(lines)), hdict)


class StrictRequest(cheroot_server.HTTPRequest):
    """Request whose headers are read by :class:`StrictHeaderReader`."""

    header_reader = StrictHeaderReader()


class StrictConnection(cheroot_server.HTTPConnection):
    """Connection whose requests are :class:`StrictRequest`."""

    RequestHandlerClass = StrictRequest


class CallersServer(wsgi.Server):
    """WSGI server with strict parsing of headers and structured error logs."""

    ConnectionClass = StrictConnection

    def error_log(self, msg="", level=logging.INFO, traceback=False):
        """Log the first line of a connection's error, without its traceback."""
        log.warning("The connection of a caller failed.", failure=msg.split("\n")[0])


def build_server(
    address: str,
    application: Callable[..., Iterable[bytes]],
    threads: int,
    stall_timeout_s: float,
    max_header_bytes: int,
) -> CallersServer:
    """Return a WSGI server that is not listening yet.

    Parameters
    ----------
    address : str
        Host and port to listen on.
    application : callable
        WSGI application.
    threads : int
        Number of worker threads, that is of requests served at the same time.
    stall_timeout_s : float
        Seconds without data after which a caller's connection is closed.
    max_header_bytes : int
        Largest accepted header size in bytes.

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
        if len(lines) > MAX_HEADER_LINES:
            raise cheroot_errors.MaxSizeExceeded


def _check_lines(lines: list[bytes]) -> None:
    names = [line.partition(b":")[0].lower() for line in lines[:-1]]
    for name, line in zip(names, lines, strict=False):
        if HEADER_NAME_PATTERN.fullmatch(name) is None or b":" not in line:
            raise ValueError("a malformed header line")
    for name in SINGLETON_HEADERS:
        if names.count(name) > 1:
            raise ValueError("a header that may come once came twice")
    if b"content-length" in names and b"transfer-encoding" in names:
        raise ValueError("two lengths")
