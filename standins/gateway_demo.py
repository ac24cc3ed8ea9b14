"""Shows the users' platform's path: a store, upstreams and three instances."""

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
WITHDRAWN = "key-of-counters"
REQUESTS = 90
PAUSE_S = 0.02
IN_FORCE_S = 1.5


def main():
    """Play the demonstration and print what callers got."""
    with tempfile.TemporaryDirectory() as directory:
        asyncio.run(_play(pathlib.Path(directory)))


async def _play(directory):
    async with GatewayFleet(directory) as fleet:
        for name in ("desk-1", "desk-2", "desk-3"):
            await fleet.add_target(FakeTarget(name, service_time_s=0.03))
        fleet.store.put("op/config", _configuration(1, (KEY, WITHDRAWN)))
        instances = [await fleet.start_instance(number) for number in (1, 2, 3)]
        for instance in instances:
            await fleet.wait_ready(instance)
        print("\nThe users' platform: three instances, two read the store for all.")
        rows = [("all upstreams well", await _requests(instances))]
        fleet.targets[0].behaviour = Behaviour.HANG
        rows.append(("desk-1 hangs", await _requests(instances)))
        fleet.targets[0].behaviour = Behaviour.CORRECT
        fleet.store.put("op/config", _configuration(2, (KEY,)))
        await asyncio.sleep(IN_FORCE_S)
        rows.append(("withdrawn key", await _requests(instances, WITHDRAWN)))
        _print(rows)


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


async def _requests(instances, key=KEY):
    """Send requests of both kinds and count how they ended."""
    tasks = []
    for number in range(REQUESTS):
        instance = instances[number % len(instances)]
        is_booking = number % 3 == 0
        path = "/booking/1" if is_booking else "/lookup/1"
        method = "POST" if is_booking else "GET"
        tasks.append(asyncio.create_task(_ask(instance, method, path, key, number)))
        await asyncio.sleep(PAUSE_S)
    return collections.Counter(await asyncio.gather(*tasks))


async def _ask(instance, method, path, key, number):
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


def _print(rows):
    for title, counts in rows:
        print(f"  {title}:")
        for (kind, status), count in sorted(counts.items()):
            print(f"    {kind:8} {status}  {count:4}")


if __name__ == "__main__":
    main()
