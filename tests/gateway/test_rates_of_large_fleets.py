"""Rates of client accounts over the instances of three large regions."""

import random

import pytest

from chervilpitch.platform import Bounds
from tests.policy.test_quota import max_in_window, poisson

from .harness import ACCOUNT, admit
from .region_simulation import STEP_S, RegionSimulation

COUNT = 294
REGIONS = ("north", "south", "east")
SETTLE_S = 6.0
SURGE_FROM_S = 5.5
SURGE_S = 6.5
USUAL_SHARE = 1 / 1.6
SURGE = 11.4
WINDOW_S = 5.0


class Demand:
    """Requests of one client account to random instances of a fleet.

    Parameters
    ----------
    rate_per_s : float
        Rate and burst of the account.
    seed : int
        Seed of random numbers.
    loss : float
        Share of datagrams that are lost.
    """

    def __init__(self, rate_per_s, seed, loss):
        self.fleet = RegionSimulation(COUNT, seed, loss, REGIONS)
        account = {
            "name": ACCOUNT,
            "api_keys": [],
            "rate_per_s": rate_per_s,
            "burst": rate_per_s,
        }
        self.fleet.publish(1, tenants=[account])
        self.fleet.run(SETTLE_S)
        self.rate_per_s = rate_per_s
        self.rng = random.Random(seed)
        self.admitted = []
        self.refused = []

    def run(self, duration_s):
        """Send requests at the usual rate, with a surge in between."""
        names = list(self.fleet.gossips)
        started_at_s = self.fleet.now_s
        while (now_s := self.fleet.now_s - started_at_s) < duration_s:
            self.fleet.run(STEP_S)
            for _ in range(poisson(self._request_rate(now_s) * STEP_S, self.rng)):
                state = self.fleet.states[self.rng.choice(names)]
                is_admitted = admit(state, ACCOUNT, self.fleet.now_s)
                (self.admitted if is_admitted else self.refused).append(now_s)

    def _request_rate(self, now_s):
        is_surge = SURGE_FROM_S <= now_s < SURGE_FROM_S + SURGE_S
        return self.rate_per_s * USUAL_SHARE * (SURGE if is_surge else 1.0)


@pytest.mark.parametrize(
    ("rate_per_s", "seed", "loss"), [(42, 4, 0.0), (101, 6, 0.0), (58, 9, 0.025)]
)
def test_surge_of_one_account_stays_within_its_rate(rate_per_s, seed, loss):
    # Guards against QUOTA at scale: all instances admitted until the reports arrived.
    demand = Demand(rate_per_s, seed, loss)
    demand.run(SURGE_FROM_S + SURGE_S + 1.0)
    bounds = Bounds()
    allowed = rate_per_s * WINDOW_S + rate_per_s
    allowed = allowed * (1 + bounds.rate_excess) + bounds.rate_slack
    assert max_in_window(demand.admitted, WINDOW_S) <= allowed
    usual = [at_s for at_s in demand.refused if at_s < SURGE_FROM_S]
    assert len(usual) <= 0.01 * SURGE_FROM_S * rate_per_s * USUAL_SHARE
    in_surge = [at_s for at_s in demand.admitted if at_s >= SURGE_FROM_S]
    assert len(in_surge) >= 0.85 * SURGE_S * rate_per_s
