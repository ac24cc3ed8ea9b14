"""Upstreams with gray failures, with separate processes."""

import json
import signal

import pytest
import urllib3


@pytest.fixture(autouse=True)
def clear_faults(fleet):
    yield
    for name in fleet.upstreams:
        fleet.set_faults(name, "")


def first_instance_address(fleet):
    return fleet.instances["instance-0"].callers_address


def set_all_faults(fleet, faults):
    for name in fleet.upstreams:
        fleet.set_faults(name, faults)


def count_runs_of(fleet, request_id):
    return sum(
        fleet.executed_request_ids(name).count(request_id) for name in fleet.upstreams
    )


def count_runs(fleet):
    return sum(len(fleet.executed_request_ids(name)) for name in fleet.upstreams)


def send_booking(fleet, caller, ticket=None):
    address = first_instance_address(fleet)
    ticket = ticket or caller.fetch_addresses(address, "/booking")["ticket"]
    response = caller.send(address, "/booking/1", "POST", b"Sukkur", ticket)
    return response, ticket


def test_truncated_response_is_not_forwarded_as_complete(fleet, caller):
    fleet.set_faults("desk-0", "half")
    for _ in range(8):
        response = caller.send(first_instance_address(fleet), "/catalogue/1")
        assert response.status == 200
        assert json.loads(response.body)["upstream"] != "desk-0"


@pytest.mark.parametrize("sent_bytes", [1, 17, 43, 60])
def test_response_cut_in_its_head_is_not_forwarded_as_complete(
    fleet, caller, sent_bytes
):
    set_all_faults(fleet, f"cut {sent_bytes}")
    response = caller.send(first_instance_address(fleet), "/catalogue/1")
    assert (response.status, response.refusal) == (502, "upstream-failed")


def test_booking_with_a_response_cut_in_its_head_is_unknown_and_not_rerun(
    fleet, caller
):
    set_all_faults(fleet, "cut 43")
    runs_before = count_runs(fleet)
    first, ticket = send_booking(fleet, caller)
    set_all_faults(fleet, "")
    repeated, _ = send_booking(fleet, caller, ticket)
    assert first.run == repeated.run == "unknown"
    assert count_runs(fleet) == runs_before + 1


def test_large_truncated_response_breaks_the_connection(fleet, caller):
    set_all_faults(fleet, "half")
    with pytest.raises(urllib3.exceptions.HTTPError):
        caller.send(
            first_instance_address(fleet),
            "/catalogue/1",
            headers={"X-Answer-Bytes": "400000"},
        )


def test_large_response_arrives_complete(fleet, caller):
    headers = {"X-Answer-Bytes": "3000000"}
    response = caller.send(
        first_instance_address(fleet), "/catalogue/1", headers=headers
    )
    assert len(response.body) == 3_000_000


def test_large_request_body_arrives_complete(fleet, caller):
    body = bytes(3_000_000)
    response = caller.send(first_instance_address(fleet), "/catalogue/1", "POST", body)
    assert json.loads(response.body)["received"] == len(body)


def test_shed_request_is_not_run(fleet, caller):
    set_all_faults(fleet, "shed")
    runs_before = count_runs(fleet)
    response, _ = send_booking(fleet, caller)
    assert (response.refusal, response.run) == ("upstream-shed", "not-run")
    assert count_runs(fleet) == runs_before


def test_booking_with_truncated_response_is_unknown_and_not_rerun(fleet, caller):
    set_all_faults(fleet, "half")
    runs_before = count_runs(fleet)
    first, ticket = send_booking(fleet, caller)
    set_all_faults(fleet, "")
    repeated, _ = send_booking(fleet, caller, ticket)
    assert first.run == repeated.run == "unknown"
    assert count_runs(fleet) == runs_before + 1


def test_killed_upstream_fails_no_idempotent_request(fleet, caller):
    fleet.process("desk-2").send_signal(signal.SIGKILL)
    fleet.process("desk-2").wait()
    for _ in range(12):
        assert caller.send(first_instance_address(fleet), "/catalogue/1").status == 200
