"""Which instance reports the usage of its region, and who receives it."""

from chervilpitch.gateway.messages import region_source_of
from chervilpitch.policy import AccountUsage

from .harness import ACCOUNT
from .region_simulation import RegionSimulation

REGIONS = ("north", "south")
SETTLE_S = 6.0
TAKEOVER_S = 2.0


def reporters(fleet, region):
    """Return the names of the running instances that report for a region."""
    return [
        name
        for name, gossip in fleet.gossips.items()
        if fleet.states[name].members.own.region == region
        and gossip._evidence._reporters.is_own_turn()
    ]


def use_rate(fleet, duration_s):
    """Take a token of an account on every instance each 0.2 s."""
    for _ in range(round(duration_s / 0.2)):
        for name in fleet.gossips:
            fleet.states[name].take_token(ACCOUNT, fleet.now_s)
        fleet.run(0.2)


def new_fleet():
    """Return a fleet of two regions with an account of 100 requests/s."""
    fleet = RegionSimulation(40, 1, regions=REGIONS)
    account = {"name": ACCOUNT, "api_keys": [], "rate_per_s": 100, "burst": 100}
    fleet.publish(1, tenants=[account])
    fleet.run(SETTLE_S)
    return fleet


def test_another_aggregator_reports_within_2_s_after_the_reporter_stopped():
    fleet = new_fleet()
    use_rate(fleet, 2.0)
    (first,) = reporters(fleet, "north")
    fleet.stop(first)
    use_rate(fleet, TAKEOVER_S)
    (second,) = reporters(fleet, "north")
    assert second != first


def test_tokens_taken_while_no_instance_reported_are_charged_elsewhere():
    # Guards against QUOTA: what a region used until the takeover was forgotten.
    fleet = new_fleet()
    use_rate(fleet, 2.0)
    (first,) = reporters(fleet, "north")
    fleet.stop(first)
    use_rate(fleet, TAKEOVER_S)
    fleet.run(1.0)
    taken = sum(state.buckets[ACCOUNT].admitted for state in fleet.states.values())
    charged = [
        fleet.states[name].buckets[ACCOUNT].log_fields(fleet.now_s)["charged"]
        for name in fleet.gossips
        if fleet.states[name].members.own.region == "south"
    ]
    assert min(charged) >= 0.9 * taken


def test_counters_of_another_reporter_are_continued_under_its_source():
    fleet = new_fleet()
    (first,) = reporters(fleet, "north")
    other = next(
        name
        for name in fleet.gossips
        if name != first and fleet.states[name].members.own.region == "north"
    )
    rates = fleet.gossips[other]._evidence._rates
    source = region_source_of(first, "north", 1)
    rates.follow_region_usage(source, (AccountUsage(ACCOUNT, 70),))
    fleet.states[other].take_token(ACCOUNT, fleet.now_s)
    assert rates.region_source == source
    assert rates.take_unsent_region_usage() == (AccountUsage(ACCOUNT, 71),)
