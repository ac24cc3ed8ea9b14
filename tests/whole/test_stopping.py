"""Graceful stops and replacement of instances, with separate processes."""

import json
import signal
import threading

from standins.caller import CallerClient
from standins.demo import KEY, wait_until_served
from standins.fleet import wait_until


def test_graceful_stop_completes_requests_in_flight(fleet):
    instance = fleet.instances["instance-1"]
    responses = []
    for name in fleet.upstreams:
        fleet.set_faults(name, "slow 1")

    def send():
        responses.append(
            CallerClient(KEY).send(instance.callers_address, "/catalogue/1")
        )

    threads = [threading.Thread(target=send) for _ in range(3)]
    for thread in threads:
        thread.start()
    wait_until(lambda: fleet.status("instance-1")["in_progress"] == 3, instance.name)
    assert fleet.stop_instance("instance-1", signal.SIGTERM) == 0
    for thread in threads:
        thread.join()
    assert [response.status for response in responses] == [200, 200, 200]
    assert all(
        json.loads(response.body)["path"] == "/catalogue/1" for response in responses
    )


def test_replacement_acquires_the_seat_of_its_predecessor(fleet):
    for name in fleet.upstreams:
        fleet.set_faults(name, "")
    fleet.start_instance("instance-1")
    wait_until(lambda: fleet.status("instance-1")["holds_seat"], "instance-1")
    wait_until_served(fleet, fleet.instances["instance-1"].callers_address)


def test_leaving_instance_is_no_longer_offered_to_callers(fleet, caller):
    fleet.stop_instance("instance-2", signal.SIGKILL)
    fleet.start_instance("instance-2", stop_within_s=20)
    instance = fleet.instances["instance-2"]
    address = fleet.instances["instance-0"].callers_address
    wait_until(
        lambda: instance.callers_address
        in caller.fetch_addresses(address)["addresses"],
        instance.name,
    )
    fleet.process("instance-2").send_signal(signal.SIGTERM)
    wait_until(
        lambda: instance.callers_address
        not in caller.fetch_addresses(address)["addresses"],
        instance.name,
    )
    response = caller.send(instance.callers_address, "/catalogue/1")
    assert response.headers["Connection"] == "close"
    assert response.status == 200 or response.run == "not-run"
    assert fleet.process("instance-2").poll() is None
