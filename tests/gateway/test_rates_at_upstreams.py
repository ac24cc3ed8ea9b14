"""Rates of client accounts as upstreams count them: each run, repeated or not."""

import random

import pytest

from chervilpitch.platform import Bounds
from tests.policy.test_quota import max_in_window

from .harness import ACCOUNT, KEY
from .region_simulation import RegionSimulation
from .request_simulation import Faults, RequestSimulation

REGIONS = ("north", "south", "east")
SETTLE_S = 6.0
SURGE_FROM_S = 5.5
SURGE_S = 6.5
USUAL_SHARE = 1 / 1.6
SURGE = 11.4
WINDOW_S = 5.0
KILLED_AT_S = 9.0
RESTART_S = 1.0
RETRIES_PER_INSTANCE = 1.5
RATE_PER_S = 42.0
RESETS = Faults(reset=0.15)
RESETS_AND_HANGS = Faults(reset=0.2, hang=0.1)
MANY_RESETS = Faults(reset=0.3, hang=0.1)
SHEDS = Faults(shed=0.25, unreachable=0.1)
ALL_FAULTS = Faults(reset=0.1, hang=0.05, shed=0.1, unreachable=0.05)


def surge(elapsed_s):
    """Return the requests per second of an account whose demand rises for a while."""
    is_surge = SURGE_FROM_S <= elapsed_s < SURGE_FROM_S + SURGE_S
    return RATE_PER_S * USUAL_SHARE * (SURGE if is_surge else 1.0)


def usual(elapsed_s):
    """Return the usual requests per second of an account."""
    return RATE_PER_S * USUAL_SHARE


def play(count, faults, seed, demand, loss=0.0, restarted_share=0.0):
    """Return a simulation of a fleet after 13 s of an account's demand.

    A share of the instances is killed together during a surge, and started again.
    """
    bounds = Bounds(retry_slack=RETRIES_PER_INSTANCE * count)
    fleet = RegionSimulation(count, seed, loss, REGIONS, bounds)
    account = {
        "name": ACCOUNT,
        "api_keys": [KEY],
        "rate_per_s": RATE_PER_S,
        "burst": RATE_PER_S,
    }
    fleet.publish(1, tenants=[account])
    fleet.run(SETTLE_S)
    simulation = RequestSimulation(fleet, faults, seed)
    names = random.Random(seed).sample(
        list(fleet.gossips), round(restarted_share * count)
    )
    simulation.restart(names, KILLED_AT_S, RESTART_S)
    simulation.run(demand, SURGE_FROM_S + SURGE_S + 1.0)
    return simulation


def allowed_in_window():
    """Return the requests of the account that may run within any window."""
    bounds = Bounds()
    rated = RATE_PER_S * WINDOW_S + RATE_PER_S
    return rated * (1 + bounds.rate_excess) + bounds.rate_slack


@pytest.mark.parametrize(
    ("count", "faults", "seed", "loss"),
    [
        (30, MANY_RESETS, 2, 0.0),
        (100, MANY_RESETS, 2, 0.025),
        (294, RESETS_AND_HANGS, 3, 0.0),
        (294, RESETS_AND_HANGS, 4, 0.025),
    ],
    ids=["30", "100-lossy", "294", "294-lossy"],
)
def test_repeats_at_upstreams_stay_within_the_rate_of_their_account(
    count, faults, seed, loss
):
    # Guards against QUOTA at scale: retries and hedges ran beside what was admitted.
    simulation = play(count, faults, seed, surge, loss)
    run_at_s = [at_s for at_s, _ in simulation.upstreams.runs]
    assert max_in_window(run_at_s, WINDOW_S) <= allowed_in_window()


@pytest.mark.parametrize(
    ("faults", "seed"),
    [(Faults(), 5), (RESETS, 6), (SHEDS, 7), (ALL_FAULTS, 8)],
    ids=["no-faults", "resets", "sheds", "all-faults"],
)
def test_account_within_its_rate_is_hardly_refused_beside_repeats(faults, seed):
    simulation = play(100, faults, seed, usual)
    statuses = [status for _, status in simulation.responses]
    assert statuses.count(429) <= 0.01 * len(statuses)


@pytest.mark.parametrize(
    ("count", "share", "seed"),
    [(30, 0.5, 3), (100, 0.5, 1), (294, 0.22, 2), (294, 0.55, 2)],
)
def test_restart_of_many_instances_grants_no_more_than_the_rate(count, share, seed):
    # Guards against QUOTA at scale: what instances admitted before was forgotten.
    simulation = play(count, Faults(), seed, surge, restarted_share=share)
    run_at_s = [at_s for at_s, _ in simulation.upstreams.runs]
    assert max_in_window(run_at_s, WINDOW_S) <= allowed_in_window()


@pytest.mark.parametrize(
    ("count", "share", "seed", "loss"), [(100, 0.5, 29, 0.025), (294, 0.22, 12, 0.0)]
)
def test_restart_beside_resets_grants_no_more_than_the_rate(count, share, seed, loss):
    # Guards against QUOTA at scale: both faults at once, with a surge.
    simulation = play(count, RESETS, seed, surge, loss, restarted_share=share)
    run_at_s = [at_s for at_s, _ in simulation.upstreams.runs]
    assert max_in_window(run_at_s, WINDOW_S) <= allowed_in_window()
