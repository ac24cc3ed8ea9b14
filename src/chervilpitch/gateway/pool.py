"""Pool of idle connections to upstreams."""

from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from .buffers import BufferLimit
from .http_client import ClientConnection, FailureKind, connect

__all__ = ["AcquiredConnection", "ConnectionPool"]

CONNECT_TIMEOUT_S = 0.35
MAX_IDLE_S = 4.0
IDLE_MARGIN_S = 1.0
MAX_IDLE_CONNECTIONS = 6


class _IdleConnection(NamedTuple):
    connection: ClientConnection
    expires_at_s: float


class AcquiredConnection(NamedTuple):
    """A connection that the pool lends to one exchange.

    Parameters
    ----------
    connection : ClientConnection
        The connection.
    is_reused : bool
        Whether it has carried an exchange before.
    """

    connection: ClientConnection
    is_reused: bool


class ConnectionPool:
    """Idle connections by upstream.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    buffers : BufferLimit, optional
        Limit of the response bodies that may be buffered at once.
    """

    def __init__(self, clock, buffers: BufferLimit | None = None):
        self._clock = clock
        self._buffers = buffers
        self._idle: dict[str, list[_IdleConnection]] = {}
        self._opened = 0
        self._failures: Counter[FailureKind] = Counter()

    @property
    def failure_counts(self) -> Mapping[FailureKind, int]:
        """Number of exchanges that failed so far, by kind."""
        return self._failures

    @property
    def opened_count(self) -> int:
        """Number of connections opened so far."""
        return self._opened

    async def acquire(self, upstream: str, address: str) -> AcquiredConnection:
        """Return an idle connection that is still usable, or open one.

        Parameters
        ----------
        upstream : str
            Name of the upstream.
        address : str
            Host and port.

        Raises
        ------
        ExchangeError
            No connection could be made; nothing was sent.
        """
        idle = self._idle.get(upstream, [])
        while idle:
            connection, expires_at_s = idle.pop()
            if connection.is_reusable and self._clock() < expires_at_s:
                return AcquiredConnection(connection, True)
            connection.close()
        self._opened += 1
        connection = await connect(address, CONNECT_TIMEOUT_S, self._buffers)
        return AcquiredConnection(connection, False)

    def release(
        self, upstream: str, connection: ClientConnection, idle_for_s: float | None
    ) -> None:
        """Return a connection to the pool; close it if it can't be kept.

        Parameters
        ----------
        upstream : str
            Name of the upstream.
        connection : ClientConnection
            A connection without an exchange in progress.
        idle_for_s : float or None
            Seconds that the upstream keeps it open, if the upstream states them.
        """
        idle = self._idle.setdefault(upstream, [])
        if not connection.is_reusable or len(idle) >= MAX_IDLE_CONNECTIONS:
            connection.close()
            return
        limit_s = MAX_IDLE_S
        if idle_for_s is not None:
            limit_s = min(limit_s, idle_for_s - IDLE_MARGIN_S)
        idle.append(_IdleConnection(connection, self._clock() + limit_s))

    def record_failure(self, upstream: str, kind: FailureKind) -> None:
        """Count an exchange that failed, and close the upstream's idle connections."""
        self._failures[kind] += 1
        self.close_idle(upstream)

    def close_idle(self, upstream: str) -> None:
        """Close the idle connections of an upstream."""
        for item in self._idle.pop(upstream, ()):
            item.connection.close()

    def close_expired(self) -> None:
        """Close connections whose idle time has passed or that can't be reused."""
        now_s = self._clock()
        for upstream, idle in list(self._idle.items()):
            for item in idle:
                if now_s >= item.expires_at_s or not item.connection.is_reusable:
                    item.connection.close()
            kept = [item for item in idle if item.connection.is_reusable]
            if kept:
                self._idle[upstream] = kept
            else:
                del self._idle[upstream]
