"""Threads that probe the health endpoints of upstreams."""

from concurrent.futures import ThreadPoolExecutor

import urllib3
from urllib3.exceptions import HTTPError

from chervilpitch import health, routing

from .cores import Cores

__all__ = ["Prober"]

HEALTH_PATH = "/health"
PROBE_TIMEOUT_S = 1.0
THREADS = 2


class Prober:
    """Carries out the probes that the health core asks for.

    Parameters
    ----------
    cores : Cores
        The decision cores.
    """

    def __init__(self, cores: Cores):
        self._cores = cores
        self._pool = ThreadPoolExecutor(THREADS, "probe")

    def start_due(self) -> None:
        """Begin the probes that are due, each in a slot of its upstream."""
        cores = self._cores
        with cores.lock:
            now_s = cores.clock()
            due = health.probes_due(cores.health, now_s)
            reserved = [
                routing.reserve_probe(cores.routing, name, now_s) for name in due
            ]
        for result in reserved:
            if result.is_ok():
                self._pool.submit(self._probe, result.unwrap())

    def stop(self) -> None:
        """Probe no more."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _probe(self, reservation):
        cores = self._cores
        started_at_s = cores.clock()
        is_well = _is_well(reservation.address)
        with cores.lock:
            now_s = cores.clock()
            observation = (
                health.ProbeSucceeded(now_s - started_at_s)
                if is_well
                else health.ProbeFailed()
            )
            effects = routing.release(cores.routing, reservation, observation, now_s)
        cores.carry_out(effects)


def _is_well(address: str) -> bool:
    try:
        answer = urllib3.request(
            "GET",
            f"http://{address}{HEALTH_PATH}",
            timeout=PROBE_TIMEOUT_S,
            retries=False,
        )
    except (HTTPError, OSError):
        return False
    return answer.status == 200
