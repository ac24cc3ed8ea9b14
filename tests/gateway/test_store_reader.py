"""Reading the platform's store at startup, with a stand-in for the store."""

import asyncio

import pytest

from chervilpitch.gateway.gossip import Gossip
from chervilpitch.gateway.store_reader import StoreReader
from chervilpitch.platform import CONFIGURATION_KEY, ENTRY_PREFIX
from chervilpitch.transport.clock import monotonic_s
from standins.store import FakeStore
from standins.target import Behaviour, FakeTarget

from .harness import SERVICE, configuration, new_state

MAX_START_S = 4.0


class StoreReaderHarness:
    """A newly started instance and the store that it reads."""

    def __init__(self):
        self.state = new_state("a", monotonic_s)
        self.gossip = Gossip(self.state, (), monotonic_s)
        self.store = FakeStore()

    async def start(self):
        """Start the store with a configuration and three upstreams."""
        address = await self.store.start()
        self.store.put(CONFIGURATION_KEY, configuration())
        for number in range(3):
            target = FakeTarget(f"u{number}")
            target.address = f"127.0.0.1:{9000 + number}"
            self.store.put(ENTRY_PREFIX + target.name, target.entry(SERVICE, "n1"))
        self.reader = StoreReader(address, self.state, self.gossip, monotonic_s)


def test_reading_at_start_makes_the_instance_ready():
    async def scenario():
        harness = StoreReaderHarness()
        await harness.start()
        await harness.reader.read_at_start()
        assert harness.state.is_ready()
        assert harness.state.upstreams.count(SERVICE) == 3
        assert not harness.gossip.is_reading

    asyncio.run(scenario())


def test_instance_is_not_ready_if_the_store_refuses_at_start():
    async def scenario():
        harness = StoreReaderHarness()
        await harness.start()
        harness.store.is_refusing = True
        await harness.reader.read_at_start()
        assert not harness.state.is_ready()
        assert harness.store.calls == 1

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "behaviour", [item for item in Behaviour if item.value.startswith("endless")]
)
def test_store_that_sends_without_end_is_given_up(behaviour):
    async def scenario():
        store = FakeTarget(None, behaviour)
        await store.start()
        state = new_state("a", monotonic_s)
        gossip = Gossip(state, (), monotonic_s)
        reader = StoreReader(store.address, state, gossip, monotonic_s)
        async with asyncio.timeout(MAX_START_S):
            await reader.read_at_start()
        assert not state.is_ready()
        assert reader.call_count == 1

    asyncio.run(scenario())
