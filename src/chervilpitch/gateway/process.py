"""One instance of the gateway as a process: built, run and stopped."""

import asyncio
import os
import signal
import sys
import urllib.parse
from http import HTTPStatus

from chervilpitch import platform
from chervilpitch.model import CallerLimits
from chervilpitch.observe import (
    BoundedLogStream,
    LogFormat,
    SecretRegister,
    configure_logs,
    part_logger,
)
from chervilpitch.policy import (
    Location,
    Member,
    MemberState,
    MemberTable,
    addresses_for,
)
from chervilpitch.settings import GatewaySettings, load_gateway
from chervilpitch.transport.clock import monotonic_s, wall_ns

from .fleet import Fleet
from .forward import Forwarder
from .http_server import HttpServer, ServerConnection, ServerResponse
from .metrics import GatewayMetrics
from .pool import ConnectionPool
from .request_path import RequestPath
from .state import GatewayState
from .store_reader import StoreReader

__all__ = ["GatewayProcess", "run_gateway"]

log = part_logger("instance")

NS_PER_MS = 1_000_000
BODY_SHARE_OF_MEMORY = 0.25
BYTES_PER_MB = 1_000_000
BACKLOG = 1_024
BEAT_CHECK_S = 0.1
LIST_REGIONS_S = 2.0
TELL_S = 0.1
STATE_REQUEST_INTERVAL_S = 0.3
READER_CHECK_INTERVAL_S = 0.2
UPKEEP_S = 0.5
LOG_S = 0.4
STOP_ACCEPTING_BEFORE_END_S = 2.6
END_MARGIN_S = 0.25
SETTLE_S = 0.1


