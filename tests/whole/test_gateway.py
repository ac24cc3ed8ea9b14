"""Instances of the gateway as real processes before the platform's stand-ins."""

import asyncio
import signal
import subprocess
import sys

from standins.gateway_fleet import CALLERS_PORT, GatewayFleet
from standins.target import Behaviour, TargetStandin
from tests.gateway.harness import (
    ACCOUNT,
    KEY,
    configuration,
    encode_request,
    read_response,
)

WITHIN_S = 60


def play(scenario):
    """Run a scenario to its end, within a time limit."""

    async def limited():
        async with asyncio.timeout(WITHIN_S):
            await scenario()

    asyncio.run(limited())


async def ask(instance, path="/read/x", method="GET", body=b"", **options):
    """Send a request to an instance; return status, headers and body."""
    reader, writer = await asyncio.open_connection(instance.host, CALLERS_PORT)
    try:
        writer.write(encode_request(path, method, body, **options))
        return await read_response(reader)
    finally:
        writer.close()


def reads(instance):
    """Return whether an instance reads the store, by its log."""
    changes = [
        line["reads"]
        for line in instance.lines()
        if line["event"] == "fleet: Instance started or stopped reading the store."
    ]
    return bool(changes) and changes[-1]


async def until(condition, within_s=15.0):
    """Wait until an asynchronous condition holds."""
    async with asyncio.timeout(within_s):
        while not await condition():
            await asyncio.sleep(0.05)


async def started(fleet, *numbers):
    """Start instances before one upstream and wait until they know each other."""
    target = TargetStandin("t1")
    await fleet.add_target(target)
    fleet.store.put("op/config", configuration())
    instances = [await fleet.start(number) for number in numbers]
    for instance in instances:
        await fleet.wait_ready(instance)

    async def all_known():
        found = [await fleet.addresses(item, zone="none") for item in instances]
        return all(len(addresses) == len(instances) for addresses in found)

    await until(all_known)
    return target, instances


def test_every_instance_serves_and_two_read_the_store(tmp_path):
    async def scenario():
        async with GatewayFleet(tmp_path) as fleet:
            target, instances = await started(fleet, 1, 2, 3)

            async def all_serve():
                return all([(await ask(item))[0] == 200 for item in instances])

            await until(all_serve)

            async def two_read():
                return [reads(item) for item in instances].count(True) == 2

            await until(two_read)
            text = await fleet.metrics(instances[0])
            assert "chervilpitch_requests_total" in text

    play(scenario)


def test_a_change_is_in_force_everywhere_and_a_withdrawn_key_stops(tmp_path):
    async def scenario():
        async with GatewayFleet(tmp_path) as fleet:
            _, instances = await started(fleet, 1, 2, 3)
            account = {"name": ACCOUNT, "api_keys": ["new"], "rate_per_s": 0}
            fleet.store.put("op/config", configuration(5, tenants=[account]))

            async def in_force():
                statuses = [(await ask(item, key="new"))[0] for item in instances]
                return statuses == [200, 200, 200]

            await until(in_force)
            for instance in instances:
                assert (await ask(instance, key=KEY))[0] == 401

    play(scenario)


def test_without_the_store_keys_stop_in_time_and_come_back_with_it(tmp_path):
    async def scenario():
        async with GatewayFleet(tmp_path) as fleet:
            _, instances = await started(fleet, 1, 2)
            assert (await ask(instances[0]))[0] == 200
            fleet.store.is_refusing = True
            await asyncio.sleep(5.0)
            for instance in instances:
                status, headers, _ = await ask(instance)
                assert status == 503
                assert "retry-after" in headers
                assert (await ask(instance, "/open/x", key=""))[0] == 200
            fleet.store.is_refusing = False

            async def serves():
                return all([(await ask(item))[0] == 200 for item in instances])

            await until(serves)

    play(scenario)


