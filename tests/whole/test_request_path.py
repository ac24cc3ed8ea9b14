"""Requests from caller to upstream through separate processes."""

import json

from standins import notes
from standins.caller import CallerClient
from standins.demo import KEY
from standins.fleet import fetch


def send_booking(caller, fleet, body=b"Sukkur"):
    address = fleet.instances["instance-0"].callers_address
    offer = caller.fetch_addresses(address, "/booking")
    return (
        caller.send(
            offer["ticket_address"], "/booking/1", "POST", body, offer["ticket"]
        ),
        offer,
    )


def test_address_response_lists_every_instance(fleet, caller):
    offer = caller.fetch_addresses(fleet.instances["instance-1"].callers_address)
    expected = {instance.callers_address for instance in fleet.instances.values()}
    assert set(offer["addresses"]) == expected
    assert offer["ticket"] is None


def test_every_instance_serves(fleet, caller):
    for instance in fleet.instances.values():
        response = caller.send(instance.callers_address, "/catalogue/1")
        assert response.status == 200
        assert json.loads(response.body)["path"] == "/catalogue/1"


def test_upstreams_receive_no_api_key(fleet, caller):
    caller.send(fleet.instances["instance-0"].callers_address, "/catalogue/1")
    assert not any(fleet.count_requests_with_key(name) for name in fleet.upstreams)


def test_repeated_booking_gets_the_recorded_response(fleet, caller):
    first, offer = send_booking(caller, fleet)
    repeated = caller.send(
        offer["ticket_address"], "/booking/1", "POST", b"Sukkur", offer["ticket"]
    )
    assert first.status == repeated.status == 200
    assert first.body == repeated.body
    request = json.loads(first.body)["request"]
    assert (
        sum(fleet.executed_request_ids(name).count(request) for name in fleet.upstreams)
        == 1
    )


def test_booking_without_ticket_is_refused_with_a_ticket(fleet, caller):
    address = fleet.instances["instance-0"].callers_address
    response = caller.send(address, "/booking/1", "POST", b"")
    assert (response.status, response.run) == (428, "not-run")
    ticket = response.headers["Chervilpitch-Ticket"]
    assert caller.send(address, "/booking/1", "POST", b"", ticket).status == 200


def test_unknown_key_is_refused(fleet):
    address = fleet.instances["instance-0"].callers_address
    response = CallerClient("no such key").send(address, "/catalogue/1")
    assert (response.status, response.refusal) == (401, "key-unknown")


def test_withdrawn_key_is_refused_on_an_open_connection(fleet):
    fleet.wait_for_revision(fleet.publish_note(notes.key("second", "fitters")))
    caller = CallerClient("second")
    address = fleet.instances["instance-0"].callers_address
    assert caller.send(address, "/catalogue/1").status == 200
    fleet.wait_for_revision(fleet.publish_note(notes.withdrawn_key("second")))
    assert caller.send(address, "/catalogue/1").refusal == "key-unknown"


def test_logs_and_admin_pages_contain_no_api_key(fleet, caller):
    caller.send(fleet.instances["instance-0"].callers_address, "/catalogue/1")
    for name, instance in fleet.instances.items():
        assert KEY not in fleet.log_text(name)
        for page in ("/status", "/metrics", "/events"):
            content = fetch(instance.admin_address, page)
            assert content and KEY.encode() not in content
