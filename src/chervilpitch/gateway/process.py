"""Process of one gateway instance: its components, periodic tasks and stop."""

import asyncio
import gc
import itertools
import os
import signal
import sys
import urllib.parse
from http import HTTPStatus

from chervilpitch import platform
from chervilpitch.model import CallerLimits
from chervilpitch.observe import (
    BoundedLogStream,
    SecretRegister,
    configure_logs,
    part_logger,
)
from chervilpitch.policy import (
    Location,
    Member,
    MemberState,
    MemberTable,
)
from chervilpitch.transport.clock import monotonic_s, wall_ns

from .buffers import BufferLimit
from .connection_sums import connection_sums, response_sums
from .directory import AddressDirectory
from .draining import drain_connections
from .forward import Forwarder
from .gossip import Gossip
from .http_client import FailureKind
from .http_server import HttpServer, ServerResponse
from .limit_events import LimitKind
from .metrics import GatewayMetrics
from .pool import ConnectionPool
from .request_path import RequestPath
from .schedule import PeriodicStep, run_periodically
from .server_connection import ServerConnection
from .settings import GatewaySettings
from .settings_file import SettingsFile
from .state import GatewayState
from .store_reader import StoreReader

__all__ = ["GatewayProcess", "run_gateway"]

log = part_logger("instance")

NS_PER_MS = 1_000_000
BODY_SHARE_OF_MEMORY = 0.2
"""Share of the memory for bodies of requests; others are in ``connection_sums``."""
MANAGEMENT_SHARE_OF_MEMORY = 0.1
"""Share on which the limits of the management listeners are based, so that callers
outside the limits on one kind of listener don't affect the other."""
BYTES_PER_MB = 1_000_000
LISTEN_BACKLOG = 1_024
MAX_ACCEPTED_PER_TURN = 32
"""Connections accepted before other tasks run. asyncio accepts as many as its backlog
is long, and each takes a descriptor until its task can refuse it."""
HEARTBEAT_CHECK_INTERVAL_S = 0.1
REGION_MEMBERS_INTERVAL_S = 2.0
REPORT_CHECK_INTERVAL_S = 0.1
STATE_REQUEST_INTERVAL_S = 0.3
READER_CHECK_INTERVAL_S = 0.2
MAINTENANCE_INTERVAL_S = 0.5
LOG_DRAIN_INTERVAL_S = 0.4
STATUS_INTERVAL_S = 10.0
LAST_RESPONSES_S = 0.1
"""Time to write the last responses before the platform kills the process."""
GC_THRESHOLDS = (20_000, 20, 50)
"""Allocations and collections between garbage collections, as few cycles arise."""


