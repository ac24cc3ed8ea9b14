"""Load on one upstream from the other instances, kept as running totals."""

import math
from typing import NamedTuple

__all__ = ["RemoteLoad", "RemoteLoads"]

TTL_S = 1.2


class RemoteLoad(NamedTuple):
    """Load that one source has reported.

    Parameters
    ----------
    in_flight : int
        Requests that are waiting for a response.
    lateness : float
        Evidence of failure from these requests, in log-odds.
    expires_at_s : float
        Monotonic time in seconds until which it counts.
    """

    in_flight: int
    lateness: float
    expires_at_s: float


NO_LOAD = RemoteLoad(0, 0.0, float("-inf"))


class RemoteLoads:
    """Latest load reported by each source, added up when a report arrives.

    Reading a total costs the same for any number of sources. A load expires
    ``TTL_S`` after its report, so a source that has left is forgotten.

    Examples
    --------
    >>> loads = RemoteLoads()
    >>> loads.record("a", 2, 0.5, now_s=10.0).in_flight
    0
    >>> loads.record("a", 3, 0.5, now_s=10.3).in_flight
    2
    >>> loads.in_flight(now_s=10.4), loads.in_flight(now_s=20.0)
    (3, 0)
    """

    def __init__(self) -> None:
        self._loads: dict[str, RemoteLoad] = {}
        self._in_flight = 0
        self._lateness = 0.0
        self._next_expiry_at_s = math.inf

    def __len__(self) -> int:
        return len(self._loads)

    def record(
        self, source: str, in_flight: int, lateness: float, now_s: float
    ) -> RemoteLoad:
        """Replace the load of a source and return the previous one.

        Parameters
        ----------
        source : str
            Instance or group of instances that reports.
        in_flight : int
            Its requests that are waiting for a response.
        lateness : float
            Evidence of failure from these requests, in log-odds.
        now_s : float
            Monotonic time in seconds.
        """
        if now_s >= self._next_expiry_at_s:
            self._remove_expired(now_s)
        previous = self._remove(source)
        self._loads[source] = RemoteLoad(in_flight, lateness, now_s + TTL_S)
        self._next_expiry_at_s = min(self._next_expiry_at_s, now_s + TTL_S)
        self._in_flight += in_flight
        self._lateness += lateness
        return previous

    def clear(self) -> None:
        """Forget the loads of all sources."""
        self._loads.clear()
        self._next_expiry_at_s = math.inf
        self._in_flight = 0
        self._lateness = 0.0

    def in_flight(self, now_s: float) -> int:
        """Return the requests in flight from all sources."""
        if now_s >= self._next_expiry_at_s:
            self._remove_expired(now_s)
        return self._in_flight

    def lateness(self, now_s: float) -> float:
        """Return the evidence of failure from all sources, in log-odds."""
        if now_s >= self._next_expiry_at_s:
            self._remove_expired(now_s)
        return self._lateness

    def _remove_expired(self, now_s):
        self._next_expiry_at_s = math.inf
        while self._loads:
            source, oldest = next(iter(self._loads.items()))
            if now_s < oldest.expires_at_s:
                self._next_expiry_at_s = oldest.expires_at_s
                return
            self._remove(source)

    def _remove(self, source) -> RemoteLoad:
        load = self._loads.pop(source, None)
        if load is None:
            return NO_LOAD
        self._in_flight -= load.in_flight
        self._lateness = self._lateness - load.lateness if self._loads else 0.0
        return load
