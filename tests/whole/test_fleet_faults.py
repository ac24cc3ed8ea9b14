"""Faults of instances and of the platform, in separate processes."""

import signal
import time

import pytest

from standins import notes
from standins.caller import CallerClient
from standins.demo import KEY, wait_until_served
from standins.fleet import wait_until

FROZEN_S = 8.0
IDLE_LIMIT_S = 60.0


@pytest.fixture(autouse=True)
def platform_well(fleet):
    yield
    fleet.set_platform_mode("well")


def test_a_frozen_instance_wakes_without_serving_a_withdrawn_key(fleet):
    fleet.stop_instance("instance-2")
    fleet.start_instance("instance-2", stall_timeout_s=IDLE_LIMIT_S)
    fleet.wait_for_revision(fleet.publish_note(notes.key("frozen", "fitters")))
    victim = fleet.instances["instance-2"]
    wait_until_served(fleet, victim.callers_address)
    caller = CallerClient("frozen")
    assert caller.send(victim.callers_address, "/catalogue/1").status == 200
    fleet.process("instance-2").send_signal(signal.SIGSTOP)
    revision = fleet.publish_note(notes.withdrawn_key("frozen"))
    fleet.wait_for_revision(revision, ["instance-0", "instance-1"])
    time.sleep(FROZEN_S)
    fleet.process("instance-2").send_signal(signal.SIGCONT)
    reply = caller.send(victim.callers_address, "/catalogue/1")
    assert reply.refusal in ("key-unknown", "keys-not-fresh")
    assert reply.run == "not-run"
    fleet.wait_for_revision(revision)
    wait_until_served(fleet, victim.callers_address)


def test_requests_are_served_while_the_platform_is_away(fleet, caller):
    fleet.set_platform_mode("absent")
    time.sleep(FROZEN_S)
    for place in fleet.instances.values():
        assert caller.send(place.callers_address, "/catalogue/1").status == 200


def test_a_stale_platform_reverts_nothing(fleet, caller):
    before = fleet.status("instance-0")["revision"]
    (fleet.values_directory / "notes/head").write_text("1 0000")
    time.sleep(FROZEN_S)
    for name in fleet.instances:
        assert fleet.status(name)["revision"] == before
    fleet.publish_head()
    assert (
        caller.send(
            fleet.instances["instance-0"].callers_address, "/catalogue/1"
        ).status
        == 200
    )


def test_a_replaced_instance_takes_the_state_from_peers(fleet, caller):
    revision = fleet.status("instance-0")["revision"]
    fleet.stop_instance("instance-1", signal.SIGKILL)
    fleet.set_platform_mode("notes-absent")
    fleet.start_instance("instance-1")
    fleet.wait_for_revision(revision)
    wait_until_served(fleet, fleet.instances["instance-1"].callers_address)


def test_an_instance_alone_refuses(fleet):
    fleet.set_platform_mode("absent")
    for name in ("instance-1", "instance-2"):
        fleet.process(name).send_signal(signal.SIGSTOP)
    alone = fleet.instances["instance-0"].callers_address
    caller = CallerClient(KEY)

    def is_refused():
        return caller.send(alone, "/catalogue/1").refusal == "keys-not-fresh"

    wait_until(is_refused, alone)
    for name in ("instance-1", "instance-2"):
        fleet.process(name).send_signal(signal.SIGCONT)
    fleet.set_platform_mode("well")
    wait_until_served(fleet, alone)
