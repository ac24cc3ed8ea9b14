"""A store that comes back from an older copy, read by one instance."""

import asyncio
import base64
from contextlib import asynccontextmanager

from chervilpitch.gateway.gossip import Gossip
from chervilpitch.gateway.store_reader import StoreReader
from chervilpitch.model import StoreItem
from chervilpitch.platform import CONFIGURATION_KEY, ENTRY_PREFIX
from chervilpitch.transport.clock import monotonic_s
from standins.store import FakeStore
from standins.target import FakeTarget

from .harness import SERVICE, configuration, new_state

MAX_WAIT_S = 6.0


class RestoredStoreHarness:
    """An instance that reads a store, which is restored from copies."""

    def __init__(self):
        self.store = FakeStore()
        self.state = new_state("a", monotonic_s)
        self.gossip = Gossip(self.state, (), monotonic_s)

    @asynccontextmanager
    async def reading(self):
        """Start the store and the reader, and stop them in the end."""
        address = await self.store.start()
        reader = StoreReader(address, self.state, self.gossip, monotonic_s)
        tasks = [
            asyncio.create_task(task)
            for task in (
                reader.watch_configuration(),
                reader.watch_entries(),
                self._update_role(),
            )
        ]
        try:
            async with asyncio.timeout(20):
                yield
        finally:
            for task in tasks:
                task.cancel()
            self.store.stop()

    async def _update_role(self):
        while True:
            self.gossip.update_reader_role()
            await asyncio.sleep(0.05)

    def publish(self, version, **fields):
        """Write a configuration."""
        self.store.put(CONFIGURATION_KEY, configuration(version, **fields))

    def register(self, name, **fields):
        """Write the entry of an upstream."""
        target = FakeTarget(name)
        target.address = f"127.0.0.1:{9000 + int(name[1:])}"
        self.store.put(ENTRY_PREFIX + name, target.entry(SERVICE, "n1", **fields))

    async def wait_until(self, condition):
        """Wait until a condition on the state holds."""
        async with asyncio.timeout(MAX_WAIT_S):
            while not condition(self.state):
                await asyncio.sleep(0.02)

    async def wait_for_version(self, version):
        """Wait until a configuration is in force."""
        await self.wait_until(lambda state: state.configuration.version == version)


def test_version_written_at_a_reused_revision_is_in_force():
    async def scenario():
        harness = RestoredStoreHarness()
        harness.publish(1)
        saved = harness.store.save()
        harness.publish(2)
        async with harness.reading():
            await harness.wait_for_version(2)
            harness.store.restore(saved)
            await asyncio.sleep(1.0)
            assert harness.state.configuration.version == 2
            harness.publish(3)
            await harness.wait_for_version(3)

    asyncio.run(scenario())


def test_older_version_in_a_restored_store_proves_nothing():
    """A key withdrawn by the lost version would be accepted for too long."""

    async def scenario():
        harness = RestoredStoreHarness()
        harness.publish(1)
        saved = harness.store.save()
        harness.publish(2)
        async with harness.reading():
            await harness.wait_for_version(2)
            await asyncio.sleep(0.7)
            harness.store.restore(saved)
            await asyncio.sleep(3.0)
            assert harness.state.freshness.age_s(monotonic_s()) > 2.5
            harness.publish(2)
            await harness.wait_until(
                lambda state: state.freshness.age_s(monotonic_s()) < 2.0
            )

    asyncio.run(scenario())


def test_upstream_that_drained_before_a_restoration_stays_draining():
    async def scenario():
        harness = RestoredStoreHarness()
        harness.publish(1)
        harness.register("u1", sequence=1)
        harness.register("u2", sequence=1)
        saved = harness.store.save()
        harness.register("u1", sequence=2, state="draining")
        async with harness.reading():
            await harness.wait_until(lambda state: state.upstreams.count(SERVICE) == 2)
            harness.store.restore(saved)
            harness.register("u3", sequence=1)
            await harness.wait_until(lambda state: state.upstreams.get("u3"))
            assert harness.state.upstreams.get("u1").entry.is_draining

    asyncio.run(scenario())


