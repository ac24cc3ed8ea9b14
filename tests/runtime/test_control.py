"""Dispatch of messages and ticks to the decision cores."""

import pytest
from hypothesis import given

from chervilpitch import health
from chervilpitch.model import Instance, Send, Sender
from chervilpitch.runtime.control import Control
from chervilpitch.runtime.cores import Cores
from chervilpitch.transport.codec import MESSAGE_TYPES, Envelope, decode, encode
from tests.clocks import Clock
from tests.strategies import values_of

OWN = Instance("a", 0, "punjab/a", "127.0.0.1:1", "127.0.0.1:2")


@pytest.fixture
def effects():
    return []


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def control(clock, effects):
    cores = Cores(OWN, 1, b"a secret of the fleet", clock, 5, effects.extend)
    return Control(cores)


@pytest.mark.parametrize("name", MESSAGE_TYPES)
def test_every_message_reaches_its_core(control, name):
    @given(values_of(MESSAGE_TYPES[name]))
    def is_handled(message):
        control.receive(message, Sender("b", 2))

    is_handled()


def test_every_message_of_a_tick_can_be_encoded_and_decoded(control, effects):
    listed = {"a": OWN, "b": Instance("b", 1, "punjab/b", "127.0.0.1:3", "127.0.0.1:4")}
    control.apply_list(listed)
    control.tick()
    messages = [item.message for item in effects if hasattr(item, "message")]
    assert messages
    for message in messages:
        envelope = Envelope(Sender("a", 1), "b", 1, 0, message)
        assert decode(encode(envelope)).unwrap() == envelope


def test_ejections_are_reported_to_neighbours(control, clock, effects, monkeypatch):
    listed = {"a": OWN, "b": Instance("b", 1, "punjab/b", "127.0.0.1:3", "127.0.0.1:4")}
    control.apply_list(listed)
    control.tick()
    report = health.HealthReport(("desk-0",))
    monkeypatch.setattr(health, "report", lambda state, now_s: report)
    effects.clear()
    clock.now_s += 1.0
    control.tick()
    assert Send("b", report) in effects
