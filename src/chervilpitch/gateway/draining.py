"""Draining of callers' connections in a planned stop."""

import asyncio
from collections.abc import Callable

from chervilpitch.policy import PlannedStop

from .http_server import HttpServer

__all__ = ["drain_connections"]

CHECK_INTERVAL_S = 0.1


async def drain_connections(
    stop: PlannedStop,
    server: HttpServer,
    listener: asyncio.Server,
    clock: Callable[[], float],
) -> None:
    """Return when no connection is left, or when the stop ends.

    A connection that is open can bring another request at any moment. So the end of
    all requests in progress does not suffice, and idle connections are closed first.

    Parameters
    ----------
    stop : PlannedStop
        The stop.
    server : HttpServer
        Connections of callers; each closes once the requests read from it are answered.
    listener : asyncio.Server
        Listener that accepts them; closed first.
    clock : callable
        Returns monotonic seconds.
    """
    listener.close()
    while (remaining_s := stop.ends_at_s - clock()) > 0:
        await asyncio.sleep(min(CHECK_INTERVAL_S, remaining_s))
        server.close_idle()
        server.close_timed_out()
        if not server.open_count:
            return