def test_upstream_registered_after_the_copy_is_kept_until_it_writes_again():
    async def scenario():
        harness = RestoredStoreHarness()
        harness.publish(1)
        harness.register("u1")
        saved = harness.store.save()
        harness.register("u2")
        async with harness.reading():
            await harness.wait_until(lambda state: state.upstreams.count(SERVICE) == 2)
            harness.store.restore(saved)
            harness.register("u3")
            await harness.wait_until(lambda state: state.upstreams.get("u3"))
            assert harness.state.upstreams.get("u2") is not None

    asyncio.run(scenario())


def test_drain_written_at_a_reused_revision_is_seen():
    async def scenario():
        harness = RestoredStoreHarness()
        harness.publish(1)
        harness.register("u1", sequence=1)
        saved = harness.store.save()
        for number in range(2, 8):
            harness.register(f"u{number}")
        async with harness.reading():
            await harness.wait_until(lambda state: state.upstreams.count(SERVICE) == 7)
            harness.store.restore(saved)
            harness.register("u1", sequence=2, state="draining")
            await harness.wait_until(
                lambda state: state.upstreams.get("u1").entry.is_draining
            )

    asyncio.run(scenario())


def test_store_restored_twice_is_followed_both_times():
    async def scenario():
        harness = RestoredStoreHarness()
        harness.publish(1)
        saved = harness.store.save()
        for version in (2, 3, 4):
            harness.publish(version)
        async with harness.reading():
            await harness.wait_for_version(4)
            harness.store.restore(saved)
            harness.publish(5)
            await harness.wait_for_version(5)
            harness.store.restore(saved)
            await asyncio.sleep(1.0)
            harness.publish(6)
            await harness.wait_for_version(6)

    asyncio.run(scenario())


def test_answers_of_an_earlier_era_are_not_applied():
    async def scenario():
        harness = RestoredStoreHarness()
        harness.store.era = 3
        harness.publish(1)
        async with harness.reading():
            await harness.wait_for_version(1)
            harness.store.era = 2
            harness.publish(2)
            await asyncio.sleep(1.0)
            assert harness.state.configuration.version == 1
            harness.store.era = 3
            await harness.wait_for_version(2)

    asyncio.run(scenario())


def test_store_with_a_malformed_era_is_not_read():
    async def scenario():
        harness = RestoredStoreHarness()
        harness.store.era = "two"
        harness.publish(1)
        async with harness.reading():
            await asyncio.sleep(2.0)
            assert harness.state.configuration.version == 0

    asyncio.run(scenario())


def test_refusal_in_a_later_era_begins_the_era():
    async def scenario():
        harness = RestoredStoreHarness()
        harness.publish(1)
        async with harness.reading():
            await harness.wait_for_version(1)
            harness.store.era = 2
            harness.store.is_refusing = True
            await harness.wait_until(lambda state: state.store_era == 2)

    asyncio.run(scenario())


class StoreRestoredBetweenPages(FakeStore):
    """Store that returns to a copy before it gives a second page."""

    def __init__(self):
        super().__init__()
        self.saved = None

    def _list_items(self, fields):
        if self.saved is not None and "after" in fields:
            self.restore(self.saved)
            self.saved = None
        return super()._list_items(fields)


def test_list_with_pages_of_two_eras_is_read_anew():
    async def scenario():
        harness = RestoredStoreHarness()
        harness.store = StoreRestoredBetweenPages()
        harness.publish(1)
        for number in (3, 4):
            harness.register(f"u{number}")
        saved = harness.store.save()
        for number in (1, 2):
            harness.register(f"u{number}")
        harness.store.saved = saved
        async with harness.reading():
            await harness.wait_until(lambda state: state.upstreams.count(SERVICE))
            assert harness.state.upstreams.get("u1") is None
            assert harness.state.upstreams.get("u3") is not None
            assert harness.state.entry_items.era == 2

    asyncio.run(scenario())


def test_reader_whose_watch_missed_the_version_in_force_reads_it_again():
    """Its proofs would stop for good, as the store last showed an older version."""

    async def scenario():
        harness = RestoredStoreHarness()
        harness.publish(1)
        async with harness.reading():
            await harness.wait_for_version(1)
            harness.publish(2)
            missed = harness.store.history.pop()
            content = base64.b64decode(missed["value"])
            item = StoreItem(CONFIGURATION_KEY, content, missed["revision"])
            harness.state.apply_relayed_configuration((item,), 2, monotonic_s())
            assert harness.state.configuration.version == 2
            await asyncio.sleep(3.0)
            assert harness.state.freshness.age_s(monotonic_s()) < 2.5

    asyncio.run(scenario())
