"""Commands, their output and their exit codes."""

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
def program():
    return ApplicationTester(build_application())


@pytest.fixture
def note(tmp_path):
    path = tmp_path / "1.ini"
    path.write_text(NOTE)
    return path


def test_a_good_note_is_fine(program, note):
    assert program.execute(f"check {note}") == ExitCode.FINE
    assert "revision 1: fine" in program.io.fetch_output()


def test_a_bad_note_names_the_line(program, note):
    note.write_text(NOTE.replace("50", "none"))
    assert program.execute(f"check {note}") == ExitCode.BAD_NOTE
    assert f"{note}:6: [added account fitters]" in program.io.fetch_error()


def test_notes_that_do_not_follow_each_other_are_refused(program, note):
    assert program.execute(f"check {note} {note}") == ExitCode.BAD_NOTE


def test_diff_shows_what_a_note_adds(program, note):
    assert program.execute(f"diff {note}") == ExitCode.FINE
    assert "+ account fitters" in program.io.fetch_output()


def test_json_is_read_by_a_program(program, note):
    program.execute(f"check {note} --json")
    assert json.loads(program.io.fetch_output())[0]["revision"] == 1


def test_bad_settings_have_their_exit_code(program, tmp_path):
    path = tmp_path / "bad.ini"
    path.write_text("[instance]\n")
    assert program.execute(f"serve {path}") == ExitCode.BAD_SETTINGS
    assert "[platform]" in program.io.fetch_error()


@pytest.fixture
def admin():
    """Return the address of a page server with one event."""
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


@pytest.mark.parametrize("form", ["text", "json", "svg", "html"])
def test_the_time_line_is_written_in_every_form(program, admin, tmp_path, form):
    path = tmp_path / "run"
    command = f"timeline {admin} --format {form} --output {path}"
    assert program.execute(command) == ExitCode.FINE
    assert "seat-held" in path.read_text()


@pytest.mark.parametrize("command", ["status", "address"])
def test_an_unreachable_instance_has_its_exit_code(program, command):
    assert program.execute(f"{command} 127.0.0.1:1") == ExitCode.UNREACHABLE
