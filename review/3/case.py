"""A target says in its answers that it leaves; it gets new requests nonetheless."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig as r  # noqa: E402

DRAIN_S = 2.0
HEARTBEAT_S = 1.5
LEAVING = "Server-Leaving"


async def case(rig):
    leaving, *others = [
        await rig.add_target(name) for name in ("t-a", "t-b", "t-c", "t-d", "t-e")
    ]
    routes = [r.route("lookup", "/lookup/"), r.route("book", "/book/", "unsafe")]
    rig.store.put("op/config", r.configuration(1, routes), "version 1")
    for _ in range(4):
        rig.add_instance()
    await rig.start_all()
    await asyncio.sleep(4.0)
    key = f"servers/{leaving.name}"
    if r.WITH_TROUBLE:
        rig.store.put(key, leaving.entry(), "last heartbeat")
        rig.record.add(f"{leaving.name} is cut from the store")
        rig.targets.remove(leaving)  # No more heartbeats reach the store.
        cut_s = time.monotonic()
        await asyncio.sleep(0.2)
    rig.record.add(f"{leaving.name} leaves, and says so in all its answers")
    leaving.state = "draining"
    leaving.extra_headers = {LEAVING: "1"}
    if not r.WITH_TROUBLE:
        rig.store.put(key, leaving.entry(), "draining")
    sent, passed_on_s = {}, {}

    async def press(instance, number):
        until_s = time.monotonic() + 6.0
        while time.monotonic() < until_s:
            request_id = rig.next_id()
            sent[request_id] = instance, time.monotonic()
            method, path = ("POST", "/book/1") if number % 2 else ("GET", "/lookup/1")
            _, headers, _ = await rig.send_once(
                instance, method, path, request_id=request_id
            )
            if LEAVING.lower() in headers and instance.name not in passed_on_s:
                passed_on_s[instance.name] = time.monotonic()
                rig.record.add(f"{instance.name} has passed on {LEAVING}")
            await asyncio.sleep(0.02)

    tasks = [
        asyncio.create_task(press(instance, number))
        for instance in rig.instances
        for number in range(4)
    ]
    if r.WITH_TROUBLE:
        # The store removes the entry after three intervals of silence.
        await asyncio.sleep(cut_s + 3 * HEARTBEAT_S - time.monotonic())
        rig.store.remove(key)
    await asyncio.gather(*tasks)
    if not passed_on_s:
        raise r.CannotRun(f"no answer of {leaving.name} was passed on")
    late = []
    for _, request_id, _, _ in leaving.runs:
        if request_id not in sent:
            continue
        instance, sent_s = sent[request_id]
        after_s = sent_s - passed_on_s.get(instance.name, float("inf"))
        if after_s > DRAIN_S:
            late.append(request_id)
            rig.record.add(
                f"late: {request_id} sent to {instance.name} {after_s:.2f} s after it "
                f"had passed on {LEAVING} ran on {leaving.name}"
            )
    print(f"{len(late)} of {len(sent)} requests reached the leaving target late")
    return bool(late)


r.main(FOLDER, case)
