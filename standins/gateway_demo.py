"""Demonstration of the gateway: a store, upstreams and three instances."""

import asyncio
import collections
import hashlib
import pathlib
import tempfile

from .gateway_fleet import CALLERS_PORT, GatewayFleet
from .target import Behaviour, FakeTarget

__all__ = ["main"]

HOST = "desk.example"
KEY = "key-of-fitters"
WITHDRAWN_KEY = "key-of-counters"
REQUEST_COUNT = 90
REQUEST_INTERVAL_S = 0.02
CONFIGURATION_DELAY_S = 1.5


def main():
    """Run the demonstration and print the statuses that callers received."""
    with tempfile.TemporaryDirectory() as directory:
        asyncio.run(_run_demonstration(pathlib.Path(directory)))


async def _run_demonstration(directory):
    async with GatewayFleet(directory) as fleet:
        for name in ("desk-1", "desk-2", "desk-3"):
            await fleet.add_target(FakeTarget(name, service_time_s=0.03))
        fleet.store.put("op/config", _configuration(1, (KEY, WITHDRAWN_KEY)))
        instances = [await fleet.start_instance(number) for number in (1, 2, 3)]
        for instance in instances:
            await fleet.wait_ready(instance)
        print("\nGateway: three instances, two of which read the store for all.")
        rows = [("all upstreams healthy", await _send_requests(instances))]
        fleet.targets[0].behaviour = Behaviour.HANG
        rows.append(("desk-1 hangs", await _send_requests(instances)))
        fleet.targets[0].behaviour = Behaviour.CORRECT
        fleet.store.put("op/config", _configuration(2, (KEY,)))
        await asyncio.sleep(CONFIGURATION_DELAY_S)
        rows.append(("withdrawn key", await _send_requests(instances, WITHDRAWN_KEY)))
        _print_counts(rows)


def _configuration(version, keys):
    route = {
        "timeout": "1500ms",
        "aim": "200ms",
        "priority": 1,
        "service": "desk",
        "max_attempts": 2,
    }
    routes = [
        route | {"name": "lookup", "prefix": "/lookup/", "kind": "safe"},
        route | {"name": "booking", "prefix": "/booking/", "kind": "unsafe"},
    ]
    account = {"name": "fitters", "api_keys": list(keys), "rate_per_s": 500}
    return {
        "version": version,
        "tenants": [account | {"burst": 500}],
        "virtual_hosts": [{"host": HOST, "path_routes": routes}],
    }


async def _send_requests(instances, key=KEY):
    """Send requests of both kinds and count their kinds and statuses."""
    tasks = []
    for number in range(REQUEST_COUNT):
        instance = instances[number % len(instances)]
        is_booking = number % 3 == 0
        path = "/booking/1" if is_booking else "/lookup/1"
        method = "POST" if is_booking else "GET"
        tasks.append(
            asyncio.create_task(_send_request(instance, method, path, key, number))
        )
        await asyncio.sleep(REQUEST_INTERVAL_S)
    return collections.Counter(await asyncio.gather(*tasks))


async def _send_request(instance, method, path, key, number):
    reader, writer = await asyncio.open_connection(instance.host, CALLERS_PORT)
    request_id = hashlib.sha256(f"{key}{number}".encode()).hexdigest()[:16]
    text = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 0\r\n"
        f"X-Chervilpitch-Request-Id: {request_id}\r\nX-Chervilpitch-Key: {key}\r\n"
        f"X-Chervilpitch-Timeout-Remaining: 2000\r\n\r\n"
    )
    writer.write(text.encode())
    status = int((await reader.readline()).split()[1])
    writer.close()
    return "lookup" if method == "GET" else "booking", status


def _print_counts(rows):
    for title, counts in rows:
        print(f"  {title}:")
        for (kind, status), count in sorted(counts.items()):
            print(f"    {kind:8} {status}  {count:4}")


if __name__ == "__main__":
    main()
