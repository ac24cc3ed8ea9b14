"""Measure a fleet in separate processes, with stand-ins for its environment.

Prints how long a release note and a withdrawn key take to come into force on every
instance, the calls to the configuration service, and the cost of control in each
instance while no caller sends requests.
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
BYTES_PER_MB = 1_000_000
POLL_S = 0.02


def main():
    """Run the measurements and print their results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=36)
    parser.add_argument("--notes", type=int, default=5)
    parser.add_argument("--idle-s", type=float, default=20.0)
    parser.add_argument("--json", type=pathlib.Path)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        with FleetProcesses(pathlib.Path(directory) / "fleet") as fleet:
            _start_fleet(fleet, arguments.instances)
            result = {
                "instances": arguments.instances,
                "note_in_force_s": _measure_note_times_s(fleet, arguments.notes),
                "key_refused_s": _measure_withdrawal_time_s(fleet),
                **_measure_idle_cost(fleet, arguments.idle_s),
            }
    for name, value in result.items():
        print(f"{name}: {value}")
    if arguments.json:
        arguments.json.write_text(json.dumps(result, indent=1))


def _start_fleet(fleet, count):
    fleet.start_platform()
    note_text = "".join(notes.seat(n, DOMAINS[n % len(DOMAINS)]) for n in range(count))
    note_text += notes.account("fitters", 1_000, 1_000) + notes.key(KEY, "fitters")
    note_text += notes.route("catalogue", "/catalogue", "desk", idempotent=True)
    for number in range(4):
        address = fleet.start_upstream(f"desk-{number}")
        domain = DOMAINS[number]
        note_text += notes.upstream(f"desk-{number}", "desk", address, domain)
    for number in range(count):
        fleet.add_instance(f"instance-{number}", number, DOMAINS[number % len(DOMAINS)])
    revision = fleet.publish_note(note_text)
    for name in tqdm(fleet.instances, file=sys.stderr):
        fleet.start_instance(name)
    fleet.wait_for_revision(revision)
    for name in fleet.instances:
        wait_until(lambda name=name: fleet.status(name)["holds_seat"], name, 60.0)


def _measure_note_times_s(fleet, count):
    """Return the seconds until each of `count` notes is in force on every instance."""
    times_s = []
    for number in range(count):
        name = f"account-{number}"
        revision = fleet.publish_note(notes.account(name, 10, 10))
        started_s = time.monotonic()
        fleet.wait_for_revision(revision)
        times_s.append(round(time.monotonic() - started_s, 2))
    return times_s


def _measure_withdrawal_time_s(fleet):
    """Return the seconds until every instance refuses a withdrawn key."""
    caller = CallerClient(KEY)
    fleet.publish_note(notes.withdrawn_key(KEY))
    started_s = time.monotonic()
    serving_names = set(fleet.instances)
    while serving_names:
        for name in list(serving_names):
            response = caller.send(
                fleet.instances[name].callers_address, "/catalogue/1"
            )
            if response.refusal == "key-unknown":
                serving_names.discard(name)
        time.sleep(POLL_S)
    return round(time.monotonic() - started_s, 2)


def _measure_idle_cost(fleet, duration_s):
    """Return the cost of control in an instance without callers."""
    processes = [psutil.Process(fleet.process(name).pid) for name in fleet.instances]
    cpu_before_s = [sum(process.cpu_times()[:2]) for process in processes]
    bytes_before = [fleet.status(name)["peer_bytes"] for name in fleet.instances]
    calls_before = fleet.platform_calls()
    time.sleep(duration_s)
    cpu_used_s = np.array([sum(p.cpu_times()[:2]) for p in processes]) - cpu_before_s
    bytes_now = np.array([fleet.status(n)["peer_bytes"] for n in fleet.instances])
    bytes_per_s = (bytes_now - bytes_before) / duration_s
    calls_per_s = (fleet.platform_calls() - calls_before) / duration_s
    resident_mb = [process.memory_info().rss / BYTES_PER_MB for process in processes]
    return {
        "core_share_median": round(float(np.median(cpu_used_s)) / duration_s, 4),
        "core_share_most": round(float(max(cpu_used_s)) / duration_s, 4),
        "peer_bytes_per_s_median": round(float(np.median(bytes_per_s))),
        "peer_bytes_per_s_most": round(float(max(bytes_per_s))),
        "resident_mb_most": round(max(resident_mb), 1),
        "platform_calls_per_s": round(calls_per_s, 1),
    }


if __name__ == "__main__":
    main()
