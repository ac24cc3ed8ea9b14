"""Machines in touch follow readers that the store turns away, for over two seconds."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig as r  # noqa: E402

CONFIG_APPLY_S = 2.0
DRAIN_S = 2.0
MACHINES = 6
ROUNDS = 6
STORM_S, STORM_GAP_S = 0.7, 0.06
WATCHED_S = 4.0
CALM_S = 5.0
"""Longer than `stable`, so that all machines are in touch again."""


class Round:
    """What was sent to machines that the store serves, after one change."""

    def __init__(self, rig, served):
        self.rig = rig
        self.served = served
        self.acknowledged_s = 0.0
        self.sent = {}

    async def press(self, instance, method, path):
        while time.monotonic() - self.acknowledged_s < WATCHED_S:
            request_id = self.rig.next_id()
            self.sent[request_id] = instance, path, time.monotonic()
            await self.rig.send_once(instance, method, path, request_id=request_id)
            await asyncio.sleep(0.02)

    async def press_all(self):
        await asyncio.gather(
            *(
                self.press(instance, method, path)
                for instance in self.served
                for method, path in (("POST", "/book/1"), ("GET", "/lookup/1"))
            )
        )

    def late(self, targets, path, bound_s):
        """Return requests sent later than a bound that ran on the targets."""
        found = []
        for target in targets:
            for _, request_id, _, _ in target.runs:
                instance, sent_path, sent_s = self.sent.get(request_id, (None,) * 3)
                if instance is None or path not in (None, sent_path):
                    continue
                after_s = sent_s - self.acknowledged_s
                if after_s > bound_s:
                    found.append((after_s, request_id, instance, target))
        return found


async def case(rig):
    for number in range(4 + ROUNDS):
        await rig.add_target(f"t-desk-{number}", "desk")
    for number in range(3):
        await rig.add_target(f"t-annex-{number}", "annex")

    def version(number, service):
        routes = [
            r.route("lookup", "/lookup/", service="desk"),
            r.route("book", "/book/", "unsafe", service),
        ]
        return r.configuration(number, routes, services=("desk", "annex"))

    number, service, other = 1, "desk", "annex"
    rig.store.put("op/config", version(number, service), "version 1")
    for _ in range(MACHINES):
        rig.add_instance()
    await rig.start_all()
    await asyncio.sleep(CALM_S)
    broken = drained_late = 0
    for index in range(ROUNDS):
        calls = {item.name: item.link.calls for item in rig.instances}
        await asyncio.sleep(2.0)
        readers = [
            item for item in rig.instances if item.link.calls - calls[item.name] >= 2
        ][:2]
        rig.record.add("readers: " + ", ".join(item.name for item in readers))
        storm_until_s = time.monotonic() + STORM_S
        while time.monotonic() < storm_until_s:
            number += 1
            rig.store.put("op/config", version(number, service), f"version {number}")
            await asyncio.sleep(STORM_GAP_S)
        if r.WITH_TROUBLE:
            rig.record.add("the store turns the readers away")
            for item in readers:
                item.link.reset()
        await asyncio.sleep(0.02)
        number += 1
        service, other = other, service
        one = Round(rig, [item for item in rig.instances if item not in readers])
        one.acknowledged_s = rig.store.put(
            "op/config",
            version(number, service),
            f"version {number}: /book/ to {service}",
        )
        leaving = rig.targets[0]
        leaving.state = "draining"
        rig.store.put(f"servers/{leaving.name}", leaving.entry(), "draining")
        await one.press_all()
        old = [target for target in rig.targets if target.service == other]
        by_old = one.late(old, "/book/1", CONFIG_APPLY_S)
        at_leaving = one.late([leaving], None, DRAIN_S)
        for after_s, request_id, instance, target in by_old:
            rig.record.add(
                f"old service: {request_id} sent to {instance.name} {after_s:.2f} s "
                f"after the acknowledgement of version {number} ran on {target.name}"
            )
        for after_s, request_id, instance, target in at_leaving:
            rig.record.add(
                f"leaving target: {request_id} sent to {instance.name} {after_s:.2f} s "
                f"after the acknowledgement ran on {target.name}"
            )
        print(
            f"round {index + 1}: {len(by_old)} requests were run by the old service "
            f"and {len(at_leaving)} by the leaving target over 2 s late"
        )
        broken += bool(by_old)
        drained_late += bool(at_leaving)
        rig.store.remove(f"servers/{leaving.name}")
        rig.targets.remove(leaving)
        for item in readers:
            item.link.heal()
        await asyncio.sleep(CALM_S)
    rig.record.add(f"CONFIG broken in {broken}, DRAIN in {drained_late} of {ROUNDS}")
    return bool(broken)


r.main(FOLDER, case)
