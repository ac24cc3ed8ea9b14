"""Idle connections to upstreams."""

from typing import NamedTuple

from .http_client import ClientConnection, connect

__all__ = ["ConnectionPool", "Lease"]

CONNECT_TIMEOUT_S = 0.35
DEFAULT_IDLE_S = 4.0
IDLE_MARGIN_S = 1.0
MOST_IDLE = 6


class _Idle(NamedTuple):
    connection: ClientConnection
    until_s: float


class Lease(NamedTuple):
    """A connection that one exchange uses.

    Parameters
    ----------
    connection : ClientConnection
        The connection.
    is_reused : bool
        Whether an exchange was made on it before.
    """

    connection: ClientConnection
    is_reused: bool


class ConnectionPool:
    """Idle connections by upstream.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, clock):
        self._clock = clock
        self._idle: dict[str, list[_Idle]] = {}
        self._opened = 0

    @property
    def opened(self) -> int:
        """Connections that were opened so far."""
        return self._opened

    async def take(self, upstream: str, address: str) -> Lease:
        """Return an idle connection or open one.

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
            connection, until_s = idle.pop()
            if connection.is_reusable and self._clock() < until_s:
                return Lease(connection, True)
            connection.close()
        self._opened += 1
        return Lease(await connect(address, CONNECT_TIMEOUT_S), False)

    def give_back(
        self, upstream: str, connection: ClientConnection, idle_for_s: float | None
    ) -> None:
        """Keep a connection for later.

        Parameters
        ----------
        upstream : str
            Name of the upstream.
        connection : ClientConnection
            A connection without an exchange under way.
        idle_for_s : float or None
            Seconds that the upstream keeps it open, if told.
        """
        idle = self._idle.setdefault(upstream, [])
        if not connection.is_reusable or len(idle) >= MOST_IDLE:
            connection.close()
            return
        limit_s = DEFAULT_IDLE_S
        if idle_for_s is not None:
            limit_s = min(limit_s, idle_for_s - IDLE_MARGIN_S)
        idle.append(_Idle(connection, self._clock() + limit_s))

    def drop(self, upstream: str) -> None:
        """Close the idle connections of an upstream."""
        for item in self._idle.pop(upstream, ()):
            item.connection.close()

    def sweep(self) -> None:
        """Close connections that have been idle for long."""
        now_s = self._clock()
        for upstream, idle in list(self._idle.items()):
            for item in idle:
                if now_s >= item.until_s or not item.connection.is_reusable:
                    item.connection.close()
            kept = [item for item in idle if item.connection.is_reusable]
            if kept:
                self._idle[upstream] = kept
            else:
                del self._idle[upstream]
