"""An unreadable item of a store's response costs only itself."""

import base64
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chervilpitch import platform
from chervilpitch.model import StoreItem
from chervilpitch.platform.store import MAX_KEY_BYTES, MAX_REVISION

from .odd_entries import JSON_VALUES, deep

GOOD_ITEM = {"key": "servers/a", "value": "eA==", "revision": 3, "created": 3}
UNREADABLE_ITEMS = (
    None,
    7,
    "text",
    [],
    {},
    GOOD_ITEM | {"key": None},
    GOOD_ITEM | {"key": "servers/\ud800"},
    GOOD_ITEM | {"key": "servers/" + "a" * MAX_KEY_BYTES},
    GOOD_ITEM | {"revision": -1},
    GOOD_ITEM | {"revision": 2**64},
    GOOD_ITEM | {"revision": float("inf")},
    GOOD_ITEM | {"revision": 10**400},
    GOOD_ITEM | {"revision": [3]},
)
UNREADABLE_VALUES = (None, 7, "=", "x", "é", [], {}, "\ud800")


def watch_body(*events, revision=9):
    return json.dumps({"events": events, "current_rev": revision}).encode()


@pytest.mark.parametrize("item", UNREADABLE_ITEMS)
def test_unreadable_item_is_left_out_and_the_others_hold(item):
    changes = platform.parse_watch(200, watch_body(item, GOOD_ITEM)).unwrap()
    assert changes.items == (StoreItem("servers/a", b"x", 3),)
    assert changes.revision == 9


@pytest.mark.parametrize("value", UNREADABLE_VALUES)
def test_item_with_an_unreadable_value_replaces_what_its_key_held(value):
    body = watch_body(GOOD_ITEM | {"key": "b", "value": value}, GOOD_ITEM)
    odd, good = platform.parse_watch(200, body).unwrap().items
    assert odd == StoreItem("b", b"", 3)
    assert good == StoreItem("servers/a", b"x", 3)


@pytest.mark.parametrize(
    "body",
    [
        deep(100_000),
        b"9" * 5_000,
        b'{"events": {}, "current_rev": 9}',
        b'{"events": "text", "current_rev": 9}',
        b'{"events": []}',
        watch_body(GOOD_ITEM, revision=-1),
        watch_body(GOOD_ITEM, revision=MAX_REVISION + 1),
        watch_body(GOOD_ITEM, revision=float("inf")),
        watch_body(*UNREADABLE_ITEMS),
    ],
)
def test_unreadable_response_is_a_typed_problem(body):
    parsed = platform.parse_watch(200, body)
    assert parsed.unwrap_err() is platform.StoreProblem.UNREADABLE


@given(st.lists(JSON_VALUES, max_size=4), st.binary(max_size=40))
def test_any_items_leave_a_readable_one_in_place(odd, value):
    good = GOOD_ITEM | {"value": base64.b64encode(value).decode()}
    items = platform.parse_watch(200, watch_body(*odd, good)).unwrap().items
    assert items[-1] == StoreItem("servers/a", value, 3)
