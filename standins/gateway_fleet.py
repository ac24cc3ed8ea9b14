"""Gateway instances as processes on the loopback, with a store and upstreams."""

import asyncio
import json
import os
import pathlib
import signal
import sys
from typing import NamedTuple

from .store import FakeStore
from .target import FakeTarget

__all__ = ["GatewayFleet", "GatewayProcess", "fetch", "settings_text"]

READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
PEERS_PORT = 17_660
METRICS_PORT = 19_464
CALLERS_PORT = 18_405
READY_PORT = 18_406
DIRECTORY_PORT = 18_404
DEFAULT_MEMORY_MB = 300

SETTINGS = """\
[instance]
name = {name}
region = north
failure-domain = {domain}
host = {host}
memory-mb = {memory_mb}

[listen]
callers = {host}:{callers}
ready = {host}:{ready}
directory = {host}:{directory}
peers-port = {peers}
metrics-port = {metrics}

[fleet]
seeds = {network}.1:1,{network}.2:1

[store]
address = {store}

[bounds]
values = {bounds}

[failure-domains]
regions = n1=north,n2=north
"""


class GatewayProcess(NamedTuple):
    """Process of one gateway instance.

    Parameters
    ----------
    name, host : str
        Name and loopback address of the instance.
    process : asyncio.subprocess.Process
        Its process.
    log : pathlib.Path
        File that receives its standard output and standard error.
    """

    name: str
    host: str
    process: asyncio.subprocess.Process
    log: pathlib.Path

    def log_lines(self):
        """Return the lines of the log, decoded from JSON."""
        return [json.loads(line) for line in self.log.read_text().splitlines()]


def loopback_prefix(process_id):
    """Return the first three octets of the loopback addresses of a process's fleet.

    All instances use the same ports, so fleets that run at the same time need
    different addresses.

    Examples
    --------
    >>> loopback_prefix(1), loopback_prefix(250)
    ('127.2.0', '127.1.1')
    """
    return f"127.{1 + process_id % 250}.{process_id // 250 % 250}"


def settings_text(number, store, bounds, memory_mb=DEFAULT_MEMORY_MB):
    """Return the settings of an instance on a loopback address of this process.

    Parameters
    ----------
    number : int
        Number of the instance, which its name and its address end with.
    store : str
        Host and port of the store.
    bounds : str
        Bounds in the format of the platform.
    memory_mb : int
        Memory of the instance in MB.
    """
    network = loopback_prefix(os.getpid())
    return SETTINGS.format(
        name=f"front-{number}",
        host=f"{network}.{number}",
        network=network,
        domain="n1" if number % 2 else "n2",
        callers=CALLERS_PORT,
        ready=READY_PORT,
        directory=DIRECTORY_PORT,
        peers=PEERS_PORT,
        metrics=METRICS_PORT,
        store=store,
        bounds=bounds,
        memory_mb=memory_mb,
    )


class GatewayFleet:
    """A store, upstreams and instances that run until the context is left.

    Parameters
    ----------
    directory : pathlib.Path
        Empty directory for settings and logs.
    bounds : str
        Bounds in the format of the platform.
    memory_mb : int
        Memory of each instance in MB.
    """

    def __init__(
        self,
        directory,
        bounds="drain=2000ms,grace=3s,revoke=5000ms",
        memory_mb=DEFAULT_MEMORY_MB,
    ):
        self._memory_mb = memory_mb
        self._directory = pathlib.Path(directory)
        self._bounds = bounds
        self.store = FakeStore()
        self.targets = []
        self.instances = {}

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *error):
        for instance in self.instances.values():
            if instance.process.returncode is None:
                instance.process.send_signal(signal.SIGKILL)
                await instance.process.wait()
        self.store.stop()

    async def add_target(self, target: FakeTarget, service="desk", **fields):
        """Start an upstream and register it in the store."""
        await target.start()
        self.targets.append(target)
        entry = target.entry(service, "n1", **fields)
        self.store.put(f"servers/{target.name}", entry)

    async def start_instance(self, number):
        """Start an instance and return it."""
        name, host = f"front-{number}", f"{loopback_prefix(os.getpid())}.{number}"
        path = self._directory / f"{name}.ini"
        text = settings_text(number, self.store.address, self._bounds, self._memory_mb)
        path.write_text(text)
        log = self._directory / f"{name}.log"
        with log.open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", "chervilpitch", "gateway", str(path)),
                stdout=output,
                stderr=output,
                env=os.environ | {"PYTHONUNBUFFERED": "1"},
            )
        instance = GatewayProcess(name, host, process, log)
        self.instances[name] = instance
        return instance

    async def wait_ready(self, instance):
        """Wait until an instance reports that it is ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while await self.readiness_status(instance) != 200:
                await asyncio.sleep(POLL_INTERVAL_S)

    async def readiness_status(self, instance):
        """Return the HTTP status of an instance's readiness, 0 without a response."""
        return (await fetch(instance.host, READY_PORT, "/api/readiness"))[0]

    async def fetch_addresses(self, instance, zone="n1"):
        """Return the addresses that an instance offers to callers."""
        path = f"/api/resolve?name=desk.example&region=north&zone={zone}"
        status, body = await fetch(instance.host, DIRECTORY_PORT, path)
        return json.loads(body)["addresses"] if status == 200 else []

    async def fetch_metrics(self, instance):
        """Return the metrics page of an instance."""
        return (await fetch(instance.host, METRICS_PORT, "/metrics"))[1].decode()


async def fetch(host, port, path):
    """Return status and body of a GET request; status 0 without a response."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return 0, b""
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        header = await reader.readuntil(b"\r\n\r\n")
        length = next(
            int(line.split(b":")[1])
            for line in header.lower().split(b"\r\n")
            if line.startswith(b"content-length")
        )
        return int(header.split()[1]), await reader.readexactly(length)
    except (OSError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        writer.close()
