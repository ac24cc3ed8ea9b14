"""Only the platform adapter contains wire names, and the adapter is small."""

import pathlib
import re

import chervilpitch

PACKAGE = pathlib.Path(chervilpitch.__file__).parent
WIRE_NAMES = re.compile(
    r"x-chervilpitch-|kv-key|kv-range|kv-watch|api/resolve|api/readiness"
    r"|virtual_hosts|path_routes|traffic_split|cold_remaining|api_keys|no_auth"
    r"|current_rev|has_more\"|is_removed\"|op/config|servers/|node_name|seed_nodes"
    r"|internal_ports|config_apply|budget_ratio|quota_excess|CHERVILPITCH_CONFIG",
    re.IGNORECASE,
)
SOURCES = sorted(PACKAGE.rglob("*.py"))


def read_lines(path):
    return path.read_text().splitlines()


def test_no_wire_name_occurs_outside_the_adapter():
    found = [
        f"{path.relative_to(PACKAGE)}: {line.strip()}"
        for path in SOURCES
        if "platform" not in path.relative_to(PACKAGE).parts[:1]
        for line in read_lines(path)
        if WIRE_NAMES.search(line)
    ]
    assert found == []


def test_adapter_is_under_a_tenth_of_the_package():
    total = sum(len(read_lines(path)) for path in SOURCES)
    adapter = sum(
        len(read_lines(path)) for path in (PACKAGE / "platform").rglob("*.py")
    )
    assert 0 < adapter < total / 10


def test_wire_name_pattern_matches():
    assert WIRE_NAMES.search('fields["virtual_hosts"]')
