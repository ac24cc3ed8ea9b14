"""Upstreams that send bytes without end beside sound ones, with whole processes."""

import asyncio
from collections import Counter

import pytest

from standins.gateway_fleet import CALLERS_PORT, GatewayFleet
from standins.target import Behaviour, FakeTarget

from ..gateway.harness import (
    SERVICE,
    configuration,
    encode_request,
    read_response,
    run_scenario,
)

CALLERS = 16
ROUNDS = 5
PERIOD_S = 0.8
PAUSE_S = 0.03
SERVICE_TIME_S = 0.02
MIN_SERVED_SHARE = 0.9
"""Share of the requests served beside an upstream that hangs."""


async def call_until(instance, until_s, statuses):
    """Send requests with pauses, on new connections after failures."""
    loop = asyncio.get_running_loop()
    while loop.time() < until_s:
        try:
            reader, writer = await asyncio.open_connection(instance.host, CALLERS_PORT)
        except OSError:
            statuses.append(0)
            continue
        try:
            while loop.time() < until_s:
                writer.write(encode_request("/read/x", wait_ms=1500))
                async with asyncio.timeout(2.0):
                    status, headers, _ = await read_response(reader)
                statuses.append(status)
                if headers.get("connection") == "close":
                    break
                await asyncio.sleep(PAUSE_S)
        except (OSError, EOFError, TimeoutError):
            statuses.append(0)
        finally:
            writer.close()


async def statuses_beside(instance, faulty, behaviour):
    """Return what callers get while one of four upstreams is faulty.

    Cases alternate in short periods, as other work on the machine slows down both.
    """
    faulty.behaviour = behaviour
    statuses = []
    until_s = asyncio.get_running_loop().time() + PERIOD_S
    calls = [call_until(instance, until_s, statuses) for _ in range(CALLERS)]
    await asyncio.gather(*calls)
    faulty.behaviour = Behaviour.CORRECT
    return statuses


@pytest.mark.parametrize(
    "behaviour", [item for item in Behaviour if item.startswith("endless")]
)
def test_upstream_that_sends_without_end_does_not_hold_up_other_requests(
    tmp_path, behaviour
):
    # Guards against an event loop that parses small pieces without end.
    async def scenario():
        async with GatewayFleet(tmp_path) as fleet:
            faulty = FakeTarget("t1", service_time_s=SERVICE_TIME_S)
            await fleet.add_target(faulty)
            for name in ("t2", "t3", "t4"):
                target = FakeTarget(name, service_time_s=SERVICE_TIME_S)
                await fleet.add_target(target)
            fleet.store.put("op/config", configuration(service=SERVICE))
            instance = await fleet.start_instance(1)
            await fleet.wait_ready(instance)
            served = Counter()
            for _ in range(ROUNDS):
                for case in (Behaviour.HANG, behaviour):
                    statuses = await statuses_beside(instance, faulty, case)
                    served[case] += statuses.count(200)
            assert served[behaviour] >= MIN_SERVED_SHARE * served[Behaviour.HANG]
            assert await fleet.readiness_status(instance) == 200

    run_scenario(scenario)
