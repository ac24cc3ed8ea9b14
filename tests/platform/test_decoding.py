"""Published data is decoded to the project's types or to a typed error."""

import base64
import hashlib
import json
import pathlib

import pytest

from chervilpitch import platform
from chervilpitch.model import RequestKind, StoreItem, WeightedService

ROUTE = {
    "name": "r",
    "prefix": "/a/",
    "kind": "safe",
    "timeout": "2000ms",
    "aim": "0.8s",
    "priority": 2,
    "traffic_split": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
    "max_attempts": 2,
    "no_auth": False,
}
CONFIGURATION = {
    "version": 7,
    "services": [{"name": "s", "health_path": "/health", "max_connections": 330}],
    "limits": {"max_header_bytes": 100, "idle_timeout": "15000ms"},
    "tenants": [
        {"name": "t", "api_keys": ["k"], "priority": 1, "rate_per_s": 5, "burst": 6}
    ],
    "virtual_hosts": [{"host": "A.example", "path_routes": [ROUTE]}],
}
ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "capacity": 4,
    "state": "ready",
    "cold_remaining": "2.5s",
    "sequence": 4,
    "born": 1700,
}


def encode_json(value):
    return json.dumps(value).encode()


def test_configuration_is_decoded():
    decoded = platform.decode_configuration(encode_json(CONFIGURATION)).unwrap()
    (route,) = decoded.routes
    assert decoded.version == 7
    assert (route.host, route.kind) == ("a.example", RequestKind.SAFE)
    assert (route.timeout_s, route.aim_s) == (2.0, 0.8)
    assert route.services == (WeightedService("s", 90.0), WeightedService("t", 10.0))
    assert route.needs_key
    assert decoded.account_of_key == {hashlib.sha256(b"k").hexdigest(): "t"}
    assert decoded.accounts["t"].rate_per_s == 5
    assert decoded.limits.max_header_bytes == 100
    assert decoded.limits.header_timeout_s == 3.0


def test_without_accounts_no_route_needs_a_key():
    fields = CONFIGURATION | {"tenants": []}
    decoded = platform.decode_configuration(encode_json(fields)).unwrap()
    assert not decoded.routes[0].needs_key


@pytest.mark.parametrize("content", [b"", b"[]", b"{}", b"\xff", b'{"version": "x"}'])
def test_malformed_configuration_is_an_error(content):
    assert platform.decode_configuration(content).is_err()


def test_entry_is_decoded():
    entry = platform.decode_entry("servers/i-1", encode_json(ENTRY)).unwrap()
    assert entry.name == "i-1"
    assert (entry.service, entry.failure_domain, entry.slots) == ("s", "z", 4)
    assert (entry.cold_for_s, entry.born_ms, entry.sequence) == (2.5, 1700, 4)
    assert not entry.is_draining


@pytest.mark.parametrize(
    "change",
    [
        {"service": 5},
        {"service": ""},
        {"address": "10.0.0.1"},
        {"address": ":80"},
        {"address": "10.0.0.1:99999"},
        {"state": "busy"},
        {"state": None},
        {"capacity": "4"},
        {"capacity": True},
        {"sequence": None},
        {"sequence": 1.5},
        {"cold_remaining": 5},
        {"zone": ["z"]},
        {"born": "x"},
    ],
)
def test_entry_with_a_malformed_field_is_an_error(change):
    assert platform.decode_entry("servers/i-1", encode_json(ENTRY | change)).is_err()


@pytest.mark.parametrize("field", ["service", "address", "zone", "capacity", "state"])
def test_entry_without_a_required_field_is_an_error(field):
    fields = {name: value for name, value in ENTRY.items() if name != field}
    assert platform.decode_entry("servers/i-1", encode_json(fields)).is_err()


@pytest.mark.parametrize("content", [b"", b"\xff\xfe", b"[1]", b"3", b"null"])
def test_content_that_is_no_json_object_is_an_error(content):
    assert platform.decode_entry("servers/i-1", content).is_err()


def test_store_responses_are_parsed():
    value = base64.b64encode(b"x").decode()
    item = {"key": "a", "value": value, "revision": 3, "created": 3, "lease": 0}
    gone = {"key": "b", "revision": 4, "is_removed": True}
    body = encode_json({"events": [item, gone], "current_rev": 9})
    changes = platform.parse_watch(200, body).unwrap()
    assert changes.items == (StoreItem("a", b"x", 3), StoreItem("b", b"", 4, True))
    assert changes.revision == 9
    one = platform.parse_key(200, encode_json(item | {"current_rev": 9})).unwrap()
    assert one.items == (StoreItem("a", b"x", 3),)
    assert platform.parse_key(404, b"").unwrap().items == ()


