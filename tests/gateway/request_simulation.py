"""Requests through the instances of a simulated fleet to upstreams, on virtual time."""

import asyncio
import collections
import itertools
import random
from typing import NamedTuple

from chervilpitch.gateway.forward import Forwarder
from chervilpitch.gateway.http_client import (
    ClientResponse,
    ExchangeError,
    FailureKind,
)
from chervilpitch.gateway.http_server import ServerRequest
from chervilpitch.gateway.metrics import GatewayMetrics
from chervilpitch.gateway.pool import AcquiredConnection
from chervilpitch.gateway.request_path import RequestPath
from chervilpitch.model import StoreItem
from chervilpitch.platform import ENTRY_PREFIX

from .harness import HOST, KEY, SERVICE, encode_json
from .region_simulation import STEP_S

UPSTREAMS = 60
SLOTS = 16
WORK_S = 0.08
NETWORK_S = 0.005
REPORT_S = 0.002


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances to the next timer instead of waiting for it.

    Parameters
    ----------
    now_s : float
        Time in seconds at which it starts.
    """

    def __init__(self, now_s):
        self._now_s = now_s
        super().__init__()
        self._select = self._selector.select
        self._selector.select = self._advance

    def time(self):
        """Return the virtual time in seconds."""
        return self._now_s

    def _advance(self, timeout_s):
        self._now_s += timeout_s or 0.0
        return self._select(0)


class Faults(NamedTuple):
    """Shares of the requests at upstreams that fail, and how.

    Parameters
    ----------
    reset, hang : float
        Run, and then reset or never answered.
    shed : float
        Answered as not run.
    unreachable : float
        No connection is made.
    """

    reset: float = 0.0
    hang: float = 0.0
    shed: float = 0.0
    unreachable: float = 0.0


class SimulatedUpstreams:
    """Upstreams that count what they run; takes the place of a connection pool.

    Attributes
    ----------
    runs : list of tuple
        Time in seconds at which each run began, and the id of its request.
    """

    def __init__(self, faults, rng):
        self.runs = []
        self._faults = faults
        self._rng = rng

    def entries(self, domains):
        """Return the entries of all upstreams, spread over failure domains."""
        names = [f"t{number}" for number in range(UPSTREAMS)]
        return tuple(
            StoreItem(ENTRY_PREFIX + name, _entry(number, domain), 1)
            for (number, name), domain in zip(
                enumerate(names), itertools.cycle(domains), strict=False
            )
        )

    async def acquire(self, upstream, address):
        """Return a new connection, or fail to make one."""
        await asyncio.sleep(NETWORK_S)
        if self._rng.random() < self._faults.unreachable:
            raise ExchangeError(FailureKind.NOT_CONNECTED)
        return AcquiredConnection(self, False)

    async def exchange(self, request, is_mismatched):
        """Run a request, or shed it."""
        faults = self._faults
        draw = self._rng.random()
        request_id = dict(request.headers)[b"x-chervilpitch-request-id"]
        headers = [(b"x-chervilpitch-request-id", request_id)]
        if draw < faults.shed:
            not_run = (b"x-chervilpitch-not-executed", b"1")
            return ClientResponse(503, [*headers, not_run], b"")
        now_s = asyncio.get_running_loop().time()
        self.runs.append((now_s, request_id))
        await asyncio.sleep(WORK_S)
        if draw < faults.shed + faults.reset:
            raise ExchangeError(FailureKind.RESET)
        if draw < faults.shed + faults.reset + faults.hang:
            await asyncio.sleep(3600)
        seal = (b"x-chervilpitch-response-seal", b"s")
        return ClientResponse(200, [*headers, seal], b"")

    def release(self, upstream, connection, idle_for_s):
        """Keep no connection."""

    def record_failure(self, upstream, kind):
        """Keep no connection."""

    def close_idle(self, upstream):
        """Keep no connection."""

    def close(self):
        """Keep no connection."""


def _entry(number, domain):
    return encode_json(
        {
            "service": SERVICE,
            "address": f"10.0.0.{number}:80",
            "zone": domain,
            "version": "v1",
            "capacity": SLOTS,
            "state": "ready",
            "cold_remaining": "0ms",
            "sequence": 1,
            "born": 1_700_000_000_000,
        }
    )


class RequestSimulation:
    """Requests of one client account to random instances of a fleet.

    Parameters
    ----------
    fleet : RegionSimulation
        The instances.
    faults : Faults
        Faults of the upstreams.
    seed : int
        Seed of random numbers.

    Attributes
    ----------
    responses : list of tuple
        Time in seconds at which each request was sent, and the status of its response.
    """

    def __init__(self, fleet, faults, seed):
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._loop = VirtualTimeLoop(fleet.now_s)
        self.upstreams = SimulatedUpstreams(faults, self._rng)
        self.responses = []
        self._metrics = GatewayMetrics()
        domains = {state.members.own.failure_domain for state in fleet.states.values()}
        self._entries = self.upstreams.entries(sorted(domains))
        self._paths = {name: self._request_path(name) for name in fleet.gossips}
        self._requests = collections.defaultdict(set)
        self._numbers = itertools.count()

    def run(self, request_rate, duration_s):
        """Send requests for a duration in seconds, and wait for their responses.

        Parameters
        ----------
        request_rate : callable
            Returns the requests per second at a time in seconds from the start.
        duration_s : float
            Duration in seconds.
        """
        try:
            self._loop.run_until_complete(self._run(request_rate, duration_s))
        finally:
            self._loop.close()

    def restart(self, names, at_s, pause_s):
        """Kill instances at a time in seconds, and start them again after a pause."""
        self._loop.call_later(at_s, self._stop, names)
        self._loop.call_later(at_s + pause_s, self._start, names)

    def _stop(self, names):
        for name in names:
            self._fleet.stop(name)
            del self._paths[name]
            for request in self._requests.pop(name, ()):
                request.cancel()

    def _start(self, names):
        for name in names:
            self._fleet.start_again(name)
            self._paths[name] = self._request_path(name)

    def _request_path(self, name):
        state = self._fleet.states[name]
        state.apply_entry_items(self._entries, 1, True)
        forwarder = Forwarder(state, self.upstreams, self._loop.time)
        return RequestPath(state, forwarder, self._metrics, self._loop.time)

    async def _run(self, request_rate, duration_s):
        steps = asyncio.create_task(self._run_fleet())
        started_at_s = self._loop.time()
        requests = []
        while (elapsed_s := self._loop.time() - started_at_s) < duration_s:
            name = self._rng.choice(list(self._paths))
            request = asyncio.create_task(self._send(name, elapsed_s))
            self._requests[name].add(request)
            requests.append(request)
            await asyncio.sleep(self._rng.expovariate(request_rate(elapsed_s)))
        await asyncio.gather(*requests, return_exceptions=True)
        steps.cancel()

    async def _run_fleet(self):
        while True:
            await asyncio.sleep(STEP_S)
            self._fleet.run(STEP_S)

    async def _send(self, name, sent_at_s):
        headers = [
            (b"host", HOST.encode()),
            (b"x-chervilpitch-request-id", b"id-%d" % next(self._numbers)),
            (b"x-chervilpitch-key", KEY.encode()),
        ]
        request = ServerRequest(b"GET", b"/read/x", headers, b"", self._loop.time())
        response = await self._paths[name].serve(request)
        self.responses.append((sent_at_s, response.status))
