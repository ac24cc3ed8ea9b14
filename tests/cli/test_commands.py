"""Output and exit codes of the commands."""

import json
import threading

import pytest
from cleo.testers.application_tester import ApplicationTester

from chervilpitch.cli import build_application
from chervilpitch.exits import ExitCode
from chervilpitch.model import Event
from chervilpitch.observe import Stamp, StampedEvent, encode_events
from chervilpitch.transport.admin import AdminApplication, build_admin_server
from standins.fleet import free_address, wait_for_listener

NOTE = """[note]
revision = 1
follows =

[added account fitters]
rate-per-s = 50
burst = 100
"""


@pytest.fixture
def tester():
    return ApplicationTester(build_application())


@pytest.fixture
def note(tmp_path):
    path = tmp_path / "1.ini"
    path.write_text(NOTE)
    return path


def test_check_accepts_a_valid_note(tester, note):
    assert tester.execute(f"check {note}") == ExitCode.SUCCESS
    assert "revision 1: fine" in tester.io.fetch_output()


def test_check_reports_the_line_of_an_error(tester, note):
    note.write_text(NOTE.replace("50", "none"))
    assert tester.execute(f"check {note}") == ExitCode.BAD_NOTE
    assert f"{note}:6: [added account fitters]" in tester.io.fetch_error()


def test_check_rejects_notes_that_are_not_consecutive(tester, note):
    assert tester.execute(f"check {note} {note}") == ExitCode.BAD_NOTE


def test_diff_shows_what_a_note_adds(tester, note):
    assert tester.execute(f"diff {note}") == ExitCode.SUCCESS
    assert "+ account fitters" in tester.io.fetch_output()


def test_json_output_can_be_parsed(tester, note):
    tester.execute(f"check {note} --json")
    assert json.loads(tester.io.fetch_output())[0]["revision"] == 1


def test_invalid_settings_have_their_own_exit_code(tester, tmp_path):
    path = tmp_path / "bad.ini"
    path.write_text("[instance]\n")
    assert tester.execute(f"serve {path}") == ExitCode.BAD_SETTINGS
    assert "[platform]" in tester.io.fetch_error()


@pytest.fixture
def admin():
    """Run an admin server with one event and return its address."""
    stamped = StampedEvent(Stamp(5, 0, "a"), 0, Event("limits", "seat-held", "0"), 1)
    lines = encode_events([stamped]).encode()
    application = AdminApplication({"/events": lambda: ("application/jsonl", lines)})
    address = free_address()
    server = build_admin_server(address, application)
    thread = threading.Thread(target=server.safe_start, daemon=True)
    thread.start()
    wait_for_listener(address)
    yield address
    server.stop()


@pytest.mark.parametrize("format_name", ["text", "json", "svg", "html"])
def test_the_time_line_is_written_in_every_format(tester, admin, tmp_path, format_name):
    path = tmp_path / "run"
    command = f"timeline {admin} --format {format_name} --output {path}"
    assert tester.execute(command) == ExitCode.SUCCESS
    assert "seat-held" in path.read_text()


@pytest.mark.parametrize("command", ["status", "address"])
def test_an_unreachable_instance_has_its_own_exit_code(tester, command):
    assert tester.execute(f"{command} 127.0.0.1:1") == ExitCode.UNREACHABLE


def serve_metrics(text):
    """Serve a page of metrics and return its address."""
    pages = {"/metrics": lambda: ("text/plain", text.encode())}
    address = free_address()
    server = build_admin_server(address, AdminApplication(pages))
    threading.Thread(target=server.safe_start, daemon=True).start()
    wait_for_listener(address)
    return address, server


def metrics_text(instance, version, on_disk="d1"):
    return (
        "# TYPE chervilpitch_state gauge\n"
        f'chervilpitch_state{{name="configuration_version"}} {version}\n'
        f'chervilpitch_state{{name="configuration_revision"}} {version}0\n'
        'chervilpitch_state{name="proof_age_seconds"} 0.4\n'
        "# TYPE chervilpitch_settings gauge\n"
        f'chervilpitch_settings{{instance="{instance}",in_force="d1",'
        f'on_disk="{on_disk}"}} 1\n'
    )


@pytest.mark.parametrize(
    "second, code",
    [
        (metrics_text("b", 4), ExitCode.SUCCESS),
        (metrics_text("b", 3), ExitCode.DISAGREEMENT),
        (metrics_text("b", 4, "d2"), ExitCode.DISAGREEMENT),
        ("not metrics", ExitCode.UNREACHABLE),
    ],
)
def test_versions_shows_whether_instances_agree(tester, second, code):
    served = [serve_metrics(text) for text in (metrics_text("a", 4), second)]
    addresses = " ".join(address for address, _ in served)
    try:
        assert tester.execute(f"versions {addresses}") == code
    finally:
        for _, server in served:
            server.stop()
    assert " 40 " in tester.io.fetch_output()


def test_versions_names_an_instance_that_is_not_reached(tester):
    address = free_address()
    assert tester.execute(f"versions {address}") == ExitCode.UNREACHABLE
    assert f"{address}: not reachable" in tester.io.fetch_error()
