"""A request from end to end through separate processes."""

import json

from standins import notes
from standins.caller import CallerClient
from standins.demo import KEY
from standins.fleet import fetch


def booking(caller, fleet, body=b"Sukkur"):
    entry = fleet.instances["instance-0"].callers_address
    answer = caller.addresses(entry, "/booking")
    return (
        caller.send(
            answer["ticket_address"], "/booking/1", "POST", body, answer["ticket"]
        ),
        answer,
    )


def test_address_answer_names_every_instance(fleet, caller):
    answer = caller.addresses(fleet.instances["instance-1"].callers_address)
    named = {place.callers_address for place in fleet.instances.values()}
    assert set(answer["addresses"]) == named
    assert answer["ticket"] is None


def test_every_instance_serves(fleet, caller):
    for place in fleet.instances.values():
        reply = caller.send(place.callers_address, "/catalogue/1")
        assert reply.status == 200
        assert json.loads(reply.body)["path"] == "/catalogue/1"


def test_no_upstream_sees_a_key(fleet, caller):
    caller.send(fleet.instances["instance-0"].callers_address, "/catalogue/1")
    assert not any(fleet.count_requests_with_key(name) for name in fleet.upstreams)


def test_repeated_booking_gets_the_recorded_answer(fleet, caller):
    first, answer = booking(caller, fleet)
    again = caller.send(
        answer["ticket_address"], "/booking/1", "POST", b"Sukkur", answer["ticket"]
    )
    assert first.status == again.status == 200
    assert first.body == again.body
    request = json.loads(first.body)["request"]
    assert (
        sum(fleet.executed_request_ids(name).count(request) for name in fleet.upstreams)
        == 1
    )


def test_booking_without_ticket_is_refused_with_a_ticket(fleet, caller):
    entry = fleet.instances["instance-0"].callers_address
    reply = caller.send(entry, "/booking/1", "POST", b"")
    assert (reply.status, reply.run) == (428, "not-run")
    ticket = reply.headers["Chervilpitch-Ticket"]
    assert caller.send(entry, "/booking/1", "POST", b"", ticket).status == 200


def test_unknown_key_is_refused(fleet):
    entry = fleet.instances["instance-0"].callers_address
    reply = CallerClient("no such key").send(entry, "/catalogue/1")
    assert (reply.status, reply.refusal) == (401, "key-unknown")


def test_withdrawn_key_is_refused_on_an_open_connection(fleet):
    fleet.wait_for_revision(fleet.publish_note(notes.key("second", "fitters")))
    caller = CallerClient("second")
    entry = fleet.instances["instance-0"].callers_address
    assert caller.send(entry, "/catalogue/1").status == 200
    fleet.wait_for_revision(fleet.publish_note(notes.withdrawn_key("second")))
    assert caller.send(entry, "/catalogue/1").refusal == "key-unknown"


def test_nothing_emitted_shows_a_key(fleet, caller):
    caller.send(fleet.instances["instance-0"].callers_address, "/catalogue/1")
    for name, place in fleet.instances.items():
        assert KEY not in fleet.log_text(name)
        for page in ("/status", "/metrics", "/events"):
            shown = fetch(place.admin_address, page)
            assert shown and KEY.encode() not in shown
