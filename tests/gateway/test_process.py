"""Stops of a gateway process that come at a bad moment."""

import asyncio
import itertools

import pytest

from chervilpitch.gateway import process as process_module
from chervilpitch.gateway.process import GatewayProcess
from chervilpitch.gateway.settings import load_gateway
from chervilpitch.gateway.settings_file import SettingsFile
from chervilpitch.observe import BoundedLogStream
from standins.gateway_fleet import settings_text

STOP_S = 1.0
NUMBERS = itertools.count(100)
"""Each instance has an address of its own, as sockets outlive the event loop."""


@pytest.fixture
def gateway(tmp_path):
    """Return a process that is not running and whose stop takes a second."""
    path = tmp_path / "front.ini"
    path.write_text(settings_text(next(NUMBERS), "127.0.0.1:1", f"grace={STOP_S}s"))
    settings = load_gateway(str(path)).unwrap()
    with (tmp_path / "log").open("ab") as output:
        logs = BoundedLogStream(output.fileno())
        yield GatewayProcess(settings, SettingsFile(str(path)), logs)


async def run_to_the_end(gateway):
    """Run a process, which has to end within its stop and a second more."""
    async with asyncio.timeout(STOP_S + 1.0):
        await gateway.run()


def test_process_that_is_stopped_while_it_opens_its_listeners_ends(gateway):
    listen = gateway._listen

    async def stop_and_listen(loop):
        gateway._begin_stop()
        await listen(loop)

    gateway._listen = stop_and_listen
    asyncio.run(run_to_the_end(gateway))


def test_process_whose_drain_fails_ends_with_the_stop(gateway, monkeypatch):
    async def fail(*_):
        raise RuntimeError

    monkeypatch.setattr(process_module, "drain_connections", fail)

    async def scenario():
        asyncio.get_running_loop().call_later(0.1, gateway._begin_stop)
        await run_to_the_end(gateway)

    asyncio.run(scenario())
