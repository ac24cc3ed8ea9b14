"""One instance: everything built from its settings, started and stopped."""

import secrets
import signal
import threading

import structlog
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from result import Result

from chervilpitch import settings as settings_package
from chervilpitch.model import Event, Instance
from chervilpitch.pipeline.application import CallersApplication
from chervilpitch.settings import Settings, SettingsProblem
from chervilpitch.transport.admin import (
    AdminApplication,
    as_json,
    build_admin_server,
)
from chervilpitch.transport.callers import build_server
from chervilpitch.transport.clock import monotonic_s, wall_ns
from chervilpitch.transport.platform import PlatformClient
from chervilpitch.transport.upstreams import UpstreamClient

from .control import Control
from .cores import Cores
from .decisions import Decisions
from .loop import ControlLoop
from .metrics import Metrics
from .probes import Prober
from .reader import PlatformReader
from .status import status

__all__ = ["RunningInstance", "serve"]

log = structlog.get_logger()

NS_PER_MS = 1_000_000


class RunningInstance:
    """The parts of one instance.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    secret : bytes
        Secret shared by the fleet.
    """

    def __init__(self, settings: Settings, secret: bytes):
        own = _own_instance(settings)
        self._cores = Cores(
            own,
            secrets.randbits(63),
            secret,
            monotonic_s,
            wall_ns() // NS_PER_MS,
            self._carry_out,
        )
        self._metrics = Metrics()
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
        self._loop = ControlLoop(
            self._cores,
            self._control,
            secret,
            self._record,
            self._reader.read,
            self._prober.start_due,
        )
        callers = settings.callers
        self._decisions = Decisions(self._cores, callers.requests_per_account)
        self._upstreams = UpstreamClient()
        self._callers = build_server(
            own.callers_address,
            CallersApplication(
                self._decisions,
                self._upstreams,
                monotonic_s,
                callers.max_body_bytes,
                self._metrics,
            ),
            callers.threads,
            callers.stall_timeout_s,
            callers.max_header_bytes,
        )

        self._admin = build_admin_server(
            settings.instance.admin,
            AdminApplication({"/status": self._status, "/metrics": self._metrics_page}),
        )

    def run(self) -> None:
        """Serve until :meth:`stop` is called."""
        self._loop.start()
        self._reader.start()
        threading.Thread(target=self._admin.safe_start, daemon=True).start()
        log.info("instance: Serving begins.", instance=self._cores.own.name)
        self._callers.safe_start()
        self._prober.stop()
        self._loop.stop()
        self._admin.stop()
        log.info("instance: Serving ended.", instance=self._cores.own.name)

    def stop(self) -> None:
        """Leave, finish the requests in progress and end :meth:`run`."""
        self._reader.stop()
        self._callers.stop()

    def _status(self):
        return as_json(status(self._cores, self._control, self._decisions))

    def _metrics_page(self):
        return CONTENT_TYPE_LATEST, generate_latest(self._metrics.registry)

    def _carry_out(self, effects):
        self._loop.carry_out(effects)

    def _record(self, event: Event):
        log.info(f"{event.part}: {event.name}.", about=event.subject, more=event.detail)


def serve(settings: Settings) -> Result[None, SettingsProblem]:
    """Run one instance until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : Settings
        Checked settings.

    Returns
    -------
    Result
        ``Ok`` after a graceful stop, or why the secret could not be read.
    """
    return settings_package.read_secret(settings).map(
        lambda secret: _serve(settings, secret)
    )


def _serve(settings, secret):
    instance = RunningInstance(settings, secret)

    def on_signal(number, frame):
        threading.Thread(target=instance.stop).start()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    instance.run()


def _own_instance(settings: Settings) -> Instance:
    own = settings.instance
    return Instance(own.name, own.seat, own.failure_domain, own.callers, own.peers)
