"""Gateway instances as processes, with stand-ins for the store and upstreams."""

import asyncio
import signal
import subprocess
import sys

from standins.gateway_fleet import CALLERS_PORT, GatewayFleet
from standins.target import Behaviour, FakeTarget
from tests.gateway.harness import (
    ACCOUNT,
    KEY,
    configuration,
    encode_request,
    read_response,
)

SCENARIO_TIMEOUT_S = 60


def run_scenario(scenario):
    """Run a scenario, which fails after 60 s."""

    async def limited():
        async with asyncio.timeout(SCENARIO_TIMEOUT_S):
            await scenario()

    asyncio.run(limited())


async def send_request(instance, path="/read/x", method="GET", body=b"", **options):
    """Send a request to an instance; return status, headers and body."""
    reader, writer = await asyncio.open_connection(instance.host, CALLERS_PORT)
    try:
        writer.write(encode_request(path, method, body, **options))
        return await read_response(reader)
    finally:
        writer.close()


def is_store_reader(instance):
    """Return whether an instance reads the store, according to its log."""
    changes = [
        line["reads"]
        for line in instance.log_lines()
        if line["event"] == "fleet: Instance started or stopped reading the store."
    ]
    return bool(changes) and changes[-1]


async def wait_until(condition, timeout_s=15.0):
    """Wait until an asynchronous condition holds."""
    async with asyncio.timeout(timeout_s):
        while not await condition():
            await asyncio.sleep(0.05)


async def start_instances(fleet, *numbers):
    """Start one upstream and instances, and wait until each lists all instances."""
    target = FakeTarget("t1")
    await fleet.add_target(target)
    fleet.store.put("op/config", configuration())
    instances = [await fleet.start_instance(number) for number in numbers]
    for instance in instances:
        await fleet.wait_ready(instance)

    async def all_listed():
        offered = [await fleet.fetch_addresses(item, zone="none") for item in instances]
        return all(len(addresses) == len(instances) for addresses in offered)

    await wait_until(all_listed)
    return target, instances


def test_every_instance_serves_and_two_read_the_store(tmp_path):
    async def scenario():
        async with GatewayFleet(tmp_path) as fleet:
            target, instances = await start_instances(fleet, 1, 2, 3)

            async def all_serve():
                return all([(await send_request(item))[0] == 200 for item in instances])

            await wait_until(all_serve)

            async def two_read_the_store():
                return [is_store_reader(item) for item in instances].count(True) == 2

            await wait_until(two_read_the_store)
            text = await fleet.fetch_metrics(instances[0])
            assert "chervilpitch_requests_total" in text

    run_scenario(scenario)


def test_change_is_applied_everywhere_and_withdrawn_key_is_refused(tmp_path):
    async def scenario():
        async with GatewayFleet(tmp_path) as fleet:
            _, instances = await start_instances(fleet, 1, 2, 3)
            account = {"name": ACCOUNT, "api_keys": ["new"], "rate_per_s": 0}
            fleet.store.put("op/config", configuration(5, tenants=[account]))

            async def is_applied():
                statuses = [
                    (await send_request(item, key="new"))[0] for item in instances
                ]
                return statuses == [200, 200, 200]

            await wait_until(is_applied)
            for instance in instances:
                assert (await send_request(instance, key=KEY))[0] == 401

    run_scenario(scenario)


def test_keys_are_refused_without_the_store_and_accepted_when_it_returns(tmp_path):
    async def scenario():
        async with GatewayFleet(tmp_path) as fleet:
            _, instances = await start_instances(fleet, 1, 2)
            assert (await send_request(instances[0]))[0] == 200
            fleet.store.is_refusing = True
            await asyncio.sleep(5.0)
            for instance in instances:
                status, headers, _ = await send_request(instance)
                assert status == 503
                assert "retry-after" in headers
                assert (await send_request(instance, "/open/x", key=""))[0] == 200
            fleet.store.is_refusing = False

            async def all_serve():
                return all([(await send_request(item))[0] == 200 for item in instances])

            await wait_until(all_serve)

    run_scenario(scenario)


def test_graceful_stop_completes_requests_and_unlists_the_instance(tmp_path):
    async def scenario():
        async with GatewayFleet(tmp_path) as fleet:
            target, instances = await start_instances(fleet, 1, 2)
            target.service_time_s = 0.8
            leaving, staying = instances
            requests = [
                asyncio.create_task(send_request(leaving, "/book/x", "POST", b"crew"))
                for _ in range(8)
            ]
            while len(target.runs) < 4:
                await asyncio.sleep(0.01)
            leaving.process.send_signal(signal.SIGTERM)

            async def is_unlisted():
                addresses = await fleet.fetch_addresses(staying, zone="none")
                return not any(leaving.host in address for address in addresses)

            await wait_until(is_unlisted, timeout_s=2.0)
            assert await fleet.readiness_status(leaving) != 200
            assert {(await request)[0] for request in requests} == {200}
            assert await leaving.process.wait() == 0
            assert (await send_request(staying))[0] == 200

    run_scenario(scenario)