def test_a_stop_finishes_requests_and_takes_the_instance_out(tmp_path):
    async def scenario():
        async with GatewayFleet(tmp_path) as fleet:
            target, instances = await started(fleet, 1, 2)
            target.work_s = 0.8
            leaving, staying = instances
            asked = [
                asyncio.create_task(ask(leaving, "/book/x", "POST", b"crew"))
                for _ in range(8)
            ]
            while len(target.runs) < 4:
                await asyncio.sleep(0.01)
            leaving.process.send_signal(signal.SIGTERM)

            async def is_out():
                addresses = await fleet.addresses(staying, zone="none")
                return not any(leaving.host in address for address in addresses)

            await until(is_out, within_s=2.0)
            assert await fleet.ready_status(leaving) != 200
            assert {(await answer)[0] for answer in asked} == {200}
            assert await leaving.process.wait() == 0
            assert (await ask(staying))[0] == 200

    play(scenario)


def test_a_reload_cuts_nothing(tmp_path):
    async def scenario():
        async with GatewayFleet(tmp_path) as fleet:
            target, (instance,) = await started(fleet, 1)
            target.work_s = 0.5
            asked = asyncio.create_task(ask(instance, "/book/x", "POST", b"crew"))
            while not target.runs:
                await asyncio.sleep(0.01)
            instance.process.send_signal(signal.SIGHUP)
            assert (await asked)[0] == 200
            assert (await ask(instance))[0] == 200
            events = [line["event"] for line in instance.lines()]
            assert "instance: Settings reloaded." in events

    play(scenario)


def test_a_killed_instance_starts_again_and_serves(tmp_path):
    async def scenario():
        async with GatewayFleet(tmp_path) as fleet:
            _, instances = await started(fleet, 1, 2)
            for instance in instances:
                instance.process.send_signal(signal.SIGKILL)
                await instance.process.wait()
            again = [await fleet.start(number) for number in (1, 2)]
            for instance in again:
                await fleet.wait_ready(instance)

            async def serves():
                return all([(await ask(item))[0] == 200 for item in again])

            await until(serves)

    play(scenario)


def test_a_frozen_instance_trusts_no_key_when_it_wakes(tmp_path):
    async def scenario():
        async with GatewayFleet(tmp_path) as fleet:
            _, (instance,) = await started(fleet, 1)
            fleet.store.is_refusing = True
            instance.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(5.0)
            instance.process.send_signal(signal.SIGCONT)
            assert (await ask(instance))[0] == 503

    play(scenario)


def test_a_failed_request_is_explained_by_the_log(tmp_path):
    async def scenario():
        async with GatewayFleet(tmp_path) as fleet:
            target, (instance,) = await started(fleet, 1)
            target.behaviour = Behaviour.RESET
            sent = ask(instance, "/book/x", "POST", b"crew", request_id="id-reset")
            assert (await sent)[0] == 502
            target.behaviour = Behaviour.HANG
            sent = ask(instance, "/book/x", "POST", b"crew", request_id="id-hang")
            assert (await sent)[0] == 504
            assert (await ask(instance, key="bad", request_id="id-key"))[0] == 401

            async def written():
                return "id-key" in instance.log.read_text()

            await until(written)
            lines = {line.get("id"): line for line in instance.lines()}
            assert lines["id-reset"]["refusal"] == "upstream-failed"
            assert lines["id-reset"]["upstreams"] == ["t1"]
            assert lines["id-hang"]["refusal"] == "deadline-exceeded"
            assert lines["id-key"]["refusal"] == "key-unknown"
            assert lines["id-key"]["version"] == 1
            assert KEY not in instance.log.read_text()
            failed = [
                line
                for line in instance.lines()
                if line.get("request") == "id-reset" and line.get("upstream") == "t1"
            ]
            assert failed[0]["outcome"] == "reset"

    play(scenario)


def test_bad_settings_end_with_every_problem_listed(tmp_path):
    path = tmp_path / "bad.ini"
    path.write_text("[instance]\nname = a\n[store]\naddress = nowhere\n")
    ended = subprocess.run(
        [sys.executable, "-m", "chervilpitch", "gateway", str(path)],
        capture_output=True,
        text=True,
        timeout=WITHIN_S,
        check=False,
    )
    assert ended.returncode == 2
    assert "region" in ended.stderr
    assert "nowhere" in ended.stderr
