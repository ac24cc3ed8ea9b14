"""Decisions of the request path."""

import pytest

from chervilpitch import notes
from chervilpitch.accounts import PresentedKey
from chervilpitch.model import Instance, RefusalKind
from chervilpitch.runtime.control import Control
from chervilpitch.runtime.cores import Cores
from chervilpitch.runtime.decisions import Decisions
from chervilpitch.spread import PlatformHead, PlatformValue, Suspended
from standins import notes as sections
from tests.clocks import Clock

OWN = Instance("a", 0, "punjab/a", "127.0.0.1:1", "127.0.0.1:2")
KEY = "an example key"


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def cores(clock):
    cores = Cores(OWN, 1, b"a secret of the fleet", clock, 5, lambda effects: None)
    control = Control(cores)
    control.apply_list({"a": OWN})
    text = "[note]\nrevision = 1\nfollows =\n\n" + sections.seat(0, "punjab/a")
    text += sections.account("fitters", 10, 10) + sections.key(KEY, "fitters")
    digest = notes.digest(notes.parse(text, "note").unwrap())
    for _ in range(60):
        clock.now_s += 0.1
        control.tick()
        control.record_platform_revision(1, clock.now_s)
        control.handle_platform_event(PlatformHead(1, digest))
        control.handle_platform_event(PlatformValue("notes/1", text.encode()))
    return cores


@pytest.fixture
def decisions(cores):
    return Decisions(cores, requests_per_account=2)


def refusal(decisions, key=KEY):
    return decisions.identify(PresentedKey(key)).map(lambda _: None).err()


def test_a_key_in_force_identifies_its_account(decisions):
    assert decisions.identify(PresentedKey(KEY)).unwrap().name == "fitters"


def test_an_instance_without_a_note_is_not_ready(clock):
    cores = Cores(OWN, 1, b"a secret of the fleet", clock, 5, lambda effects: None)
    found = refusal(Decisions(cores, requests_per_account=2))
    assert found.kind is RefusalKind.NOT_READY


@pytest.mark.parametrize(
    "suspended",
    [
        Suspended(frozenset(), frozenset({"fitters"})),
        Suspended(frozenset({PresentedKey(KEY).digest}), frozenset()),
    ],
)
def test_a_suspended_key_or_account_is_refused_at_once(cores, decisions, suspended):
    cores.suspended = suspended
    assert refusal(decisions).kind is RefusalKind.KEY_UNKNOWN


def test_requests_in_flight_are_limited_per_account(decisions):
    assert decisions.enter("fitters").is_ok()
    assert decisions.enter("fitters").is_ok()
    assert (
        decisions.enter("fitters").unwrap_err().kind is RefusalKind.TOO_MANY_IN_FLIGHT
    )
    assert decisions.enter("others").is_ok()


def test_a_draining_instance_refuses_new_requests(decisions):
    decisions.refuse_new()
    assert decisions.enter("fitters").unwrap_err().kind is RefusalKind.NOT_READY
