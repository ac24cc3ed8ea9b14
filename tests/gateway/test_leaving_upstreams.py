"""Upstreams that say in their responses that they leave, while they are listed."""

import asyncio

import pytest
from structlog.testing import capture_logs

from standins.target import Behaviour, FakeTarget

from .harness import GatewayHarness, run_scenario

LEAVING = {"Server-Leaving": "1"}
REQUESTS = 30


async def started(*targets):
    harness = GatewayHarness()
    await harness.start(*targets)
    return harness


async def send_all(harness, path="/read/x", method="GET"):
    """Send requests one after the other and return their statuses."""
    responses = [await harness.send_request(path, method) for _ in range(REQUESTS)]
    return [status for status, _, _ in responses]


async def heard_to_leave(leaving, harness):
    """Send requests until one has run on the upstream that leaves."""
    leaving.extra_headers = LEAVING
    while not leaving.runs:
        await harness.send_request("/read/x")
    return len(leaving.runs)


@pytest.mark.parametrize(
    ("path", "method"), [("/read/x", "GET"), ("/book/x", "POST"), ("/open/x", "GET")]
)
def test_upstream_that_says_it_leaves_gets_no_new_request(path, method):
    # Guards against review/3: requests sent long after Server-Leaving was passed on.
    async def scenario():
        leaving, other = FakeTarget("t1"), FakeTarget("t2")
        harness = await started(leaving, other)
        runs = await heard_to_leave(leaving, harness)
        assert set(await send_all(harness, path, method)) == {200}
        assert len(leaving.runs) == runs

    run_scenario(scenario)


@pytest.mark.parametrize("behaviour", [Behaviour.ERROR, Behaviour.SHED])
def test_leaving_counts_in_responses_other_than_successes(behaviour):
    async def scenario():
        leaving = FakeTarget("t1", behaviour)
        leaving.extra_headers = LEAVING
        harness = await started(leaving)
        await harness.send_request("/book/x", "POST")
        leaving.behaviour = Behaviour.CORRECT
        runs = len(leaving.runs)
        assert set(await send_all(harness)) == {503}
        assert len(leaving.runs) == runs

    run_scenario(scenario)


@pytest.mark.parametrize("value", ["0", "", "true", "01", "1;x"])
def test_other_values_do_not_state_that_an_upstream_leaves(value):
    async def scenario():
        target = FakeTarget("t1")
        target.extra_headers = {"Server-Leaving": value}
        harness = await started(target)
        assert set(await send_all(harness)) == {200}

    run_scenario(scenario)


def test_upstream_that_left_is_used_again_after_its_restart():
    async def scenario():
        leaving = FakeTarget("t1")
        harness = await started(leaving)
        await heard_to_leave(leaving, harness)
        assert (await harness.send_request("/read/x"))[0] == 503
        leaving.extra_headers = {}
        harness.apply_entries(born=1_700_000_009_000)
        assert (await harness.send_request("/read/x"))[0] == 200

    run_scenario(scenario)


def test_upstream_that_leaves_is_not_used_when_its_entry_is_lost_and_comes_back():
    async def scenario():
        leaving, other = FakeTarget("t1"), FakeTarget("t2")
        harness = await started(leaving, other)
        runs = await heard_to_leave(leaving, harness)
        harness.targets = [other]
        harness.apply_entries(sequence=2)
        harness.targets = [leaving, other]
        harness.apply_entries(sequence=3)
        assert set(await send_all(harness)) == {200}
        assert len(leaving.runs) == runs

    run_scenario(scenario)


def test_word_of_another_upstream_at_the_address_does_not_count():
    async def scenario():
        target = FakeTarget("t1")
        harness = await started(target)
        target.name = "t9"
        target.extra_headers = LEAVING
        await harness.send_request("/read/x")
        state = harness.state.upstreams.get("t1")
        assert not state.is_leaving

    run_scenario(scenario)


def test_idle_connections_to_an_upstream_that_leaves_are_closed():
    async def scenario():
        leaving = FakeTarget("t1", service_time_s=0.05)
        harness = await started(leaving)
        requests = [harness.send_request("/read/x") for _ in range(3)]
        await asyncio.gather(*requests)
        leaving.extra_headers = LEAVING
        with capture_logs() as lines:
            await harness.send_request("/read/x")
        assert not harness.pool._idle.get("t1")
        events = [line["event"] for line in lines]
        assert any("states that it is leaving" in event for event in events)

    run_scenario(scenario)
