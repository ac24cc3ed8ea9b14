"""HTTP client for upstreams."""

import http.client
import threading
from typing import NamedTuple

import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import (
    ConnectTimeoutError,
    EmptyPoolError,
    HTTPError,
    IncompleteRead,
    NewConnectionError,
    ProtocolError,
    ReadTimeoutError,
)

from chervilpitch.errors import UpstreamError
from chervilpitch.requests import FailureStage

from .clock import monotonic_s
from .strict_response import StrictResponse

__all__ = [
    "TruncatedAnswerError",
    "UpstreamResponse",
    "UpstreamClient",
    "UpstreamFailure",
    "UpstreamRequest",
]

Headers = tuple[tuple[str, str], ...]

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_S = 10.0
CHUNK_BYTES = 65_536
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


class TruncatedAnswerError(UpstreamError):
    """The body of an upstream's response ended early or stalled."""


class UpstreamFailure(NamedTuple):
    """Failure of an exchange that gave no response.

    Parameters
    ----------
    stage : FailureStage
        Stage that the exchange had reached.
    timed_out : bool
        Whether a timeout ended it.
    """

    stage: FailureStage
    timed_out: bool


class UpstreamRequest(NamedTuple):
    """Request to an upstream.

    Parameters
    ----------
    address : str
        Host and port.
    method, target : str
        Method and target of the request line.
    headers : tuple of pairs of str
        Header fields, without the caller's key.
    body : object
        Bytes, an iterator of bytes, or ``None``.
    timeout_s : float
        Seconds left until the deadline.
    connections : int
        Largest number of connections from this instance to the upstream.
    new_connection : bool
        Whether to open a connection for this request only.
    """

    address: str
    method: str
    target: str
    headers: Headers
    body: object
    timeout_s: float
    connections: int
    new_connection: bool


class UpstreamResponse:
    """Response whose body is received while it is read.

    Parameters
    ----------
    response : urllib3.BaseHTTPResponse
        Response without preloaded content.
    pool : urllib3.HTTPConnectionPool or None
        Pool to close together with the response.
    """

    def __init__(self, response, pool=None):
        self._response = response
        self._pool = pool
        self._is_body_read = False

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._response.status

    @property
    def headers(self) -> Headers:
        """End-to-end headers."""
        connection_options = {
            name.strip().lower()
            for name in self._response.headers.get("Connection", "").split(",")
        }
        return tuple(
            (name, value)
            for name, value in self._response.headers.items()
            if name.lower() not in HOP_BY_HOP and name.lower() not in connection_options
        )

    def read_chunk(self) -> bytes:
        """Return the next bytes of the body, empty after the last one.

        Raises
        ------
        TruncatedAnswerError
            The body ended early or stalled.
        """
        try:
            chunk = self._response.read1(CHUNK_BYTES, decode_content=False)
        except (HTTPError, OSError) as error:
            raise TruncatedAnswerError(type(error).__name__) from error
        self._is_body_read = not chunk
        if self._is_body_read and (self._response.length_remaining or 0) > 0:
            self._is_body_read = False
            raise TruncatedAnswerError(
                "the response body ended before its declared length"
            )
        return chunk

    def close(self) -> None:
        """Return the connection to its pool; close it unless the body ended."""
        if not self._is_body_read:
            self._response.close()
        self._response.release_conn()
        if self._pool is not None:
            self._pool.close()


class RefreshingConnection(urllib3.connection.HTTPConnection):
    """Connection that is reopened if its last request is older than ``MAX_IDLE_S``.

    Notes
    -----
    Something on the path may have lost the state of an idle connection. The old
    connection then never gets a response, while new connections work.
    """

    response_class = StrictResponse

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self._reuse_until_s = float("inf")

    def request(self, *args, **options):
        """Send a request, on a new connection if the last request is too old."""
        if monotonic_s() > self._reuse_until_s:
            self.close()
        self._reuse_until_s = monotonic_s() + MAX_IDLE_S
        return super().request(*args, **options)


class RefreshingPool(urllib3.HTTPConnectionPool):
    """Pool of :class:`RefreshingConnection`."""

    ConnectionCls = RefreshingConnection


class UpstreamClient:
    """HTTP client with one connection pool for each upstream address."""

    def __init__(self):
        self._pools = {}
        self._lock = threading.Lock()

    def send(
        self, request: UpstreamRequest
    ) -> Result[UpstreamResponse, UpstreamFailure]:
        """Send a request once and wait for the head of its response.

        Parameters
        ----------
        request : UpstreamRequest
            The request.

        Returns
        -------
        Result
            The response, or the failure with the stage that was reached.
        """
        own_pool = _new_pool(request.address, 1) if request.new_connection else None
        pool = own_pool or self._pool(request.address, request.connections)
        try:
            response = pool.urlopen(
                request.method,
                request.target,
                body=request.body,
                headers=urllib3.HTTPHeaderDict(request.headers),
                retries=False,
                redirect=False,
                timeout=_urllib3_timeout(request.timeout_s),
                pool_timeout=request.timeout_s,
                preload_content=False,
                decode_content=False,
            )
        except (HTTPError, OSError) as error:
            if own_pool is not None:
                own_pool.close()
            return Err(_failure_of(error))
        return Ok(UpstreamResponse(response, own_pool))

    def close_unused(self, addresses_in_use: frozenset[str]) -> None:
        """Close the connection pools of all other addresses.

        Parameters
        ----------
        addresses_in_use : frozenset of str
            Addresses to keep.
        """
        with self._lock:
            unused = [key for key in self._pools if key not in addresses_in_use]
            pools = [self._pools.pop(key) for key in unused]
        for pool in pools:
            pool.close()

    def close_idle(self, address: str) -> None:
        """Close the idle connections of an address; later requests open new ones.

        Parameters
        ----------
        address : str
            Host and port of the upstream.
        """
        with self._lock:
            pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close()

    def _pool(self, address, connections):
        with self._lock:
            if address not in self._pools:
                self._pools[address] = _new_pool(address, connections)
            return self._pools[address]


def _new_pool(address, connections):
    host, _, port = address.rpartition(":")
    return RefreshingPool(host.strip("[]"), int(port), maxsize=connections, block=True)


def _urllib3_timeout(seconds):
    connect = min(CONNECT_TIMEOUT_S, seconds)
    return urllib3.Timeout(connect=connect, read=seconds)


def _failure_of(error: Exception) -> UpstreamFailure:
    if isinstance(error, (NewConnectionError, ConnectTimeoutError, EmptyPoolError)):
        timed_out = isinstance(error, ConnectTimeoutError)
        return UpstreamFailure(FailureStage.NOT_CONNECTED, timed_out)
    if isinstance(error, IncompleteRead) or _is_cut(error):
        return UpstreamFailure(FailureStage.RESPONSE_TRUNCATED, False)
    if isinstance(error, (ReadTimeoutError, TimeoutError)):
        return UpstreamFailure(FailureStage.SENT, True)
    if isinstance(error, ProtocolError) and _is_timeout(error):
        return UpstreamFailure(FailureStage.SENT, True)
    return UpstreamFailure(FailureStage.SENT, False)


def _is_cut(error: Exception) -> bool:
    return any(isinstance(cause, http.client.IncompleteRead) for cause in error.args)


def _is_timeout(error: Exception) -> bool:
    return any(isinstance(cause, TimeoutError) for cause in error.args)
