"""An entry of another writer names no upstream, whatever it holds."""

import ipaddress

import pytest
from hypothesis import given

from chervilpitch import platform
from chervilpitch.platform.entries import (
    MAX_BORN_MS,
    MAX_COLD_S,
    MAX_SEQUENCE,
    MAX_SLOTS,
)

from .odd_entries import GOOD_ENTRY, KEYS, NAMES, ODD_CONTENTS, contents, encode

MAX_CAUSE_CHARACTERS = 300


def test_good_entry_names_an_upstream():
    entry = platform.decode_entry("servers/i-1", encode(GOOD_ENTRY)).unwrap()
    assert (entry.name, entry.address) == ("i-1", "127.0.0.1:9000")


@pytest.mark.parametrize("number", range(len(ODD_CONTENTS)))
def test_odd_content_names_no_upstream(number):
    decoded = platform.decode_entry("servers/i-1", ODD_CONTENTS[number])
    assert len(str(decoded.unwrap_err())) < MAX_CAUSE_CHARACTERS


@pytest.mark.parametrize("name", NAMES)
def test_odd_name_names_no_upstream(name):
    assert platform.decode_entry(f"servers/{name}", encode(GOOD_ENTRY)).is_err()


@given(KEYS, contents())
def test_any_content_gives_an_error_or_an_upstream_within_bounds(name, content):
    decoded = platform.decode_entry(f"servers/{name}", content)
    if decoded.is_err():
        return
    entry = decoded.unwrap()
    host, _, port = entry.address.rpartition(":")
    assert ipaddress.IPv4Address(host)
    assert 0 < int(port) < 65_536
    assert 0 < entry.slots <= MAX_SLOTS
    assert 0 <= entry.born_ms <= MAX_BORN_MS
    assert 0 <= entry.sequence <= MAX_SEQUENCE
    assert 0 <= entry.cold_for_s <= MAX_COLD_S
    assert entry.name.encode("latin-1").isascii()
    assert (entry.name + entry.service + entry.failure_domain).isprintable()
