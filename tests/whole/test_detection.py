"""Detection of a gray upstream under load, with separate processes."""

import threading

import pytest

from standins.caller import CallerClient
from standins.demo import KEY, start_small_fleet, wait_until_served
from standins.fleet import FleetProcesses, wait_until

CALLER_COUNT = 6


@pytest.fixture
def fleet(tmp_path):
    with FleetProcesses(tmp_path / "fleet") as processes:
        start_small_fleet(processes, upstreams=6)
        wait_until_served(processes, processes.instances["instance-0"].callers_address)
        yield processes


def test_slow_upstream_is_ejected_under_load(fleet):
    address = fleet.instances["instance-0"].callers_address
    stop_event = threading.Event()

    def send():
        caller = CallerClient(KEY)
        while not stop_event.is_set():
            caller.send(address, "/catalogue/1")

    def is_ejected():
        upstreams = fleet.status("instance-0")["upstreams"]
        states = {item["name"]: item["state"] for item in upstreams}
        return states["desk-0"] == "ejected"

    threads = [threading.Thread(target=send) for _ in range(CALLER_COUNT)]
    for thread in threads:
        thread.start()
    try:
        fleet.set_faults("desk-0", "slow 2")
        wait_until(is_ejected, "desk-0")
    finally:
        stop_event.set()
        for thread in threads:
            thread.join()
