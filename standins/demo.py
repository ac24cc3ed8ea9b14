"""Demonstration of a fleet: a request, a booking and the withdrawal of a key."""

import json
import pathlib
import tempfile

from . import notes
from .caller import CallerClient
from .fleet import FleetProcesses, wait_until

__all__ = ["main", "start_small_fleet"]

KEY = "example-key-of-the-fitters"
DOMAINS = ("punjab/a", "punjab/b", "sindh/a")


def start_small_fleet(fleet, upstreams=3, rate_per_s=600, burst=1_200, **callers):
    """Start upstreams and three instances that have applied a first release note.

    Parameters
    ----------
    fleet : FleetProcesses
        Fleet without processes.
    upstreams : int, optional
        Number of upstreams of the service ``desk``.
    rate_per_s, burst : float, optional
        Requests per second and burst of the client account ``fitters``.
    **callers
        Options of the ``[callers]`` section of the settings.
    """
    fleet.start_platform()
    text = "".join(notes.seat(n, domain) for n, domain in enumerate(DOMAINS))
    text += notes.account("fitters", rate_per_s, burst) + notes.key(KEY, "fitters")
    text += notes.route("catalogue", "/catalogue", "desk", idempotent=True)
    text += notes.route("booking", "/booking", "desk", idempotent=False)
    for number in range(upstreams):
        name, domain = f"desk-{number}", DOMAINS[number % len(DOMAINS)]
        text += notes.upstream(name, "desk", fleet.start_upstream(name), domain)
    for number, domain in enumerate(DOMAINS):
        fleet.add_instance(f"instance-{number}", number, domain)
    revision = fleet.publish_note(text)
    for name in fleet.instances:
        fleet.start_instance(name, **callers)
    fleet.wait_for_revision(revision)


def wait_until_served(fleet, address):
    """Wait until an instance serves a request with the demonstration's API key."""
    caller = CallerClient(KEY)
    wait_until(lambda: caller.send(address, "/catalogue/1").status == 200, address)


def main():
    """Run the demonstration."""
    with tempfile.TemporaryDirectory() as directory:
        with FleetProcesses(pathlib.Path(directory)) as fleet:
            _run_demonstration(fleet)


def _run_demonstration(fleet):
    start_small_fleet(fleet)
    address = fleet.instances["instance-0"].callers_address
    print(f"Three instances run at revision {fleet.status('instance-0')['revision']}.")
    wait_until_served(fleet, address)
    caller = CallerClient(KEY)
    offer = caller.fetch_addresses(address, "/booking", "punjab/a")
    print(f"Addresses from {address}: {', '.join(offer['addresses'])}.")
    response = caller.send(offer["addresses"][0], "/catalogue/flue-liner")
    print(f"Lookup: {response.status} from {json.loads(response.body)['upstream']}.")
    _demonstrate_booking(fleet, caller, offer)
    revision = fleet.publish_note(notes.withdrawn_key(KEY))
    fleet.wait_for_revision(revision)
    response = caller.send(offer["addresses"][0], "/catalogue/flue-liner")
    print(
        f"Key withdrawn at revision {revision}: {response.status} {response.refusal}."
    )
    for name in fleet.instances:
        print(f"{name} stopped with exit code {fleet.stop_instance(name)}.")


def _demonstrate_booking(fleet, caller, offer):
    address, ticket = offer["ticket_address"], offer["ticket"]
    for attempt in ("first", "repeated"):
        response = caller.send(address, "/booking/7", "POST", b"Sukkur", ticket)
        print(f"Booking, {attempt}: {response.status} {response.body.decode().strip()}")
    request = json.loads(response.body)["request"]
    run_count = sum(
        fleet.executed_request_ids(name).count(request) for name in fleet.upstreams
    )
    print(f"Upstreams ran the booking {run_count} time(s).")


if __name__ == "__main__":
    main()
