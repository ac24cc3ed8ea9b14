"""A small fleet in separate processes, for the demonstration and the tests."""

import contextlib
import hashlib
import json
import os
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import time
from typing import NamedTuple

import urllib3

__all__ = ["FleetProcesses", "InstanceAddresses"]

READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 60.0
HOST = "127.0.0.1"


class InstanceAddresses(NamedTuple):
    """Identity and addresses of one instance of the fleet.

    Parameters
    ----------
    name : str
        Name of the instance.
    seat : int
        Number of its seat.
    failure_domain : str
        Failure domain.
    callers_address, peers_address, admin_address : str
        Addresses, as ``host:port``.
    """

    name: str
    seat: int
    failure_domain: str
    callers_address: str
    peers_address: str
    admin_address: str


class FleetProcesses:
    """Run stand-ins and instances as processes; leaving the context kills them.

    Parameters
    ----------
    directory : pathlib.Path
        Empty directory for settings, published values and logs.
    """

    def __init__(self, directory):
        self._directory = pathlib.Path(directory)
        self._values_directory = self._directory / "values"
        (self._values_directory / "notes").mkdir(parents=True)
        self._secret = self._directory / "secret"
        self._secret.write_text(secrets.token_hex(32))
        self._processes = {}
        self._instances = {}
        self._upstreams = {}
        self._platform_address = free_address()
        self._revision = 0
        self._head_digest = ""

    def __enter__(self):
        return self

    def __exit__(self, *failure):
        for process in self._processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()

    @property
    def instances(self):
        """Addresses of the instances, by name."""
        return self._instances

    @property
    def upstreams(self):
        """Addresses of the upstreams, by name."""
        return self._upstreams

    @property
    def values_directory(self):
        """Directory of the values that the configuration service serves."""
        return self._values_directory

    def process(self, name):
        """Return the process of an instance or a stand-in."""
        return self._processes[name]

    def log_text(self, name):
        """Return the log output of a process."""
        return (self._directory / f"{name}.log").read_text()

    def start_platform(self):
        """Start the stand-in for the configuration service."""
        self.start_module(
            "platform",
            "standins.platform",
            "--listen",
            self._platform_address,
            "--directory",
            self._values_directory,
        )
        wait_for_listener(self._platform_address)

    def set_platform_mode(self, mode):
        """Set the failure mode of the configuration service; ``well`` is none."""
        (self._values_directory / ".mode").write_text(mode)

    def platform_calls(self):
        """Return the number of calls that the configuration service received."""
        return int(fetch(self._platform_address, "/calls"))

    def start_upstream(self, name, slots=4, service_s=0.0):
        """Start an upstream and return its address."""
        address = free_address()
        self._upstreams[name] = address
        self.start_module(
            name,
            "standins.upstream",
            "--listen",
            address,
            "--name",
            name,
            "--slots",
            slots,
            "--service-s",
            service_s,
            "--faults",
            self._directory / f"{name}.faults",
        )
        wait_for_listener(address)
        return address

    def set_faults(self, name, faults):
        """Replace the faults of an upstream, given one per line."""
        path = self._directory / f"{name}.faults"
        temporary = path.with_suffix(".new")
        temporary.write_text(faults)
        temporary.replace(path)

    def executed_request_ids(self, name):
        """Return the request identifiers that an upstream ran."""
        return json.loads(fetch(self._upstreams[name], "/ran"))["ran"]

    def count_requests_with_key(self, name):
        """Return how many requests reached an upstream with an API key."""
        return json.loads(fetch(self._upstreams[name], "/ran"))["keys_seen"]

    def add_instance(self, name, seat, failure_domain):
        """Allocate addresses for an instance and publish it in the list."""
        addresses = (free_address() for _ in range(3))
        self._instances[name] = InstanceAddresses(
            name, seat, failure_domain, *addresses
        )
        self.publish_list()
        return self._instances[name]

    def remove_instance(self, name):
        """Remove an instance from the published list."""
        del self._instances[name]
        self.publish_list()

    def publish_list(self, leaving=()):
        """Publish the list of instances, some of them marked as leaving."""
        text = "".join(
            _list_entry(instance, leaving) for instance in self._instances.values()
        )
        self._write("instances", text)

    def publish_note(self, text):
        """Publish the next release note, given without its ``[note]`` section.

        Returns its revision.
        """
        self._revision += 1
        header = (
            f"[note]\nrevision = {self._revision}\nfollows = {self._head_digest}\n\n"
        )
        note = header + text
        self._head_digest = note_digest(note)
        self._write(f"notes/{self._revision}", note)
        self.publish_head()
        return self._revision

    def publish_head(self):
        """Publish the revision and digest of the newest release note."""
        self._write("notes/head", f"{self._revision} {self._head_digest}")

    def start_instance(self, name, stop_within_s=2, **callers):
        """Start an instance and wait until it listens for callers."""
        instance = self._instances[name]
        path = self._directory / f"{name}.ini"
        path.write_text(self._settings(instance, stop_within_s, callers))
        self.start_module(name, "chervilpitch", "serve", path)
        wait_for_listener(instance.callers_address)

    def wait_for_revision(self, revision, names=None):
        """Wait until the instances have applied a revision or a later one."""
        for name in names or self._instances:
            wait_until(lambda: self.status(name)["revision"] >= revision, name)

    def status(self, name):
        """Return the status of an instance."""
        return json.loads(fetch(self._instances[name].admin_address, "/status"))

    def stop_instance(self, name, signal_number=signal.SIGTERM):
        """Send a signal to an instance and return its exit code."""
        process = self._processes[name]
        process.send_signal(signal_number)
        return process.wait(STOP_TIMEOUT_S)

    def start_module(self, name, module, *arguments):
        """Start a module as a process and append its output to its log file."""
        command = [sys.executable, "-m", module, *map(str, arguments)]
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
        with open(self._directory / f"{name}.log", "a") as log:
            self._processes[name] = subprocess.Popen(
                command, stdout=log, stderr=log, env=environment
            )

    def _write(self, name, text):
        path = self._values_directory / name
        temporary = self._directory / "value.new"
        temporary.write_text(text)
        temporary.replace(path)

    def _settings(self, instance, stop_within_s, callers):
        lines = [
            "[instance]",
            f"name = {instance.name}",
            f"seat = {instance.seat}",
            f"failure-domain = {instance.failure_domain}",
            f"callers = {instance.callers_address}",
            f"peers = {instance.peers_address}",
            f"admin = {instance.admin_address}",
            f"stop-within-s = {stop_within_s}",
            "[fleet]",
            f"secret-file = {self._secret}",
            "[platform]",
            f"endpoint = {self._platform_address}",
            "watch-s = 2",
            "[callers]",
            *(f"{name.replace('_', '-')} = {value}" for name, value in callers.items()),
        ]
        return "\n".join(lines) + "\n"


