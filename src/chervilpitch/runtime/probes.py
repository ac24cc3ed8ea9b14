"""Health probes of upstreams, run in a thread pool."""

from concurrent.futures import ThreadPoolExecutor

import urllib3
from urllib3.exceptions import HTTPError

from chervilpitch import health, routing

from .cores import Cores

__all__ = ["Prober"]

HEALTH_PATH = "/health"
PROBE_TIMEOUT_S = 1.0
THREAD_COUNT = 2


class Prober:
    """Run the probes that the health core requests.

    Parameters
    ----------
    cores : Cores
        The decision cores.
    """

    def __init__(self, cores: Cores):
        self._cores = cores
        self._pool = ThreadPoolExecutor(THREAD_COUNT, "probe")

    def start_due(self) -> None:
        """Start the probes that are due, each in a reserved slot of its upstream."""
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
        """Stop probing and cancel queued probes."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _probe(self, reservation):
        cores = self._cores
        started_at_s = cores.clock()
        is_healthy = _is_healthy(reservation.address)
        with cores.lock:
            now_s = cores.clock()
            observation = (
                health.ProbeSucceeded(now_s - started_at_s)
                if is_healthy
                else health.ProbeFailed()
            )
            effects = routing.release(cores.routing, reservation, observation, now_s)
        cores.carry_out(effects)


def _is_healthy(address: str) -> bool:
    try:
        response = urllib3.request(
            "GET",
            f"http://{address}{HEALTH_PATH}",
            timeout=PROBE_TIMEOUT_S,
            retries=False,
        )
    except (HTTPError, OSError):
        return False
    return response.status == 200
