"""One odd entry among those of the upstreams costs only itself."""

import asyncio
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chervilpitch import platform
from chervilpitch.gateway.codec import Datagram, encode
from chervilpitch.gateway.messages import StateAnswer
from chervilpitch.gateway.peers import MAX_DATAGRAM_BYTES
from chervilpitch.model import StoreItem
from chervilpitch.platform import CONFIGURATION_KEY, ENTRY_PREFIX
from tests.platform.odd_entries import GOOD_ENTRY, KEYS, ODD_CONTENTS, contents
from tests.platform.odd_entries import encode as encode_entry

from .harness import SERVICE, configuration, new_state
from .test_gossip import entry_item, reader_and_requester, request_state
from .test_store_reader import StoreReaderHarness

MAX_FOLLOW_S = 3.0
ODD_KEY = ENTRY_PREFIX + "odd"
LARGE_CONTENT = random.Random(1).randbytes(1_048_576)
"""As large as the store accepts, and not compressible."""


def datagram_of_all_entries(state):
    replica = state.entry_items
    answer = StateAnswer(1, 0.1, 5, (), replica.revision, replica.items, True, 7)
    return encode(Datagram("a", 1, answer))


@given(st.lists(st.tuples(KEYS, contents()), max_size=4), st.booleans())
def test_other_entries_hold_whatever_the_odd_ones_are(odd, is_complete):
    state = new_state("a", lambda: 100.0)
    good = (entry_item("t1", 5), entry_item("t2", 6))
    odd_items = tuple(
        StoreItem(ENTRY_PREFIX + name, content, 7 + number)
        for number, (name, content) in enumerate(odd)
        if name not in ("t1", "t2")
    )
    state.apply_entry_items((*odd_items, *good), 20, is_complete)
    assert state.upstreams.get("t1") is not None
    assert state.upstreams.get("t2") is not None
    moved = entry_item("t1", 30, sequence=9)
    state.apply_entry_items((moved,), 30, False)
    assert state.upstreams.get("t1").entry.address.endswith(":9030")


@pytest.mark.parametrize(
    "content", [LARGE_CONTENT, *ODD_CONTENTS[:10]], ids=lambda item: f"{len(item)}B"
)
def test_entry_that_becomes_odd_names_no_upstream_until_it_is_good_again(content):
    state = new_state("a", lambda: 100.0)
    state.apply_entry_items((entry_item("t1", 5), entry_item("t2", 6)), 6, True)
    odd = StoreItem(ENTRY_PREFIX + "t1", content, 7)
    state.apply_entry_items((odd,), 7, False)
    assert state.upstreams.get("t1") is None
    assert state.upstreams.get("t2") is not None
    assert state.malformed_entry_count == 1
    state.apply_entry_items((entry_item("t1", 8),), 8, False)
    assert state.upstreams.get("t1") is not None


def test_unforeseen_exception_of_one_entry_is_counted_and_the_others_hold(monkeypatch):
    decode_entry = platform.decode_entry

    def failing_decode(key, content):
        if key == ODD_KEY:
            raise LookupError("not foreseen")
        return decode_entry(key, content)

    monkeypatch.setattr(platform, "decode_entry", failing_decode)
    state = new_state("a", lambda: 100.0)
    odd = StoreItem(ODD_KEY, encode_entry(GOOD_ENTRY), 4)
    state.apply_entry_items((odd, entry_item("t1", 5)), 5, True)
    assert state.upstreams.count(SERVICE) == 1
    assert state.malformed_entry_count == 1


def test_large_odd_entry_does_not_keep_the_list_from_other_instances():
    state = new_state("a", lambda: 100.0)
    items = (StoreItem(ODD_KEY, LARGE_CONTENT, 4), entry_item("t1", 5))
    state.apply_entry_items(items, 5, True)
    assert len(datagram_of_all_entries(state)) < MAX_DATAGRAM_BYTES


@given(st.lists(st.tuples(st.text(max_size=20), contents()), max_size=3))
def test_instance_that_only_hears_of_odd_entries_follows_the_good_ones(odd):
    network, reader_state, requester, requester_state = reader_and_requester()
    items = tuple(
        StoreItem(ENTRY_PREFIX + name, content, 10 + number)
        for number, (name, content) in enumerate(odd)
        if name.isprintable() and name != "t1"
    )
    reader_state.apply_entry_items((*items, entry_item("t1", 5)), 20, True)
    request_state(network, requester)
    draining = entry_item("t1", 21, state="draining", sequence=9)
    reader_state.apply_entry_items((draining,), 21, False)
    request_state(network, requester)
    assert requester_state.upstreams.get("t1").entry.is_draining
    assert requester_state.entry_items.digest == reader_state.entry_items.digest


def test_odd_entries_of_an_earlier_version_of_a_peer_name_no_upstream():
    state = new_state("a", lambda: 100.0)
    for revision, content in enumerate(ODD_CONTENTS, 7):
        odd = StoreItem(f"{ENTRY_PREFIX}odd-{revision}", content, revision)
        state.apply_entry_items((odd, entry_item("t1", 5)), revision, True)
    assert state.upstreams.count(SERVICE) == 1
    assert state.malformed_entry_count == len(ODD_CONTENTS)


async def wait_until(condition, step=lambda: None):
    async with asyncio.timeout(MAX_FOLLOW_S):
        while not condition():
            step()
            await asyncio.sleep(0.02)


async def start_reading():
    """Return a harness whose instance has become a reader of the store."""
    harness = StoreReaderHarness()
    await harness.start()
    await harness.reader.read_at_start()
    await wait_until(
        lambda: harness.gossip.is_reading, harness.gossip.update_reader_role
    )
    return harness


def test_good_change_after_each_odd_entry_is_followed():
    async def scenario():
        harness = await start_reading()
        task = asyncio.create_task(harness.reader.watch_entries())
        for number, content in enumerate((LARGE_CONTENT, *ODD_CONTENTS[::8])):
            harness.store.put(f"{ODD_KEY}-{number}", content)
            await asyncio.sleep(0.05)
            harness.store.put(f"{ENTRY_PREFIX}late-{number}", GOOD_ENTRY)
            await wait_until(
                lambda: task.done() or harness.state.upstreams.get(f"late-{number}")
            )
            assert not task.done()
        assert harness.state.upstreams.count(SERVICE) == 4 + number
        task.cancel()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("watch", "apply"),
    [
        ("watch_entries", "apply_entry_items"),
        ("watch_configuration", "apply_configuration_items"),
    ],
)
def test_unforeseen_exception_does_not_end_the_task_that_follows_the_store(
    watch, apply, monkeypatch
):
    async def scenario():
        harness = await start_reading()
        apply_items = getattr(harness.state, apply)
        defects = [LookupError("not foreseen")]

        def fail_once(*arguments):
            if defects:
                raise defects.pop()
            apply_items(*arguments)

        monkeypatch.setattr(harness.state, apply, fail_once)
        task = asyncio.create_task(getattr(harness.reader, watch)())
        await wait_until(lambda: not defects)
        harness.store.put(ENTRY_PREFIX + "late", GOOD_ENTRY)
        harness.store.put(CONFIGURATION_KEY, configuration(2))
        await wait_until(
            lambda: task.done()
            or harness.state.upstreams.get("late")
            or harness.state.configuration.version == 2
        )
        assert not task.done()
        assert harness.reader.defect_count == 1
        task.cancel()

    asyncio.run(scenario())
