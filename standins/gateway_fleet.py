"""Instances of the gateway as processes on the loopback, before stand-ins."""

import asyncio
import json
import os
import pathlib
import signal
import sys
from typing import NamedTuple

from .store import FakeStore
from .target import FakeTarget

__all__ = ["GatewayFleet", "GatewayProcess", "get"]

READY_WITHIN_S = 20.0
POLL_S = 0.05
PEERS_PORT = 17_660
METRICS_PORT = 19_464
CALLERS_PORT = 18_405
READY_PORT = 18_406
DIRECTORY_PORT = 18_404

SETTINGS = """\
[instance]
name = {name}
region = north
failure-domain = {domain}
host = {host}

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
    """One instance.

    Parameters
    ----------
    name, host : str
        Its name and loopback address.
    process : asyncio.subprocess.Process
        Its process.
    log : pathlib.Path
        What it writes to standard output.
    """

    name: str
    host: str
    process: asyncio.subprocess.Process
    log: pathlib.Path

    def log_lines(self):
        """Return the log lines as mappings."""
        return [json.loads(line) for line in self.log.read_text().splitlines()]


def own_network(process_id):
    """Return the first three numbers of loopback addresses for one process.

    Ports are the same on all instances, so that fleets of processes that run at the
    same time need different addresses.

    Examples
    --------
    >>> own_network(1), own_network(250)
    ('127.2.0', '127.1.1')
    """
    return f"127.{1 + process_id % 250}.{process_id // 250 % 250}"


class GatewayFleet:
    """A store, upstreams and instances that end with the context.

    Parameters
    ----------
    directory : pathlib.Path
        Empty directory for settings and logs.
    bounds : str
        Bounds as the platform writes them.
    """

    def __init__(self, directory, bounds="drain=2000ms,grace=3s,revoke=5000ms"):
        self._directory = pathlib.Path(directory)
        self._bounds = bounds
        self._network = own_network(os.getpid())
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
        """Start an upstream and list it in the store."""
        await target.start()
        self.targets.append(target)
        entry = target.entry(service, "n1", **fields)
        self.store.put(f"servers/{target.name}", entry)

    async def start_instance(self, number):
        """Start an instance and return it."""
        name, host = f"front-{number}", f"{self._network}.{number}"
        path = self._directory / f"{name}.ini"
        path.write_text(
            SETTINGS.format(
                name=name,
                host=host,
                network=self._network,
                domain="n1" if number % 2 else "n2",
                callers=CALLERS_PORT,
                ready=READY_PORT,
                directory=DIRECTORY_PORT,
                peers=PEERS_PORT,
                metrics=METRICS_PORT,
                store=self.store.address,
                bounds=self._bounds,
            )
        )
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
        """Wait until an instance says that it is ready."""
        async with asyncio.timeout(READY_WITHIN_S):
            while await self.readiness_status(instance) != 200:
                await asyncio.sleep(POLL_S)

    async def readiness_status(self, instance):
        """Return the status of an instance's readiness, 0 without an answer."""
        return (await get(instance.host, READY_PORT, "/api/readiness"))[0]

    async def addresses(self, instance, zone="n1"):
        """Return the addresses that an instance tells callers."""
        path = f"/api/resolve?name=desk.example&region=north&zone={zone}"
        status, body = await get(instance.host, DIRECTORY_PORT, path)
        return json.loads(body)["addresses"] if status == 200 else []

    async def metrics(self, instance):
        """Return the metrics of an instance as text."""
        return (await get(instance.host, METRICS_PORT, "/metrics"))[1].decode()


async def get(host, port, path):
    """Return status and body of a plain request; status 0 without an answer."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return 0, b""
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        head = await reader.readuntil(b"\r\n\r\n")
        length = next(
            int(line.split(b":")[1])
            for line in head.lower().split(b"\r\n")
            if line.startswith(b"content-length")
        )
        return int(head.split()[1]), await reader.readexactly(length)
    except (OSError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        writer.close()
