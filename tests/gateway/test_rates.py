"""Counters of other instances and regions, before and after starts."""

import pytest

from chervilpitch.gateway.messages import source_of
from chervilpitch.gateway.rates import COUNTERS_YOUNG_FOR_S, RateSharing
from chervilpitch.model import StoreItem
from chervilpitch.platform import CONFIGURATION_KEY
from chervilpitch.policy import AccountUsage

from .scene import ACCOUNT, configuration, encoded, state_of

OWN_START_MS = 50_000
EARLIER_MS = 20_000
USED = (AccountUsage(ACCOUNT, 7),)


class Sharing:
    """An instance with one account of ten requests a second, on a clock of its own."""

    def __init__(self):
        self.now_s = 100.0
        clock = lambda: self.now_s  # noqa: E731
        self.state = state_of("own", clock, incarnation=OWN_START_MS)
        account = {"name": ACCOUNT, "api_keys": [], "rate_per_s": 10, "burst": 10}
        content = encoded(configuration(tenants=[account]))
        item = StoreItem(CONFIGURATION_KEY, content, 1)
        self.state.take_configuration_items((item,), self.now_s)
        self.rates = RateSharing(self.state, clock)

    def level(self):
        bucket = self.state.buckets[ACCOUNT]
        bucket.is_low(self.now_s)
        return bucket.log_fields(self.now_s)["level"]


@pytest.mark.parametrize(
    "incarnation, lowered", [(OWN_START_MS, 7), (OWN_START_MS + 9, 7), (EARLIER_MS, 0)]
)
def test_a_counter_that_is_new_counts_whole_if_its_instance_started_no_earlier(
    incarnation, lowered
):
    sharing = Sharing()
    sharing.now_s += 1.0
    before = sharing.level()
    sharing.rates.take_instance(source_of("a", incarnation), USED)
    assert sharing.level() == pytest.approx(before - lowered)
    assert dict(sharing.rates.of_region())[ACCOUNT] == lowered


@pytest.mark.parametrize("age_s, lowered", [(1.0, 7), (COUNTERS_YOUNG_FOR_S + 1, 0)])
def test_a_region_s_counter_counts_whole_only_while_both_are_young(age_s, lowered):
    sharing = Sharing()
    sharing.now_s += age_s
    before = sharing.level()
    sharing.rates.take_region(source_of("b", OWN_START_MS), USED)
    assert sharing.level() == pytest.approx(before - lowered)


def test_what_was_told_is_told_once():
    sharing = Sharing()
    sharing.now_s += 5.0
    assert sharing.state.buckets[ACCOUNT].admit(sharing.now_s)
    assert sharing.rates.changed() == (AccountUsage(ACCOUNT, 1),)
    assert sharing.rates.changed() == ()
