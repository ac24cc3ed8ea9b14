"""Connections to upstreams."""

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
    """An upstream's body ended early or stopped moving."""


class UpstreamFailure(NamedTuple):
    """An exchange that brought no answer.

    Parameters
    ----------
    stage : FailureStage
        How far the exchange had come.
    timed_out : bool
        Whether the time limit ended it.
    """

    stage: FailureStage
    timed_out: bool


class UpstreamRequest(NamedTuple):
    """What goes to an upstream.

    Parameters
    ----------
    address : str
        Host and port.
    method, target : str
        Request line.
    headers : tuple of pairs of str
        Headers without the key.
    body : object
        Bytes, an iterator of bytes, or ``None``.
    timeout_s : float
        Seconds left until the deadline.
    connections : int
        Connections this instance may hold to the upstream.
    new_connection : bool
        Whether to open a connection for this request alone.
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
    """An answer whose body is received as it is read.

    Parameters
    ----------
    response : urllib3.BaseHTTPResponse
        Response without preloaded content.
    pool : urllib3.HTTPConnectionPool or None
        Pool to close with the answer.
    """

    def __init__(self, response, pool=None):
        self._response = response
        self._pool = pool
        self._ended = False

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._response.status

    @property
    def headers(self) -> Headers:
        """End-to-end headers."""
        named = {
            name.strip().lower()
            for name in self._response.headers.get("Connection", "").split(",")
        }
        return tuple(
            (name, value)
            for name, value in self._response.headers.items()
            if name.lower() not in HOP_BY_HOP and name.lower() not in named
        )

    def read_chunk(self) -> bytes:
        """Return the next bytes of the body, empty at its end.

        Raises
        ------
        TruncatedAnswerError
            The body ended early or stalled.
        """
        try:
            chunk = self._response.read1(CHUNK_BYTES, decode_content=False)
        except (HTTPError, OSError) as error:
            raise TruncatedAnswerError(type(error).__name__) from error
        self._ended = not chunk
        if self._ended and (self._response.length_remaining or 0) > 0:
            self._ended = False
            raise TruncatedAnswerError("the body ended early")
        return chunk

    def close(self) -> None:
        """Return the connection to its pool; drop it if the body did not end."""
        if not self._ended:
            self._response.close()
        self._response.release_conn()
        if self._pool is not None:
            self._pool.close()


class RefreshingConnection(urllib3.connection.HTTPConnection):
    """Connection that is opened anew when it has been idle for long.

    Notes
    -----
    Something between the two ends may have lost track of an idle connection, so
    that it is silent for good while new ones work.
    """

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self._idle_until_s = float("inf")

    def request(self, *args, **options):
        """Send a request, on a new connection after a long idle time."""
        if monotonic_s() > self._idle_until_s:
            self.close()
        self._idle_until_s = monotonic_s() + MAX_IDLE_S
        return super().request(*args, **options)


class RefreshingPool(urllib3.HTTPConnectionPool):
    """Pool whose connections are not used after a long idle time."""

    ConnectionCls = RefreshingConnection


class UpstreamClient:
    """Pools of connections, one for each upstream address."""

    def __init__(self):
        self._pools = {}
        self._lock = threading.Lock()

    def send(
        self, request: UpstreamRequest
    ) -> Result[UpstreamResponse, UpstreamFailure]:
        """Send a request once and wait for the head of its answer.

        Parameters
        ----------
        request : UpstreamRequest
            What to send, and where.

        Returns
        -------
        Result
            The answer, or how far the exchange came.
        """
        single = _new_pool(request.address, 1) if request.new_connection else None
        pool = single or self._pool(request.address, request.connections)
        try:
            response = pool.urlopen(
                request.method,
                request.target,
                body=request.body,
                headers=urllib3.HTTPHeaderDict(request.headers),
                retries=False,
                redirect=False,
                timeout=_timeout(request.timeout_s),
                pool_timeout=request.timeout_s,
                preload_content=False,
                decode_content=False,
            )
        except (HTTPError, OSError) as error:
            if single is not None:
                single.close()
            return Err(_failure(error))
        return Ok(UpstreamResponse(response, single))

    def close_unused(self, addresses_in_use: frozenset[str]) -> None:
        """Close the pools of every other address.

        Parameters
        ----------
        addresses_in_use : frozenset of str
            Addresses to keep.
        """
        with self._lock:
            gone = [key for key in self._pools if key not in addresses_in_use]
            pools = [self._pools.pop(key) for key in gone]
        for pool in pools:
            pool.close()

    def close_idle(self, address: str) -> None:
        """Close the idle connections of an address; later ones are new.

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


def _timeout(seconds):
    connect = min(CONNECT_TIMEOUT_S, seconds)
    return urllib3.Timeout(connect=connect, read=seconds)


def _failure(error: Exception) -> UpstreamFailure:
    if isinstance(error, (NewConnectionError, ConnectTimeoutError, EmptyPoolError)):
        timed_out = isinstance(error, ConnectTimeoutError)
        return UpstreamFailure(FailureStage.NOT_CONNECTED, timed_out)
    if isinstance(error, IncompleteRead):
        return UpstreamFailure(FailureStage.RESPONSE_TRUNCATED, False)
    if isinstance(error, (ReadTimeoutError, TimeoutError)):
        return UpstreamFailure(FailureStage.SENT, True)
    if isinstance(error, ProtocolError) and _is_timeout(error):
        return UpstreamFailure(FailureStage.SENT, True)
    return UpstreamFailure(FailureStage.SENT, False)


def _is_timeout(error: Exception) -> bool:
    return any(isinstance(cause, TimeoutError) for cause in error.args)
