"""Faults of instances and of the configuration service, with separate processes."""

import signal
import time

import pytest

from standins import notes
from standins.caller import CallerClient
from standins.demo import KEY, wait_until_served
from standins.fleet import wait_until

FAULT_DURATION_S = 8.0
STALL_TIMEOUT_S = 60.0


@pytest.fixture(autouse=True)
def restore_platform(fleet):
    yield
    fleet.set_platform_mode("well")


def test_resumed_instance_serves_no_withdrawn_key(fleet):
    fleet.stop_instance("instance-2")
    fleet.start_instance("instance-2", stall_timeout_s=STALL_TIMEOUT_S)
    fleet.wait_for_revision(fleet.publish_note(notes.key("frozen", "fitters")))
    suspended = fleet.instances["instance-2"]
    wait_until_served(fleet, suspended.callers_address)
    caller = CallerClient("frozen")
    assert caller.send(suspended.callers_address, "/catalogue/1").status == 200
    fleet.process("instance-2").send_signal(signal.SIGSTOP)
    revision = fleet.publish_note(notes.withdrawn_key("frozen"))
    fleet.wait_for_revision(revision, ["instance-0", "instance-1"])
    time.sleep(FAULT_DURATION_S)
    fleet.process("instance-2").send_signal(signal.SIGCONT)
    response = caller.send(suspended.callers_address, "/catalogue/1")
    assert response.refusal in ("key-unknown", "keys-not-fresh")
    assert response.run == "not-run"
    fleet.wait_for_revision(revision)
    wait_until_served(fleet, suspended.callers_address)


def test_requests_are_served_while_the_platform_is_unavailable(fleet, caller):
    fleet.set_platform_mode("absent")
    time.sleep(FAULT_DURATION_S)
    for instance in fleet.instances.values():
        assert caller.send(instance.callers_address, "/catalogue/1").status == 200


def test_stale_head_reverts_no_revision(fleet, caller):
    revision = fleet.status("instance-0")["revision"]
    (fleet.values_directory / "notes/head").write_text("1 0000")
    time.sleep(FAULT_DURATION_S)
    for name in fleet.instances:
        assert fleet.status(name)["revision"] == revision
    fleet.publish_head()
    assert (
        caller.send(
            fleet.instances["instance-0"].callers_address, "/catalogue/1"
        ).status
        == 200
    )


def test_restarted_instance_fetches_configuration_from_peers(fleet, caller):
    revision = fleet.status("instance-0")["revision"]
    fleet.stop_instance("instance-1", signal.SIGKILL)
    fleet.set_platform_mode("notes-absent")
    fleet.start_instance("instance-1")
    fleet.wait_for_revision(revision)
    wait_until_served(fleet, fleet.instances["instance-1"].callers_address)


def test_isolated_instance_refuses_requests(fleet):
    fleet.set_platform_mode("absent")
    for name in ("instance-1", "instance-2"):
        fleet.process(name).send_signal(signal.SIGSTOP)
    address = fleet.instances["instance-0"].callers_address
    caller = CallerClient(KEY)

    def is_refused():
        return caller.send(address, "/catalogue/1").refusal == "keys-not-fresh"

    wait_until(is_refused, address)
    for name in ("instance-1", "instance-2"):
        fleet.process(name).send_signal(signal.SIGCONT)
    fleet.set_platform_mode("well")
    wait_until_served(fleet, address)
