"""Graceful stops and replacement, in separate processes."""

import json
import signal
import threading

from standins.caller import CallerClient
from standins.demo import KEY, wait_until_served
from standins.fleet import wait_until


def test_a_stop_cuts_no_request(fleet):
    place = fleet.instances["instance-1"]
    replies = []
    for name in fleet.upstreams:
        fleet.set_faults(name, "slow 1")

    def send():
        replies.append(CallerClient(KEY).send(place.callers_address, "/catalogue/1"))

    threads = [threading.Thread(target=send) for _ in range(3)]
    for thread in threads:
        thread.start()
    wait_until(lambda: fleet.status("instance-1")["in_progress"] == 3, place.name)
    assert fleet.stop_instance("instance-1", signal.SIGTERM) == 0
    for thread in threads:
        thread.join()
    assert [reply.status for reply in replies] == [200, 200, 200]
    assert all(json.loads(reply.body)["path"] == "/catalogue/1" for reply in replies)


def test_a_replacement_serves_with_the_seat_of_the_one_it_replaces(fleet):
    for name in fleet.upstreams:
        fleet.set_faults(name, "")
    fleet.start_instance("instance-1")
    wait_until(lambda: fleet.status("instance-1")["holds_seat"], "instance-1")
    wait_until_served(fleet, fleet.instances["instance-1"].callers_address)


def test_a_leaving_instance_leaves_the_address_answers(fleet, caller):
    fleet.stop_instance("instance-2", signal.SIGKILL)
    fleet.start_instance("instance-2", stop_within_s=20)
    place = fleet.instances["instance-2"]
    entry = fleet.instances["instance-0"].callers_address
    wait_until(
        lambda: place.callers_address in caller.addresses(entry)["addresses"],
        place.name,
    )
    fleet.process("instance-2").send_signal(signal.SIGTERM)
    wait_until(
        lambda: place.callers_address not in caller.addresses(entry)["addresses"],
        place.name,
    )
    reply = caller.send(place.callers_address, "/catalogue/1")
    assert reply.headers["Connection"] == "close"
    assert reply.status == 200 or reply.run == "not-run"
    assert fleet.process("instance-2").poll() is None
