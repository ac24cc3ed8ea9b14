"""A fleet of today's size in separate processes, with its stand-ins.

Prints how long a release note and a withdrawn key take to be in force on every
instance, the calls on the configuration service, and what each instance spends
on control while no caller sends anything.
"""

import argparse
import json
import pathlib
import sys
import tempfile
import time

import numpy as np
import psutil
from tqdm import tqdm

from standins import notes
from standins.caller import CallerClient
from standins.fleet import FleetProcesses, wait_until

__all__ = ["main"]

REGIONS = ("punjab", "sindh", "khyber")
DOMAINS = tuple(f"{region}/{domain}" for region in REGIONS for domain in "ab")
KEY = "an example key"
MB = 1_000_000
POLL_S = 0.02


def main():
    """Measure and print one table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=36)
    parser.add_argument("--notes", type=int, default=5)
    parser.add_argument("--idle-s", type=float, default=20.0)
    parser.add_argument("--json", type=pathlib.Path)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        with FleetProcesses(pathlib.Path(directory) / "fleet") as fleet:
            _start(fleet, arguments.instances)
            result = {
                "instances": arguments.instances,
                "note_in_force_s": _note_times(fleet, arguments.notes),
                "key_refused_s": _withdrawal_time(fleet),
                **_idle(fleet, arguments.idle_s),
            }
    for name, value in result.items():
        print(f"{name}: {value}")
    if arguments.json:
        arguments.json.write_text(json.dumps(result, indent=1))


def _start(fleet, count):
    fleet.start_platform()
    text = "".join(notes.seat(n, DOMAINS[n % len(DOMAINS)]) for n in range(count))
    text += notes.account("fitters", 1_000, 1_000) + notes.key(KEY, "fitters")
    text += notes.route("catalogue", "/catalogue", "desk", idempotent=True)
    for number in range(4):
        address = fleet.start_upstream(f"desk-{number}")
        domain = DOMAINS[number]
        text += notes.upstream(f"desk-{number}", "desk", address, domain)
    for number in range(count):
        fleet.add_instance(f"instance-{number}", number, DOMAINS[number % len(DOMAINS)])
    revision = fleet.publish_note(text)
    for name in tqdm(fleet.instances, file=sys.stderr):
        fleet.start_instance(name)
    fleet.wait_for_revision(revision)
    for name in fleet.instances:
        wait_until(lambda name=name: fleet.status(name)["holds_seat"], name, 60.0)


def _note_times(fleet, count):
    """Return the seconds until each note is in force on every instance."""
    taken = []
    for number in range(count):
        name = f"account-{number}"
        revision = fleet.publish_note(notes.account(name, 10, 10))
        started = time.monotonic()
        fleet.wait_for_revision(revision)
        taken.append(round(time.monotonic() - started, 2))
    return taken


def _withdrawal_time(fleet):
    """Return the seconds until every instance refuses a withdrawn key."""
    caller = CallerClient(KEY)
    fleet.publish_note(notes.withdrawn_key(KEY))
    started = time.monotonic()
    serving = set(fleet.instances)
    while serving:
        for name in list(serving):
            reply = caller.send(fleet.instances[name].callers_address, "/catalogue/1")
            if reply.refusal == "key-unknown":
                serving.discard(name)
        time.sleep(POLL_S)
    return round(time.monotonic() - started, 2)


def _idle(fleet, seconds):
    """Return what an instance spends on control without callers."""
    processes = [psutil.Process(fleet.process(name).pid) for name in fleet.instances]
    processor_before = [sum(process.cpu_times()[:2]) for process in processes]
    bytes_before = [fleet.status(name)["peer_bytes"] for name in fleet.instances]
    calls_before = fleet.platform_calls()
    time.sleep(seconds)
    spent = np.array([sum(p.cpu_times()[:2]) for p in processes]) - processor_before
    sent = np.array([fleet.status(n)["peer_bytes"] for n in fleet.instances])
    traffic = (sent - bytes_before) / seconds
    calls = (fleet.platform_calls() - calls_before) / seconds
    memory = [process.memory_info().rss / MB for process in processes]
    return {
        "core_share_median": round(float(np.median(spent)) / seconds, 4),
        "core_share_most": round(float(max(spent)) / seconds, 4),
        "peer_bytes_per_s_median": round(float(np.median(traffic))),
        "peer_bytes_per_s_most": round(float(max(traffic))),
        "resident_mb_most": round(max(memory), 1),
        "platform_calls_per_s": round(calls, 1),
    }


if __name__ == "__main__":
    main()
