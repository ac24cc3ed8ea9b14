"""Validation of the settings of an instance."""

import pathlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chervilpitch import settings

EXAMPLE = pathlib.Path("examples/qureshi.ini").read_bytes()


def problems(content):
    return settings.parse(content).unwrap_err()


def test_the_example_is_valid():
    read = settings.parse(EXAMPLE).unwrap()
    assert read.instance.failure_domain == "punjab/a"


def test_all_errors_are_reported_at_once():
    content = EXAMPLE.replace(b"seat = 0", b"seat = -1").replace(b"32", b"many")
    content += b"[zork]\na = 1\n"
    named = {(item.section, item.option) for item in problems(content)}
    assert named == {("instance", "seat"), ("callers", "threads"), ("zork", "")}


@pytest.mark.parametrize(
    "old, new, option",
    [
        (b"8081", b"8080", "addresses"),
        (b"punjab/a", b"punjab", "failure-domain"),
        (b"127.0.0.1:8090", b"localhost:8090", "endpoint"),
        (b"127.0.0.1:8090", b"127.0.0.1:70000", "endpoint"),
        (b"watch-s = 2", b"watch-s = nan", "watch-s"),
        (b"watch-s = 2", b"watch-s = 0", "watch-s"),
        (b"watch-s = 2", b"watch = 2", "watch"),
        (b"level = info", b"level = loud", "level"),
        (b"requests-per-account = 12", b"requests-per-account = 32", "callers"),
    ],
)
def test_an_invalid_value_is_rejected(old, new, option):
    assert old in EXAMPLE
    assert settings.parse(EXAMPLE.replace(old, new)).is_err(), option


@pytest.mark.parametrize("more", [b"[log]\n", b"level = info\n", b"no sense\n"])
def test_duplicate_and_malformed_lines_are_rejected(more):
    assert len(problems(EXAMPLE + more)) == 1


@given(st.binary(max_size=500))
def test_arbitrary_bytes_return_typed_problems(content):
    assert all(isinstance(item, settings.SettingsProblem) for item in problems(content))


def test_a_missing_file_is_reported():
    assert settings.load("no/such/file").is_err()


def test_a_short_secret_is_rejected(tmp_path):
    path = tmp_path / "secret"
    path.write_text("short")
    old = b"/run/chervilpitch/fleet-secret"
    read = settings.parse(EXAMPLE.replace(old, str(path).encode())).unwrap()
    assert settings.read_secret(read).unwrap_err().option == "secret-file"
