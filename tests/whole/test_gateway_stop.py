"""Planned stops of gateway processes while callers keep connections open."""

import asyncio
import contextlib
import signal

import pytest

from standins.gateway_fleet import CALLERS_PORT, GatewayFleet
from standins.target import FakeTarget
from tests.gateway.harness import (
    HOST,
    configuration,
    encode_request,
    read_response,
    route,
)

SCENARIO_TIMEOUT_S = 60
STOP_S = 3.0
LISTENER_CLOSES_AFTER_S = 0.4
SERVICE_TIME_S = 0.3
LARGE_RESPONSE_BYTES = 12_000_000
LONG_WAIT_MS = 20_000


class KeptConnection:
    """A connection to an instance that stays open between requests."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    async def send(self, request_id, reads_after_s=0.0, **options):
        """Send a request; return its status, None if the connection ends instead."""
        try:
            self._writer.write(
                encode_request(
                    "/book/x", "POST", b"{}", request_id=request_id, **options
                )
            )
            await asyncio.sleep(reads_after_s)
            return (await read_response(self._reader))[0]
        except (ConnectionError, asyncio.IncompleteReadError):
            return None


@contextlib.asynccontextmanager
async def kept_connection(instance):
    """Connect to an instance; the connection is closed when the context is left."""
    reader, writer = await asyncio.open_connection(instance.host, CALLERS_PORT)
    try:
        yield KeptConnection(reader, writer)
    finally:
        writer.close()


def run_scenario(scenario):
    """Run a scenario, which fails after 60 s."""

    async def limited():
        async with asyncio.timeout(SCENARIO_TIMEOUT_S):
            await scenario()

    asyncio.run(limited())


async def start_instance(fleet, number, target, book_timeout="1500ms"):
    """Start an upstream and an instance that serves."""
    await fleet.add_target(target)
    routes = [route("book", "unsafe", timeout=book_timeout)]
    hosts = [{"host": HOST, "path_routes": routes}]
    fleet.store.put("op/config", configuration(virtual_hosts=hosts))
    instance = await fleet.start_instance(number)
    await fleet.wait_ready(instance)
    return instance


def ids_run_by(target):
    """Return the ids of the requests that an upstream has run."""
    return [headers["x-chervilpitch-request-id"] for _, _, headers, _ in target.runs]


@pytest.mark.parametrize("sent_after_s", [0.02, 0.05, 0.08, 0.15])
def test_request_on_a_kept_connection_late_in_a_stop_is_not_cut(tmp_path, sent_after_s):
    async def scenario():
        async with GatewayFleet(tmp_path, f"grace={STOP_S}s,revoke=5000ms") as fleet:
            target = FakeTarget("t1")
            instance = await start_instance(fleet, 1, target)
            async with kept_connection(instance) as connection:
                assert await connection.send("first") == 200
                target.service_time_s = SERVICE_TIME_S
                instance.process.send_signal(signal.SIGTERM)
                await asyncio.sleep(LISTENER_CLOSES_AFTER_S + sent_after_s)
                status = await connection.send("late")
            assert status == 200 or "late" not in ids_run_by(target)
            assert await instance.process.wait() == 0

    run_scenario(scenario)


def test_response_to_a_caller_that_reads_late_is_not_cut_by_a_stop(tmp_path):
    async def scenario():
        async with GatewayFleet(tmp_path, f"grace={STOP_S}s,revoke=5000ms") as fleet:
            target = FakeTarget("t1")
            target.response_body = b"x" * LARGE_RESPONSE_BYTES
            instance = await start_instance(fleet, 1, target)
            async with kept_connection(instance) as connection:
                call = asyncio.create_task(connection.send("large", reads_after_s=1.5))
                while not target.runs:
                    await asyncio.sleep(0.01)
                instance.process.send_signal(signal.SIGTERM)
                assert await call == 200
            assert await instance.process.wait() == 0

    run_scenario(scenario)


def test_request_that_lasts_beyond_the_end_of_a_stop_is_answered(tmp_path):
    async def scenario():
        async with GatewayFleet(tmp_path, f"grace={STOP_S}s,revoke=5000ms") as fleet:
            target = FakeTarget("t1")
            instance = await start_instance(fleet, 1, target, book_timeout="20s")
            target.service_time_s = LONG_WAIT_MS / 1000
            async with kept_connection(instance) as connection:
                call = asyncio.create_task(
                    connection.send("long", wait_ms=LONG_WAIT_MS)
                )
                while not target.runs:
                    await asyncio.sleep(0.01)
                instance.process.send_signal(signal.SIGTERM)
                assert await call == 502
            assert await instance.process.wait() == 0
            assert len(target.runs) == 1

    run_scenario(scenario)


def test_request_whose_body_is_incomplete_at_the_end_of_a_stop_is_refused(tmp_path):
    async def scenario():
        async with GatewayFleet(tmp_path, f"grace={STOP_S}s,revoke=5000ms") as fleet:
            target = FakeTarget("t1")
            instance = await start_instance(fleet, 1, target)
            reader, writer = await asyncio.open_connection(instance.host, CALLERS_PORT)
            writer.write(encode_request("/book/x", "POST", b"{}")[:-1])
            await asyncio.sleep(0.1)
            instance.process.send_signal(signal.SIGTERM)
            status, _, _ = await read_response(reader)
            assert (status, target.runs) == (503, [])
            writer.close()
            assert await instance.process.wait() == 0

    run_scenario(scenario)


def test_request_behind_one_that_lasts_beyond_the_end_of_a_stop_is_refused(tmp_path):
    async def scenario():
        async with GatewayFleet(tmp_path, f"grace={STOP_S}s,revoke=5000ms") as fleet:
            target = FakeTarget("t1", service_time_s=LONG_WAIT_MS / 1000)
            instance = await start_instance(fleet, 1, target, book_timeout="20s")
            reader, writer = await asyncio.open_connection(instance.host, CALLERS_PORT)
            for request_id in ("long", "behind"):
                writer.write(
                    encode_request(
                        "/book/x",
                        "POST",
                        b"{}",
                        request_id=request_id,
                        wait_ms=LONG_WAIT_MS,
                    )
                )
            while not target.runs:
                await asyncio.sleep(0.01)
            instance.process.send_signal(signal.SIGTERM)
            statuses = [(await read_response(reader))[0] for _ in range(2)]
            assert statuses == [502, 503]
            writer.close()
            assert await instance.process.wait() == 0
            assert ids_run_by(target) == ["long"]

    run_scenario(scenario)


@pytest.mark.parametrize("stop_s", [0.5, 1.0, 2.0])
def test_signals_that_come_again_do_not_change_a_short_stop(tmp_path, stop_s):
    async def scenario():
        async with GatewayFleet(tmp_path, f"grace={stop_s}s,revoke=5000ms") as fleet:
            target = FakeTarget("t1")
            instance = await start_instance(fleet, 1, target)
            target.service_time_s = 0.15
            async with kept_connection(instance) as connection:
                call = asyncio.create_task(connection.send("in-progress"))
                while not target.runs:
                    await asyncio.sleep(0.01)
                for number in (
                    signal.SIGTERM,
                    signal.SIGHUP,
                    signal.SIGINT,
                    signal.SIGTERM,
                ):
                    instance.process.send_signal(number)
                    await asyncio.sleep(0.01)
                assert await call == 200
            async with asyncio.timeout(stop_s):
                assert await instance.process.wait() == 0

    run_scenario(scenario)


def test_request_that_comes_while_a_stopping_process_is_suspended_is_not_cut(tmp_path):
    async def scenario():
        async with GatewayFleet(tmp_path, f"grace={STOP_S}s,revoke=5000ms") as fleet:
            target = FakeTarget("t1")
            instance = await start_instance(fleet, 1, target)
            async with kept_connection(instance) as connection:
                assert await connection.send("first") == 200
                instance.process.send_signal(signal.SIGTERM)
                await asyncio.sleep(0.2)
                instance.process.send_signal(signal.SIGSTOP)
                call = asyncio.create_task(connection.send("suspended"))
                await asyncio.sleep(STOP_S)
                instance.process.send_signal(signal.SIGCONT)
                status = await call
            assert status in (200, 503)
            assert (status == 200) == ("suspended" in ids_run_by(target))
            assert await instance.process.wait() == 0

    run_scenario(scenario)
