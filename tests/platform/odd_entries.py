"""Entries and configurations that another writer may leave in the store."""

import json

from hypothesis import strategies as st

GOOD_ENTRY = {
    "service": "desk",
    "address": "127.0.0.1:9000",
    "zone": "n1",
    "version": "v1",
    "capacity": 4,
    "state": "ready",
    "cold_remaining": "0ms",
    "sequence": 4,
    "born": 1_700_000_000_000,
}
NUMBER_FIELDS = ("capacity", "sequence", "born")
NUMBERS_OUT_OF_RANGE = ("1e400", "-1e400", "NaN", "1" + "0" * 400, "9" * 5_000, "-1")
ADDRESSES = (
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:-1",
    "127.0.0.1:+80",
    "127.0.0.1:8_0",
    "127.0.0.1: 80",
    "127.0.0.1:٨٠",
    "127.0.0.1:" + "9" * 5_000,
    "127.0.0.1",
    "127.0.0.256:80",
    "127.0.0.1\r\n:80",
    " 127.0.0.1:80",
    "0.0.0.0:80",
    "224.0.0.1:80",
    "255.255.255.255:80",
    "localhost:80",
    "upstream.example:80",
    "a" * 70 + ".example:80",
    "[::1]:80",
    "a b:80",
    "\ud800:80",
    ":80",
)
TEXTS = ("", "\ud800", "a\nb", "a\x00b", "s" * 300)
COLD_TIMES = ("9" * 400 + "s", "1e9s", "9999999999s", "-1s", "٣s", "", 0, False, [])
NAMES = ("", "i 1", "i\r\nHost: a", "i\x00", "\ud800", "ü", "日", "i" * 300)


def encode(fields) -> bytes:
    """Return JSON as the store holds it."""
    return json.dumps(fields).encode()


def with_raw_number(name, number) -> bytes:
    """Return the good entry with a number written as given."""
    marked = encode(GOOD_ENTRY | {name: "@"})
    return marked.replace(b'"@"', number.encode())


def deep(levels) -> bytes:
    """Return lists nested as deep as given."""
    return b"[" * levels + b"]" * levels


ODD_CONTENTS = (
    b"",
    b"\x00\xff" * 40,
    b"null",
    b"7",
    b'"text"',
    b"[]",
    b"{}",
    deep(100_000),
    b"[" * 100_000,
    b'{"a":' * 100_000,
    encode(GOOD_ENTRY)[:-1] + b', "more": ' + deep(100_000) + b"}",
    encode(GOOD_ENTRY | {"more": "x" * 100_000}),
    encode(GOOD_ENTRY)[:-1],
    *(
        with_raw_number(name, number)
        for name in NUMBER_FIELDS
        for number in NUMBERS_OUT_OF_RANGE
    ),
    *(encode(GOOD_ENTRY | {"address": address}) for address in ADDRESSES),
    *(encode(GOOD_ENTRY | {"service": text}) for text in TEXTS),
    *(encode(GOOD_ENTRY | {"zone": text}) for text in TEXTS),
    *(encode(GOOD_ENTRY | {"cold_remaining": time}) for time in COLD_TIMES),
    encode(GOOD_ENTRY | {"state": "x" * 100_000}),
    encode(GOOD_ENTRY | {"state": ["ready"]}),
)
"""Contents of which none names an upstream."""

JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**20), 10**20)
    | st.sampled_from([10**400, -(10**400), 2**63, 2**64])
    | st.floats()
    | st.text(max_size=20)
    | st.sampled_from([*ADDRESSES, *TEXTS, *COLD_TIMES, "ready", "1ms", "desk"]),
    lambda children: st.lists(children, max_size=3)
    | st.dictionaries(st.text(max_size=5), children, max_size=3),
    max_leaves=6,
)


@st.composite
def contents(draw) -> bytes:
    """Return a strategy for contents, from arbitrary bytes to almost good entries."""
    if draw(st.booleans()):
        return draw(st.binary(max_size=60) | st.sampled_from(ODD_CONTENTS))
    changes = draw(st.dictionaries(st.sampled_from([*GOOD_ENTRY]), JSON_VALUES))
    return encode(GOOD_ENTRY | changes)


KEYS = st.sampled_from(["i-1", "i-2", "a/b", "~", *NAMES]) | st.text(max_size=20)
