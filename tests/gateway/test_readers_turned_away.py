"""The store turns the readers of a region away while it serves the other instances."""

import asyncio
import contextlib
import itertools

import pytest

from chervilpitch.gateway.codec import Datagram
from chervilpitch.gateway.gossip import Gossip
from chervilpitch.gateway.process import (
    HEARTBEAT_CHECK_INTERVAL_S,
    READER_CHECK_INTERVAL_S,
    STATE_REQUEST_INTERVAL_S,
)
from chervilpitch.gateway.schedule import PeriodicStep, run_periodically
from chervilpitch.gateway.store_reader import StoreReader
from chervilpitch.platform import CONFIGURATION_KEY, ENTRY_PREFIX, Bounds
from chervilpitch.transport.clock import monotonic_s
from standins.store import FakeStore
from standins.store_link import StoreLink, TurnedAway
from standins.target import FakeTarget

from .harness import SERVICE, configuration, new_state, run_scenario

COUNT = 6
START_S = 3.0
ROLES_SETTLE_S = 7.0
DELAY_S = 0.001
VERSIONS, VERSIONS_GAP_S = 12, 0.06


class RunningRegion:
    """Instances that read one store and exchange messages in this event loop."""

    def __init__(self, count=COUNT):
        self.store = FakeStore()
        self.names = [f"i{number}" for number in range(count)]
        self.links = {}
        self.states = {}
        self.gossips = {}
        self.version = 0
        self._tasks = []

    async def __aenter__(self):
        for name in self.names:
            await self._start(name)
        return self

    async def __aexit__(self, *error):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for link in self.links.values():
            link.stop()

    async def _start(self, name):
        link = self.links[name] = StoreLink(self.store)
        state = self.states[name] = new_state(name, monotonic_s)
        gossip = self.gossips[name] = Gossip(state, tuple(self.names), monotonic_s)
        gossip.socket.send = lambda addresses, message: self._send(
            name, addresses, message
        )
        reader = StoreReader(await link.start(), state, gossip, monotonic_s)
        steps = (
            (gossip.send_heartbeat, HEARTBEAT_CHECK_INTERVAL_S),
            (gossip.update_reader_role, READER_CHECK_INTERVAL_S),
            (gossip.request_state, STATE_REQUEST_INTERVAL_S),
        )
        coroutines = (
            run_periodically(itertools.starmap(PeriodicStep, steps), monotonic_s),
            reader.read_at_start(),
            reader.watch_configuration(),
            reader.watch_entries(),
        )
        self._tasks.extend(asyncio.create_task(item) for item in coroutines)

    def _send(self, sender, addresses, message):
        loop = asyncio.get_running_loop()
        for address in addresses:
            if address in self.gossips:
                datagram = Datagram(sender, 1, message)
                receive = self.gossips[address].receive
                loop.call_later(DELAY_S, receive, datagram, sender)
        return True

    def readers(self):
        return [name for name in self.names if self.gossips[name].is_reading]

    def publish(self):
        """Write the next version, and that an upstream drains; return the version."""
        self.version += 1
        self.store.put(CONFIGURATION_KEY, configuration(self.version))
        entry = FakeTarget("t1").entry(
            SERVICE,
            "n1",
            address="127.0.0.1:9",
            state="draining",
            sequence=self.version,
        )
        self.store.put(ENTRY_PREFIX + "t1", entry)
        return self.version

    async def publish_in_quick_succession(self):
        """Publish versions that each end a watch, so that its proof is a new one."""
        for _ in range(VERSIONS):
            self.publish()
            await asyncio.sleep(VERSIONS_GAP_S)

    def is_in_force(self, name, version):
        """Return whether an instance knows the version and the entry beside it."""
        state = self.states[name]
        upstream = state.upstreams.get("t1")
        known = upstream is not None and upstream.entry.sequence >= version
        return known and state.configuration.version >= version

    async def wait_in_force(self, names, version):
        while not all(self.is_in_force(name, version) for name in names):
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def settled_region():
    async with RunningRegion() as region:
        region.publish()
        await asyncio.sleep(START_S)
        yield region


@pytest.mark.parametrize("how", list(TurnedAway))
def test_change_is_in_force_in_time_while_the_store_turns_the_readers_away(how):
    # Guards against review/1: instances that the store serves waited for its readers.
    async def scenario():
        async with settled_region() as region:
            readers = region.readers()
            others = [name for name in region.names if name not in readers]
            await region.publish_in_quick_succession()
            for name in readers:
                region.links[name].turn_away(how)
            version = region.publish()
            async with asyncio.timeout(Bounds().configuration_s):
                await region.wait_in_force(others, version)

    run_scenario(scenario)


@pytest.mark.parametrize("how", [TurnedAway.RESET, TurnedAway.UNAVAILABLE])
def test_change_is_in_force_in_time_if_those_that_take_over_are_turned_away_too(how):
    async def scenario():
        async with settled_region() as region:
            ranked = [item.name for item in region.gossips["i0"].region.ranked]
            await region.publish_in_quick_succession()
            for name in ranked[:4]:
                region.links[name].turn_away(how)
            version = region.publish()
            async with asyncio.timeout(Bounds().configuration_s):
                await region.wait_in_force(ranked[4:], version)

    run_scenario(scenario)


def test_readers_that_are_served_again_read_alone_after_a_while():
    async def scenario():
        async with settled_region() as region:
            readers = region.readers()
            for name in readers:
                region.links[name].turn_away(TurnedAway.RESET)
            await asyncio.sleep(1.0)
            assert set(region.readers()) > set(readers)
            for name in readers:
                region.links[name].heal()
            await asyncio.sleep(ROLES_SETTLE_S)
            assert region.readers() == readers

    run_scenario(scenario)


def test_instance_that_replaces_no_reader_does_not_read():
    async def scenario():
        async with settled_region() as region:
            readers = region.readers()
            region.links[readers[0]].turn_away(TurnedAway.RESET)
            await asyncio.sleep(2.0)
            assert len(region.readers()) <= 3

    run_scenario(scenario)


def test_instance_that_replaces_readers_retries_however_long_the_store_is_away():
    async def scenario():
        state = new_state("i0", monotonic_s)
        gossip = Gossip(state, (), monotonic_s)
        gossip._election._is_replacement = True
        reader = StoreReader("127.0.0.1:9", state, gossip, monotonic_s)
        delays_s = [reader._retry_delay_s(failures) for failures in (1, 2, 3, 5_000)]
        assert delays_s == [0.3, 0.6, 1.2, 1.2]

    run_scenario(scenario)