class GatewayProcess:
    """The parts of one instance.

    Parameters
    ----------
    settings : GatewaySettings
        Checked settings.
    path : str
        Path of the settings file, read anew on SIGHUP.
    logs : BoundedLogStream
        Where log lines go.
    """

    def __init__(self, settings: GatewaySettings, path: str, logs: BoundedLogStream):
        self._settings = settings
        self._path = path
        self._logs = logs
        clock = monotonic_s
        instance = settings.instance
        location = Location(
            instance.region, instance.failure_domain, settings.region_of
        )
        self._members = MemberTable(_own_member(settings))
        self._state = GatewayState(location, settings.limits, self._members, clock)
        self._fleet = Fleet(self._state, settings.seeds, clock)
        self._pool = ConnectionPool(clock)
        self._reader = StoreReader(
            settings.store.address, self._state, self._fleet, clock
        )
        self._metrics = GatewayMetrics()
        forwarder = Forwarder(self._state, self._pool, clock)
        path_of_requests = RequestPath(self._state, forwarder, self._metrics, clock)
        most_bytes = int(instance.memory_mb * BYTES_PER_MB * BODY_SHARE_OF_MEMORY)
        self._callers = HttpServer(
            path_of_requests.serve,
            lambda: self._state.configuration.limits,
            clock,
            most_bytes,
        )
        self._own_pages = HttpServer(
            self._serve_own_page, CallerLimits, clock, BYTES_PER_MB
        )
        self._listener = None
        self._tasks: list[asyncio.Task] = []
        self._stopped = None

    async def run(self) -> None:
        """Serve until a stop has ended."""
        self._stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._begin_stop)
        loop.add_signal_handler(signal.SIGINT, self._begin_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._listen(loop)
        log.info("Instance started.", instance=self._settings.instance.name)
        self._start_tasks()
        await self._stopped.wait()
        log.info("Instance stopped.", in_progress=self._state.in_progress)

    async def _listen(self, loop):
        listen = self._settings.listen
        host = self._settings.instance.host
        await loop.create_datagram_endpoint(
            lambda: self._fleet.socket, local_addr=(host, listen.peers_port)
        )
        self._listener = await self._serve_on(loop, listen.callers, self._callers)
        own = (listen.ready, listen.directory, f"{host}:{listen.metrics_port}")
        for address in dict.fromkeys(own):
            await self._serve_on(loop, address, self._own_pages)

    async def _serve_on(self, loop, address, connections):
        host, _, port = address.rpartition(":")
        return await loop.create_server(
            lambda: ServerConnection(connections), host, int(port), backlog=BACKLOG
        )

    def _start_tasks(self):
        steps = (
            (self._fleet.beat, BEAT_CHECK_S),
            (self._fleet.list_to_other_regions, LIST_REGIONS_S),
            (self._tell, TELL_S),
            (self._fleet.decide_reading, READER_CHECK_INTERVAL_S),
            (self._fleet.ask, STATE_REQUEST_INTERVAL_S),
            (self._upkeep, UPKEEP_S),
            (self._logs.drain, LOG_S),
        )
        loops = [_repeat(step, interval_s) for step, interval_s in steps]
        loops.append(self._reader.read_at_start())
        loops.append(self._reader.follow_configuration())
        loops.append(self._reader.follow_entries())
        self._tasks = [asyncio.create_task(item) for item in loops]

    def _tell(self):
        self._fleet.tell_other_regions()
        self._fleet.tell_evidence()

    def _upkeep(self):
        self._callers.sweep()
        self._own_pages.sweep()
        self._pool.sweep()
        self._state.review_entries()

    async def _serve_own_page(self, request) -> ServerResponse:
        path, _, query = request.target.decode("latin-1").partition("?")
        if path == platform.READY_PATH:
            is_ready = self._state.is_ready()
            return ServerResponse(
                HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE, []
            )
        if path == platform.RESOLVE_PATH:
            return self._resolve(query)
        if urllib.parse.unquote(path) == "/metrics":
            return self._metrics_page()
        return ServerResponse(HTTPStatus.NOT_FOUND, [])

    def _resolve(self, query) -> ServerResponse:
        question = platform.parse_resolve(query)
        own = self._members.own
        members = [*self._members.alive(monotonic_s()), own]
        addresses = addresses_for(members, question.region, question.failure_domain)
        if not addresses:
            return ServerResponse(HTTPStatus.SERVICE_UNAVAILABLE, [])
        lifetime_s = self._state.bounds.address_lifetime_s
        body = platform.encode_addresses(addresses, lifetime_s)
        return ServerResponse(
            HTTPStatus.OK, [(b"Content-Type", b"application/json")], body
        )

    def _metrics_page(self) -> ServerResponse:
        now_s = monotonic_s()
        self._metrics.show(
            {
                "configuration_version": self._state.configuration.version,
                "in_progress": self._state.in_progress,
                "instances_alive": len(self._members.alive(now_s)),
                "proof_age_seconds": self._state.freshness.age_s(now_s),
                "peer_bytes_sent": self._fleet.socket.sent_bytes,
                "peer_datagrams_malformed": self._fleet.socket.malformed,
                "store_calls": self._reader.calls,
                "upstream_connections_opened": self._pool.opened,
                "log_lines_dropped": self._logs.dropped,
            }
        )
        kind = (b"Content-Type", b"text/plain; version=0.0.4")
        return ServerResponse(HTTPStatus.OK, [kind], self._metrics.page())

    def _begin_stop(self):
        if self._state.is_leaving:
            return
        log.info("Stop begins.", in_progress=self._state.in_progress)
        self._state.leave()
        self._fleet.say_leaving()
        self._callers.close_after_answers()
        self._tasks.append(asyncio.create_task(self._stop()))

    async def _stop(self):
        end_at_s = monotonic_s() + self._state.bounds.stop_s - END_MARGIN_S
        accepting_s = self._state.bounds.stop_s - STOP_ACCEPTING_BEFORE_END_S
        await asyncio.sleep(max(0.0, accepting_s))
        self._listener.close()
        self._callers.close_idle()
        while self._callers.busy and monotonic_s() < end_at_s:
            await asyncio.sleep(SETTLE_S)
            self._callers.close_idle()
        await asyncio.sleep(SETTLE_S)
        self._logs.drain()
        self._stopped.set()

    def _reload(self):
        loaded = load_gateway(self._path)
        if loaded.is_err():
            for problem in loaded.unwrap_err():
                log.error("Settings not reloaded.", problem=str(problem))
            return
        self._settings = loaded.unwrap()
        self._fleet.follow_seeds(self._settings.seeds)
        log.info("Settings reloaded.", seeds=list(self._settings.seeds))


async def _repeat(step, interval_s):
    """Do a step again and again; one that fails is logged."""
    while True:
        try:
            step()
        except Exception:
            log.exception("A step failed.", step=step.__qualname__)
        await asyncio.sleep(interval_s)


def run_gateway(settings: GatewaySettings, path: str) -> None:
    """Run one instance until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : GatewaySettings
        Checked settings.
    path : str
        Path of the settings file.
    """
    logs = BoundedLogStream(sys.stdout.fileno())
    log_format = LogFormat(settings.log.format)
    configure_logs(logs, log_format, SecretRegister())
    try:
        asyncio.run(GatewayProcess(settings, path, logs).run())
    finally:
        logs.drain()
        os.set_blocking(sys.stdout.fileno(), True)


def _own_member(settings: GatewaySettings) -> Member:
    instance = settings.instance
    return Member(
        name=instance.name,
        incarnation=wall_ns() // NS_PER_MS,
        beat=0,
        region=instance.region,
        failure_domain=instance.failure_domain,
        callers_address=settings.listen.callers,
        peers_address=f"{instance.host}:{settings.listen.peers_port}",
        state=int(MemberState.STARTING),
    )
