"""Fixtures for tests with whole processes; the tests of a module share a fleet."""

import pytest

from standins.caller import CallerClient
from standins.demo import KEY, start_small_fleet, wait_until_served
from standins.fleet import FleetProcesses


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with FleetProcesses(tmp_path_factory.mktemp("fleet")) as processes:
        start_small_fleet(processes)
        for instance in processes.instances.values():
            wait_until_served(processes, instance.callers_address)
        yield processes


@pytest.fixture
def caller():
    return CallerClient(KEY)
