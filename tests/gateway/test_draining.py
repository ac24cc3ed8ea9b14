"""Draining of callers' connections in a planned stop."""

import asyncio

from chervilpitch.gateway.draining import drain_connections
from chervilpitch.gateway.server_connection import FIRST_REQUEST_S
from chervilpitch.platform import Bounds
from chervilpitch.transport.clock import monotonic_s
from standins.target import FakeTarget

from .harness import GatewayHarness, encode_request, read_response, run_scenario

CALLERS = 60
SPREAD_S = 0.6
STOP_S = 3.0


async def start_drain(harness):
    """Begin a stop that accepts no connections any more."""
    harness.state.begin_leaving()
    harness.http_server.close_after_responses()
    return asyncio.create_task(
        drain_connections(
            harness.state.stop, harness.http_server, harness.listener, monotonic_s
        )
    )


async def call_after(harness, delay_s, request_id):
    """Connect, wait and send a request; return its status, None if it was not read."""
    reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
    await asyncio.sleep(delay_s)
    try:
        writer.write(encode_request("/book/x", "POST", b"{}", request_id=request_id))
        return (await read_response(reader))[0]
    except (ConnectionError, asyncio.IncompleteReadError):
        return None
    finally:
        writer.close()


def test_no_connection_is_open_when_the_drain_ends_before_the_stop():
    async def scenario():
        target = FakeTarget("t1", service_time_s=0.05)
        harness = GatewayHarness(Bounds(stop_s=STOP_S))
        await harness.start(target)
        ids = [f"id-{number}" for number in range(CALLERS)]
        calls = [
            call_after(harness, FIRST_REQUEST_S + SPREAD_S * n / CALLERS, request_id)
            for n, request_id in enumerate(ids)
        ]
        answers = asyncio.gather(*calls)
        await asyncio.sleep(FIRST_REQUEST_S)
        drain = await start_drain(harness)
        await drain
        assert harness.http_server.open_count == 0
        assert harness.state.in_progress == 0
        run_ids = [item[2]["x-chervilpitch-request-id"] for item in target.runs]
        statuses = dict(zip(ids, await answers))
        assert all(statuses[request_id] == 200 for request_id in run_ids)

    run_scenario(scenario)


def test_drain_ends_with_the_stop_if_an_upstream_hangs():
    async def scenario():
        target = FakeTarget("t1", service_time_s=60)
        harness = GatewayHarness(Bounds(stop_s=1.0))
        await harness.start(target)
        call = asyncio.create_task(call_after(harness, 0.0, "hangs"))
        await asyncio.sleep(0.2)
        drain = await start_drain(harness)
        await drain
        assert monotonic_s() < harness.state.stop.ends_at_s + 0.2
        call.cancel()

    run_scenario(scenario)


def test_request_after_the_end_of_a_short_stop_is_refused_and_does_not_run():
    async def scenario():
        target = FakeTarget("t1")
        harness = GatewayHarness(Bounds(stop_s=0.5))
        await harness.start(target)
        reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
        await asyncio.sleep(0.05)
        drain = await start_drain(harness)
        await drain
        assert harness.http_server.open_count == 1
        writer.write(encode_request("/book/x", "POST", b"{}"))
        assert (await read_response(reader))[0] == 503
        assert target.runs == []
        writer.close()

    run_scenario(scenario)


def test_drain_does_not_outlast_the_stop_by_a_check():
    async def scenario():
        target = FakeTarget("t1", service_time_s=60)
        harness = GatewayHarness(Bounds(stop_s=0.36))
        await harness.start(target)
        call = asyncio.create_task(call_after(harness, 0.0, "hangs"))
        await asyncio.sleep(0.2)
        drain = await start_drain(harness)
        await drain
        assert 0 <= monotonic_s() - harness.state.stop.ends_at_s < 0.05
        call.cancel()

    run_scenario(scenario)
