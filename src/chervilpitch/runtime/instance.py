"""Build an instance from its settings, run it and stop it."""

import logging
import secrets
import signal
import sys
import threading

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from result import Result

from chervilpitch import settings as settings_package
from chervilpitch.model import Instance
from chervilpitch.observe import (
    LogFormat,
    Metrics,
    SecretRegister,
    configure_logs,
    part_logger,
)
from chervilpitch.pipeline.application import FILTER_NAMES, CallersApplication
from chervilpitch.settings import Settings, SettingsProblem
from chervilpitch.transport.admin import (
    AdminApplication,
    build_admin_server,
    json_page,
)
from chervilpitch.transport.callers import build_server
from chervilpitch.transport.clock import monotonic_s, wall_ns
from chervilpitch.transport.platform import PlatformClient
from chervilpitch.transport.upstreams import UpstreamClient

from .control import Control
from .cores import Cores
from .decisions import Decisions
from .journal import Journal
from .loop import ControlLoop
from .probes import Prober
from .reader import PlatformReader
from .shutdown import Shutdown
from .status import status
from .upkeep import Upkeep

__all__ = ["RunningInstance", "serve"]

log = part_logger("instance")

NS_PER_MS = 1_000_000


class RunningInstance:
    """An instance with its servers, threads and decision cores.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    secret : bytes
        Secret shared by all instances.
    secret_register : SecretRegister
        Keys of callers, which are redacted in the logs.
    """

    def __init__(
        self, settings: Settings, secret: bytes, secret_register: SecretRegister
    ):
        own = _instance_from_settings(settings)
        self._cores = Cores(
            own,
            secrets.randbits(63),
            secret,
            monotonic_s,
            wall_ns() // NS_PER_MS,
            self._carry_out,
        )
        self._metrics = Metrics(FILTER_NAMES)
        self._journal = Journal(self._cores.sender)
        self._control = Control(self._cores)
        self._reader = PlatformReader(
            PlatformClient(
                settings.platform.endpoint, settings.platform.read_timeout_s
            ),
            self._control,
            self._cores,
            settings.platform.watch_s,
        )
        self._prober = Prober(self._cores)
        self._upstreams = UpstreamClient()
        self._loop = ControlLoop(
            self._cores,
            self._control,
            secret,
            self._journal,
            self._reader.read,
            self._prober.start_due,
            Upkeep(self._cores, self._upstreams).run,
        )
        callers = settings.callers
        self._decisions = Decisions(self._cores, callers.requests_per_account)
        self._callers = build_server(
            own.callers_address,
            CallersApplication(
                self._decisions,
                self._upstreams,
                monotonic_s,
                callers.max_body_bytes,
                self._metrics,
                secret_register,
            ),
            callers.threads,
            callers.stall_timeout_s,
            callers.max_header_bytes,
        )

        self._shutdown = Shutdown(
            self._cores,
            self._decisions,
            self._control,
            settings.instance.stop_within_s,
            self._stop_servers,
        )
        self._admin = build_admin_server(
            settings.instance.admin,
            AdminApplication(
                {
                    "/status": self._status,
                    "/metrics": self._metrics_page,
                    "/events": self._events,
                }
            ),
        )

    def run(self) -> None:
        """Serve until :meth:`stop` is called."""
        self._loop.start()
        self._reader.start()
        threading.Thread(target=self._admin.safe_start, daemon=True).start()
        log.info("Serving begins.", instance=self._cores.own.name)
        self._callers.safe_start()
        self._prober.stop()
        self._loop.stop()
        self._admin.stop()
        log.info("Serving ended.", instance=self._cores.own.name)

    def stop(self) -> None:
        """Begin a graceful stop: drain requests in flight, then end :meth:`run`."""
        self._shutdown.request()

    def _status(self):
        return json_page(
            status(self._cores, self._decisions, self._loop.channel.counts)
        )

    def _metrics_page(self):
        return CONTENT_TYPE_LATEST, generate_latest(self._metrics.registry)

    def _carry_out(self, effects):
        self._loop.carry_out(effects)

    def _stop_servers(self):
        self._reader.stop()
        self._callers.stop()

    def _events(self):
        return "application/jsonl", self._journal.lines().encode()


def serve(settings: Settings) -> Result[None, SettingsProblem]:
    """Run one instance until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : Settings
        Validated settings.

    Returns
    -------
    Result
        ``Ok`` after a graceful stop, or the problem with the secret's file.
    """
    return settings_package.read_secret(settings).map(
        lambda secret: _serve(settings, secret)
    )


def _serve(settings, secret):
    log_format = LogFormat(settings.log.format)
    level = logging.getLevelName(settings.log.level.upper())
    secret_register = SecretRegister()
    configure_logs(sys.stdout, log_format, secret_register, level)
    instance = RunningInstance(settings, secret, secret_register)

    def on_signal(number, frame):
        threading.Thread(target=instance.stop, daemon=True).start()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    instance.run()


def _instance_from_settings(settings: Settings) -> Instance:
    own = settings.instance
    return Instance(own.name, own.seat, own.failure_domain, own.callers, own.peers)
