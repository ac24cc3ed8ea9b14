"""Connections that were open before a configuration keep the limits from before."""

import asyncio
import collections
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig as r  # noqa: E402

CONFIG_APPLY_S = 2.0
OLD_BYTES, NEW_BYTES, SENT_BYTES = 262_144, 4_194_304, 360_000
CLIENTS = 24
ROUNDS = 4
ALLOWED, ONE_IN = 5, 500


async def case(rig):
    for name in ("t-a", "t-b", "t-c"):
        await rig.add_target(name)
    routes = [r.route("photos", "/photos/", "upload"), r.route("look", "/look/")]
    first, second = (
        r.configuration(version, routes, limits={"max_body_bytes": size})
        for version, size in ((1, OLD_BYTES), (2, NEW_BYTES))
    )
    rig.store.put("op/config", first if r.WITH_TROUBLE else second)
    for _ in range(3):
        rig.add_instance()
    await rig.start_all()
    await asyncio.sleep(4.0)
    clients = [
        await rig.connect(rig.instances[number % len(rig.instances)])
        for number in range(CLIENTS)
    ]
    statuses = collections.Counter()
    for client in clients:
        status, _, _ = await client.send("GET", "/look/1")
        if status != 200:
            raise r.CannotRun(f"status {status} before the change")
    if r.WITH_TROUBLE:
        rig.store.put("op/config", second, f"version 2, bodies up to {NEW_BYTES}")
    await asyncio.sleep(CONFIG_APPLY_S + 3.0)
    total = CLIENTS
    refused = 0
    for number in range(ROUNDS):
        for index, client in enumerate(clients):
            status, headers, _ = await client.send(
                "POST", "/photos/1", body=b"p" * SENT_BYTES
            )
            statuses[status] += 1
            total += 1
            if status == 413:
                refused += 1
            if status != 200 or headers.get("connection", "").lower() == "close":
                client.close()
                clients[index] = await rig.connect(
                    rig.instances[index % len(rig.instances)]
                )
        await asyncio.sleep(0.5)
    rig.record.add(f"statuses of the uploads: {dict(statuses)}")
    print(f"{refused} of {total} requests got a 413, statuses {dict(statuses)}")
    return refused > ALLOWED + total / ONE_IN


r.main(FOLDER, case)
