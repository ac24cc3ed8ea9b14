"""Upstreams with gray failures, in separate processes."""

import json
import signal

import pytest
import urllib3


@pytest.fixture(autouse=True)
def well_again(fleet):
    yield
    for name in fleet.upstreams:
        fleet.set_faults(name, "")


def entry(fleet):
    return fleet.instances["instance-0"].callers_address


def set_all(fleet, faults):
    for name in fleet.upstreams:
        fleet.set_faults(name, faults)


def runs_of(fleet, request_id):
    return sum(
        fleet.executed_request_ids(name).count(request_id) for name in fleet.upstreams
    )


def all_runs(fleet):
    return sum(len(fleet.executed_request_ids(name)) for name in fleet.upstreams)


def book(fleet, caller, ticket=None):
    address = entry(fleet)
    ticket = ticket or caller.addresses(address, "/booking")["ticket"]
    reply = caller.send(address, "/booking/1", "POST", b"Sukkur", ticket)
    return reply, ticket


def test_half_an_answer_is_never_taken_for_the_whole(fleet, caller):
    fleet.set_faults("desk-0", "half")
    for _ in range(8):
        reply = caller.send(entry(fleet), "/catalogue/1")
        assert reply.status == 200
        assert json.loads(reply.body)["upstream"] != "desk-0"


def test_half_of_a_large_answer_breaks_the_connection(fleet, caller):
    set_all(fleet, "half")
    with pytest.raises(urllib3.exceptions.HTTPError):
        caller.send(entry(fleet), "/catalogue/1", headers={"X-Answer-Bytes": "400000"})


def test_a_large_answer_arrives_whole(fleet, caller):
    headers = {"X-Answer-Bytes": "3000000"}
    reply = caller.send(entry(fleet), "/catalogue/1", headers=headers)
    assert len(reply.body) == 3_000_000


def test_a_large_body_arrives_whole(fleet, caller):
    body = bytes(3_000_000)
    reply = caller.send(entry(fleet), "/catalogue/1", "POST", body)
    assert json.loads(reply.body)["received"] == len(body)


def test_a_shed_request_is_truly_not_run(fleet, caller):
    set_all(fleet, "shed")
    before = all_runs(fleet)
    reply, _ = book(fleet, caller)
    assert (reply.refusal, reply.run) == ("upstream-shed", "not-run")
    assert all_runs(fleet) == before


def test_a_booking_whose_answer_was_cut_is_unknown_and_never_runs_again(fleet, caller):
    set_all(fleet, "half")
    before = all_runs(fleet)
    first, ticket = book(fleet, caller)
    set_all(fleet, "")
    again, _ = book(fleet, caller, ticket)
    assert first.run == again.run == "unknown"
    assert all_runs(fleet) == before + 1


def test_a_killed_upstream_costs_no_idempotent_request(fleet, caller):
    fleet.process("desk-2").send_signal(signal.SIGKILL)
    fleet.process("desk-2").wait()
    for _ in range(12):
        assert caller.send(entry(fleet), "/catalogue/1").status == 200