def test_reload_interrupts_no_request(tmp_path):
    async def scenario():
        async with GatewayFleet(tmp_path) as fleet:
            target, (instance,) = await start_instances(fleet, 1)
            target.service_time_s = 0.5
            request = asyncio.create_task(
                send_request(instance, "/book/x", "POST", b"crew")
            )
            while not target.runs:
                await asyncio.sleep(0.01)
            instance.process.send_signal(signal.SIGHUP)
            assert (await request)[0] == 200
            assert (await send_request(instance))[0] == 200
            events = [line["event"] for line in instance.log_lines()]
            assert "instance: Settings reloaded." in events

    run_scenario(scenario)


def test_version_after_a_restoration_of_the_store_is_in_force_everywhere(tmp_path):
    async def scenario():
        async with GatewayFleet(tmp_path) as fleet:
            saved = fleet.store.save()
            _, instances = await start_instances(fleet, 1, 2, 3)
            fleet.store.put("op/config", configuration(2))
            await asyncio.sleep(1.5)
            fleet.store.restore(saved)
            account = {"name": ACCOUNT, "api_keys": ["new"], "rate_per_s": 0}
            fleet.store.put("op/config", configuration(3, tenants=[account]))

            async def is_applied():
                statuses = [
                    (await send_request(item, key="new"))[0] for item in instances
                ]
                return statuses == [200, 200, 200]

            await wait_until(is_applied, timeout_s=5.0)

    run_scenario(scenario)


def test_killed_instances_serve_after_a_restart(tmp_path):
    async def scenario():
        async with GatewayFleet(tmp_path) as fleet:
            _, instances = await start_instances(fleet, 1, 2)
            for instance in instances:
                instance.process.send_signal(signal.SIGKILL)
                await instance.process.wait()
            restarted = [await fleet.start_instance(number) for number in (1, 2)]
            for instance in restarted:
                await fleet.wait_ready(instance)

            async def all_serve():
                return all([(await send_request(item))[0] == 200 for item in restarted])

            await wait_until(all_serve)

    run_scenario(scenario)


def test_resumed_instance_refuses_keys_without_fresh_state(tmp_path):
    async def scenario():
        async with GatewayFleet(tmp_path) as fleet:
            _, (instance,) = await start_instances(fleet, 1)
            fleet.store.is_refusing = True
            instance.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(5.0)
            instance.process.send_signal(signal.SIGCONT)
            assert (await send_request(instance))[0] == 503

    run_scenario(scenario)


def test_log_gives_the_cause_of_a_failed_request(tmp_path):
    async def scenario():
        async with GatewayFleet(tmp_path) as fleet:
            target, (instance,) = await start_instances(fleet, 1)
            target.behaviour = Behaviour.RESET
            request = send_request(
                instance, "/book/x", "POST", b"crew", request_id="id-reset"
            )
            assert (await request)[0] == 502
            target.behaviour = Behaviour.HANG
            request = send_request(
                instance, "/book/x", "POST", b"crew", request_id="id-hang"
            )
            assert (await request)[0] == 504
            request = send_request(instance, key="bad", request_id="id-key")
            assert (await request)[0] == 401

            async def is_logged():
                return "id-key" in instance.log.read_text()

            await wait_until(is_logged)
            lines = {line.get("id"): line for line in instance.log_lines()}
            assert lines["id-reset"]["refusal"] == "upstream-failed"
            assert lines["id-reset"]["upstreams"] == ["t1"]
            assert lines["id-hang"]["refusal"] == "deadline-exceeded"
            assert lines["id-key"]["refusal"] == "key-unknown"
            assert lines["id-key"]["version"] == 1
            assert KEY not in instance.log.read_text()
            failed = [
                line
                for line in instance.log_lines()
                if line.get("request") == "id-reset" and line.get("upstream") == "t1"
            ]
            assert failed[0]["outcome"] == "reset"

    run_scenario(scenario)


def test_invalid_settings_end_the_process_with_every_problem(tmp_path):
    path = tmp_path / "bad.ini"
    path.write_text("[instance]\nname = a\n[store]\naddress = nowhere\n")
    completed = subprocess.run(
        [sys.executable, "-m", "chervilpitch", "gateway", str(path)],
        capture_output=True,
        text=True,
        timeout=SCENARIO_TIMEOUT_S,
        check=False,
    )
    assert completed.returncode == 2
    assert "region" in completed.stderr
    assert "nowhere" in completed.stderr