def free_address():
    """Return a loopback address with an unused port."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return f"{HOST}:{probe.getsockname()[1]}"


def fetch(address, path):
    """Return the body of an HTTP GET response."""
    return urllib3.request("GET", f"http://{address}{path}", timeout=5.0).data


def wait_for_listener(address):
    """Wait until an address accepts connections."""
    host, _, port = address.rpartition(":")

    def is_listening():
        with socket.socket() as probe:
            return probe.connect_ex((host, int(port))) == 0

    wait_until(is_listening, address)


def wait_until(condition, subject, timeout_s=READY_TIMEOUT_S):
    """Poll a condition until it holds; connection errors count as not yet.

    Raises ``TimeoutError`` with the subject when the time limit is reached.
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        try:
            if condition():
                return
        except (OSError, urllib3.exceptions.HTTPError, ValueError):
            pass
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"Condition for {subject} not met within {timeout_s} s.")


def key_digest(key):
    """Return the digest under which a release note names an API key."""
    return hashlib.sha256(key.encode()).hexdigest()


def note_digest(text):
    """Return the digest of a release note, computed with the product's code."""
    from chervilpitch import notes

    return notes.digest(notes.parse(text, "note").unwrap())


def _list_entry(instance, leaving):
    state = "leaving" if instance.name in leaving else "live"
    return (
        f"[instance {instance.name}]\nseat = {instance.seat}\n"
        f"failure-domain = {instance.failure_domain}\n"
        f"callers = {instance.callers_address}\n"
        f"peers = {instance.peers_address}\nstate = {state}\n"
    )