@pytest.mark.parametrize(
    ("headers", "era"),
    [([], 0), ([(b"store-era", b"7")], 7), ([(b"store-era", b" 12 ")], 12)],
)
def test_store_that_states_no_era_is_in_the_first_one(headers, era):
    assert platform.parse_era(headers).unwrap() == era


@pytest.mark.parametrize("value", [b"two", b"-1", b"1.5", b"9" * 30])
def test_malformed_era_of_the_store_is_an_error(value):
    problem = platform.parse_era([(b"store-era", value)]).unwrap_err()
    assert problem is platform.StoreProblem.UNREADABLE


@pytest.mark.parametrize(
    ("status", "body", "problem"),
    [
        (410, b"", platform.StoreProblem.HISTORY_GONE),
        (503, b"", platform.StoreProblem.REFUSED),
        (429, b"", platform.StoreProblem.REFUSED),
        (200, b"no json", platform.StoreProblem.UNREADABLE),
        (200, b'{"events": [{}], "current_rev": 1}', platform.StoreProblem.UNREADABLE),
    ],
)
def test_failed_store_call_gives_its_reason(status, body, problem):
    assert platform.parse_watch(status, body).unwrap_err() is problem


@pytest.mark.parametrize(
    "text", ['{"grace":"10s"', '"grace":"10s"', "grace", "=10s", "grace : 10s"]
)
def test_bounds_in_another_form_are_reported_instead_of_ignored(text):
    assert platform.decode_bounds(("drain=2s", text)).unwrap_err() == (text,)


def test_template_of_the_settings_renders_each_bound_as_name_and_value():
    """The platform fills in a table as JSON where no section lists its entries."""
    template = pathlib.Path("deploy/gateway.ini.in").read_text()
    assert "values = {{#bounds}}{{@}}={{.}}{{,}}{{/bounds}}\n" in template


def test_unknown_bounds_are_ignored_and_malformed_ones_reported():
    bounds = platform.decode_bounds(("revoke=4s", "new=1", "drain=1500ms")).unwrap()
    assert (bounds.revocation_s, bounds.drain_s) == (4.0, 1.5)
    problems = platform.decode_bounds(("grace=soon", "drain=2")).unwrap_err()
    assert problems == ("grace=soon", "drain=2")


def test_hop_by_hop_and_instance_headers_are_not_forwarded():
    headers = [
        (b"host", b"a"),
        (b"connection", b"X-Private, close"),
        (b"x-private", b"1"),
        (b"transfer-encoding", b"chunked"),
        (b"x-chervilpitch-key", b"k"),
        (b"x-chervilpitch-tenant", b"forged"),
        (b"x-chervilpitch-request-id", b"id"),
    ]
    sent = platform.upstream_headers(headers, "i-1", "t", 1.5)
    assert (b"host", b"a") in sent
    assert (b"x-chervilpitch-request-id", b"id") in sent
    assert (b"X-Chervilpitch-Tenant", b"t") in sent
    assert (b"X-Chervilpitch-Timeout-Remaining", b"1500") in sent
    assert len(sent) == 5


def test_load_and_idle_time_are_parsed():
    headers = [
        (b"x-chervilpitch-server-load", b"3,0,8"),
        (b"keep-alive", b"timeout=5, max=10"),
    ]
    metadata = platform.parse_response_metadata(200, headers)
    assert metadata.load == (3, 0, 8)
    assert metadata.idle_for_s == 5.0
    other = [(b"x-chervilpitch-server-load", b"3,x,8")]
    assert platform.parse_response_metadata(200, other).load is None


@pytest.mark.parametrize("digits", [7, 20, 400, 5_000])
@pytest.mark.parametrize("position", range(3))
def test_load_that_is_too_large_counts_as_not_stated(digits, position):
    numbers = [b"3", b"0", b"8"]
    numbers[position] = b"9" * digits
    headers = [(b"x-chervilpitch-server-load", b",".join(numbers))]
    assert platform.parse_response_metadata(200, headers).load is None