class GatewayProcess:
    """One gateway instance with its components.

    Parameters
    ----------
    settings : GatewaySettings
        Checked settings.
    settings_file : SettingsFile
        File of these settings, which SIGHUP reads again.
    logs : BoundedLogStream
        Stream that log lines are written to.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        settings_file: SettingsFile,
        logs: BoundedLogStream,
    ):
        self._settings = settings
        self._settings_file = settings_file
        self._logs = logs
        clock = monotonic_s
        instance = settings.instance
        location = Location(
            instance.region, instance.failure_domain, settings.region_of
        )
        self._members = MemberTable(_own_member(settings))
        self._state = GatewayState(
            location, settings.limits, self._members, clock, settings.admission.levels
        )
        self._gossip = Gossip(self._state, settings.seeds, clock)
        self._directory = AddressDirectory(self._gossip.region, self._members.own)
        body_bytes = int(instance.memory_mb * BYTES_PER_MB * BODY_SHARE_OF_MEMORY)
        responses = response_sums(instance.memory_mb)
        self._pool = ConnectionPool(clock, responses.received)
        self._reader = StoreReader(
            settings.store.address, self._state, self._gossip, clock
        )
        self._metrics = GatewayMetrics()
        self._forwarder = Forwarder(self._state, self._pool, clock)
        request_path = RequestPath(self._state, self._forwarder, self._metrics, clock)
        self._caller_server = HttpServer(
            request_path.serve,
            lambda: self._state.configuration.limits,
            clock,
            BufferLimit(body_bytes),
            connection_sums(instance.memory_mb, responses.unsent),
        )
        management_mb = instance.memory_mb * MANAGEMENT_SHARE_OF_MEMORY
        self._management_server = HttpServer(
            self._serve_management_page,
            CallerLimits,
            clock,
            BufferLimit(BYTES_PER_MB),
            connection_sums(management_mb, response_sums(management_mb).unsent),
        )
        self._listener = None
        self._tasks: list[asyncio.Task] = []
        self._stop_begun = asyncio.Event()

    async def run(self) -> None:
        """Serve requests until a stop, begun by SIGTERM or SIGINT, has ended."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._begin_stop)
        loop.add_signal_handler(signal.SIGINT, self._begin_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._listen(loop)
        log.info("Instance started.", instance=self._settings.instance.name)
        self._start_tasks()
        await self._stop_begun.wait()
        await self._stop()
        log.info("Instance stopped.", **self._work_fields())

    async def _listen(self, loop):
        listen = self._settings.listen
        host = self._settings.instance.host
        await loop.create_datagram_endpoint(
            lambda: self._gossip.socket, local_addr=(host, listen.peers_port)
        )
        self._listener = await self._serve_on(loop, listen.callers, self._caller_server)
        management_addresses = (
            listen.ready,
            listen.directory,
            f"{host}:{listen.metrics_port}",
        )
        for address in dict.fromkeys(management_addresses):
            await self._serve_on(loop, address, self._management_server)

    async def _serve_on(self, loop, address, server):
        host, _, port = address.rpartition(":")
        listener = await loop.create_server(
            lambda: ServerConnection(server),
            host,
            int(port),
            backlog=MAX_ACCEPTED_PER_TURN,
        )
        for sock in listener.sockets:
            with sock.dup() as same_socket:
                same_socket.listen(LISTEN_BACKLOG)
        return listener

    def _start_tasks(self):
        steps = (
            (self._gossip.send_heartbeat, HEARTBEAT_CHECK_INTERVAL_S),
            (self._gossip.send_members_to_other_regions, REGION_MEMBERS_INTERVAL_S),
            (self._gossip.send_evidence, REPORT_CHECK_INTERVAL_S),
            (self._gossip.update_reader_role, READER_CHECK_INTERVAL_S),
            (self._gossip.request_state, STATE_REQUEST_INTERVAL_S),
            (self._run_maintenance, MAINTENANCE_INTERVAL_S),
            (self._log_status, STATUS_INTERVAL_S),
            (self._logs.drain, LOG_DRAIN_INTERVAL_S),
        )
        coroutines = (
            run_periodically(itertools.starmap(PeriodicStep, steps), monotonic_s),
            self._reader.read_at_start(),
            self._reader.watch_configuration(),
            self._reader.watch_entries(),
        )
        self._tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]

    def _run_maintenance(self):
        self._caller_server.close_timed_out()
        self._management_server.close_timed_out()
        self._pool.close_expired()
        self._state.remove_missing_upstreams()

    def _log_status(self):
        now_s = monotonic_s()
        log.info(
            "Status.",
            version=self._state.configuration.version,
            revision=self._state.configuration_revision,
            proof_age_s=round(self._state.freshness.age_s(now_s), 2),
            settings=self._settings_file.digest,
            instances_alive=len(self._members.alive(now_s)),
            in_progress=self._state.in_progress,
        )

    async def _serve_management_page(self, request) -> ServerResponse:
        path, _, query = request.target.decode("latin-1").partition("?")
        if path == platform.READY_PATH:
            is_ready = self._state.is_ready()
            return ServerResponse(
                HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE, []
            )
        if path == platform.RESOLVE_PATH:
            return self._resolve_addresses(query)
        if urllib.parse.unquote(path) == "/metrics":
            return self._metrics_page()
        return ServerResponse(HTTPStatus.NOT_FOUND, [])

    def _resolve_addresses(self, query) -> ServerResponse:
        resolve_query = platform.parse_resolve(query)
        addresses = self._directory.addresses(
            resolve_query.region, resolve_query.failure_domain
        )
        if not addresses:
            return ServerResponse(HTTPStatus.SERVICE_UNAVAILABLE, [])
        lifetime_s = self._state.bounds.address_lifetime_s
        body = platform.encode_addresses(addresses, lifetime_s)
        return ServerResponse(
            HTTPStatus.OK, [(b"Content-Type", b"application/json")], body
        )

    def _metrics_page(self) -> ServerResponse:
        now_s = monotonic_s()
        regions = self._state.upstreams.region_capacity
        self._metrics.set_state_values(
            {
                "configuration_version": self._state.configuration.version,
                "configuration_revision": self._state.configuration_revision,
                "store_era": self._state.store_era,
                "in_progress": self._state.in_progress,
                "instances_alive": len(self._members.alive(now_s)),
                "instances_without_capacity": sum(
                    not (item.cpu_millicores or item.link_kbps)
                    for item in self._gossip.region.known
                ),
                "regions_heard": len(regions.reporting_regions(now_s)),
                "services_leaving_region": len(regions.leaving_services(now_s)),
                "proof_age_seconds": self._state.freshness.age_s(now_s),
                "group_size": len(self._gossip.region.group.addresses(now_s)),
                "peer_bytes_sent": self._gossip.socket.sent_bytes,
                "peer_datagrams_sent": self._gossip.socket.sent_count,
                "peer_datagrams_received": self._gossip.socket.received_count,
                "peer_datagrams_malformed": self._gossip.socket.malformed_count,
                "configurations_malformed": self._state.malformed_configuration_count,
                "routes_of_unknown_kind": len(
                    self._state.configuration.unknown_kind_routes
                ),
                "entries_malformed": self._state.malformed_entry_count,
                "store_defects": self._reader.defect_count,
                "store_calls": self._reader.call_count,
                "requests_rejected": self._caller_server.rejected_count,
                "upstream_connections_opened": self._pool.opened_count,
                "upstream_responses_in_too_many_pieces": self._pool.failure_counts[
                    FailureKind.TOO_MANY_PIECES
                ],
                "log_lines_dropped": self._logs.dropped,
            }
            | self._caller_values()
        )
        self._metrics.set_levels(self._state.admission.numbers())
        self._metrics.set_rates(self._state.rates_nearly_used())
        self._metrics.set_work(self._state.route_statistics.accuracy.by_route)
        self._metrics.set_settings(
            self._settings.instance.name,
            self._settings_file.digest,
            self._settings_file.digest_on_disk,
        )
        content_type = (b"Content-Type", b"text/plain; version=0.0.4")
        return ServerResponse(HTTPStatus.OK, [content_type], self._metrics.render())

    def _caller_values(self) -> dict[str, float]:
        """Return what callers use, and how often each limit on them took effect."""
        server = self._caller_server
        counts = [
            item.limit_events.counts for item in (server, self._management_server)
        ]
        values: dict[str, float] = {
            "caller_connections": server.open_count,
            "caller_body_bytes": server.buffers.used_bytes,
            "caller_unsent_bytes": server.unsent.used_bytes,
            "caller_unparsed_bytes": server.unparsed.used_bytes,
        }
        return values | {
            f"limit_{kind}": sum(count[kind] for count in counts) for kind in LimitKind
        }

    def _begin_stop(self):
        if self._state.is_leaving:
            return
        log.info("Stop begins.", **self._work_fields())
        self._state.begin_leaving()
        self._gossip.announce_leaving()
        self._caller_server.close_after_responses()
        self._stop_begun.set()

    def _work_fields(self) -> dict[str, int]:
        """Return the amount of unfinished work, for log lines about a stop."""
        return {
            "in_progress": self._state.in_progress,
            "connections": self._caller_server.open_count,
        }

    async def _stop(self):
        try:
            await self._drain()
        except Exception:
            log.exception("Draining failed; requests may go on until the stop ends.")
            await self._wait_until(self._state.stop.ends_at_s)
        if self._caller_server.open_count:
            await self._end_requests()
        self._logs.drain()

    async def _drain(self):
        stop = self._state.stop
        await self._wait_until(stop.drains_at_s)
        log.info("New connections are no longer accepted.", **self._work_fields())
        await drain_connections(stop, self._caller_server, self._listener, monotonic_s)

    async def _wait_until(self, at_s):
        await asyncio.sleep(max(0.0, at_s - monotonic_s()))

    async def _end_requests(self):
        """Respond to what is still in progress rather than cut it."""
        self._forwarder.end_requests()
        self._caller_server.refuse_incomplete()
        await asyncio.sleep(LAST_RESPONSES_S)

    def _reload(self):
        loaded = self._settings_file.load()
        if loaded.is_err():
            for problem in loaded.unwrap_err():
                log.error(
                    "Settings could not be loaded; kept the previous settings.",
                    problem=str(problem),
                )
            return
        self._settings = loaded.unwrap()
        self._gossip.set_seeds(self._settings.seeds)
        log.info(
            "Settings reloaded.",
            seeds=list(self._settings.seeds),
            settings=self._settings_file.digest,
        )


def run_gateway(settings: GatewaySettings, path: str) -> None:
    """Run one instance until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : GatewaySettings
        Checked settings.
    path : str
        Path of the settings file.
    """
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    logs = BoundedLogStream(sys.stdout.fileno())
    configure_logs(logs, settings.log.format, SecretRegister())
    try:
        asyncio.run(GatewayProcess(settings, SettingsFile(path), logs).run())
    finally:
        logs.drain()
        os.set_blocking(sys.stdout.fileno(), True)


def _own_member(settings: GatewaySettings) -> Member:
    instance = settings.instance
    return Member(
        name=instance.name,
        incarnation=wall_ns() // NS_PER_MS,
        heartbeat_count=0,
        region=instance.region,
        failure_domain=instance.failure_domain,
        callers_address=settings.listen.callers,
        peers_address=f"{instance.host}:{settings.listen.peers_port}",
        state=int(MemberState.STARTING),
        cpu_millicores=instance.cpu_millicores,
        link_kbps=instance.link_kbps,
    )
