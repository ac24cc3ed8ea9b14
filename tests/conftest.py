"""Hypothesis profiles and the marking of known failures, for all tests."""

import os
import pathlib

import pytest
from hypothesis import HealthCheck, settings

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=100,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile("many", deadline=None, max_examples=5_000)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


def known_red_tests():
    """Return the test ids in the first field of each line of KNOWN-RED.txt."""
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split("|")[0].strip() for line in lines if "|" in line}


def pytest_collection_modifyitems(items):
    known_red = known_red_tests()
    for item in items:
        if item.nodeid in known_red:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt"))
