"""The main job, shown: a fleet, a request, a booking, and a key withdrawn."""

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
    """Start three instances before a few upstreams and put a note in force.

    Parameters
    ----------
    fleet : FleetProcesses
        An empty fleet.
    upstreams : int, optional
        Number of upstreams of the one service.
    rate_per_s, burst : float, optional
        Rate and burst of the client account ``fitters``.
    **callers
        Options of the ``[callers]`` section.
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
    """Wait until a request of the demonstration's key is served."""
    caller = CallerClient(KEY)
    wait_until(lambda: caller.send(address, "/catalogue/1").status == 200, address)


def main():
    """Show the main job and end."""
    with tempfile.TemporaryDirectory() as directory:
        with FleetProcesses(pathlib.Path(directory)) as fleet:
            _show(fleet)


def _show(fleet):
    start_small_fleet(fleet)
    entry = fleet.instances["instance-0"].callers_address
    print(f"Three instances run; revision {fleet.status('instance-0')['revision']}.")
    wait_until_served(fleet, entry)
    caller = CallerClient(KEY)
    answer = caller.addresses(entry, "/booking", "punjab/a")
    print(f"Asked {entry} for addresses: {', '.join(answer['addresses'])}.")
    reply = caller.send(answer["addresses"][0], "/catalogue/flue-liner")
    print(f"Catalogue: {reply.status} from {json.loads(reply.body)['upstream']}.")
    _show_booking(fleet, caller, answer)
    revision = fleet.publish_note(notes.withdrawn_key(KEY))
    fleet.wait_for_revision(revision)
    reply = caller.send(answer["addresses"][0], "/catalogue/flue-liner")
    print(f"Key withdrawn by revision {revision}: {reply.status} {reply.refusal}.")
    for name in fleet.instances:
        print(f"{name} stopped with exit code {fleet.stop_instance(name)}.")


def _show_booking(fleet, caller, answer):
    address, ticket = answer["ticket_address"], answer["ticket"]
    for attempt in ("first", "repeated"):
        reply = caller.send(address, "/booking/7", "POST", b"Sukkur", ticket)
        print(f"Booking, {attempt}: {reply.status} {reply.body.decode().strip()}")
    request = json.loads(reply.body)["request"]
    runs = sum(
        fleet.executed_request_ids(name).count(request) for name in fleet.upstreams
    )
    print(f"Upstreams ran the booking {runs} time(s).")


if __name__ == "__main__":
    main()
