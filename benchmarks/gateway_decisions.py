"""Processor time of the gateway's decisions for a request and for a report.

Run ``python -m benchmarks.gateway_decisions``. Each size names the upstreams of a
service and the instances of a region; the time of a decision should not grow with
either. The time of an admission decision should not grow with the number of client
accounts, with free capacity or while the service is short of it.
"""

import itertools
import random
import time
from collections.abc import Callable
from typing import NamedTuple

from chervilpitch.model import RequestKind, UpstreamEntry
from chervilpitch.policy import (
    AdmissionLevel,
    AdmissionRequest,
    FleetBucket,
    LatencyBaseline,
    Location,
    UpstreamReport,
    UpstreamTable,
)
from chervilpitch.policy.work import CostTable, RequestTraits

CALLS = 2_000
REPEATS = 5
US_PER_S = 1_000_000
DOMAINS = 9
REGIONS = 3
REPORTED_UPSTREAMS = 20
COST_ACCOUNTS = 100_000
ROUTES = 11_000
START_S = 100.0


class Size(NamedTuple):
    """Upstreams of a service, and instances of a region that report."""

    upstreams: int
    instances: int


ADMISSION_ACCOUNTS = (100, 100_000)
ADMISSION_RATE_PER_S = 5_000
FILLING_CALLS = 100_000
SIZES = (Size(35, 12), Size(139, 98), Size(556, 392), Size(1_000, 392))


class Measured(NamedTuple):
    """Processor time of one call of each decision, in microseconds."""

    choose_us: float
    admit_us: float
    report_us: float
    estimate_us: float


def measure(size: Size) -> Measured:
    """Return the processor time of the decisions at a size."""
    rng = random.Random(1)
    table = _filled_table(size, rng)
    bucket = FleetBucket(50.0, 50.0, 8.0, START_S)
    for source in range(4):
        bucket.add_report(f"sum-{source}", 100 * source, START_S)
    baseline = LatencyBaseline(1.0)
    draws = iter(rng.random, None)
    costs = _filled_costs(baseline)
    report = UpstreamReport(_name(1), 1, 0.2, 1, 0, 0.0)
    return Measured(
        _call_us(
            lambda: table.choose(
                "desk", RequestKind.UNSAFE, baseline, frozenset(), START_S, draws
            )
        ),
        _call_us(lambda: bucket.allows(START_S)),
        _call_us(lambda: table.add_reports((report,), "i1:1", START_S)),
        _call_us(lambda: costs.estimate(_traits(1), baseline, START_S)),
    )


def _filled_table(size: Size, rng: random.Random) -> UpstreamTable:
    region_of = {f"d{index}": f"r{index % REGIONS}" for index in range(DOMAINS)}
    table = UpstreamTable(Location("r0", "d0", region_of))
    entries = [
        UpstreamEntry(
            _name(index), "desk", "h:1", f"d{index % DOMAINS}", 4, False, 0.0, 1, 1
        )
        for index in range(size.upstreams)
    ]
    table.update_entries(entries, START_S)
    for instance in range(size.instances):
        reports = [
            UpstreamReport(_name(rng.randrange(size.upstreams)), 1, 0.2, 1, 0, 0.0)
            for _ in range(REPORTED_UPSTREAMS)
        ]
        table.add_reports(reports, f"i{instance}:1", START_S)
    return table


def _filled_costs(baseline: LatencyBaseline) -> CostTable:
    costs = CostTable()
    for index in range(COST_ACCOUNTS):
        costs.observe(_traits(index), 0.3, baseline, START_S)
    return costs


def _traits(index: int) -> RequestTraits:
    return RequestTraits(f"r{index % ROUTES}", "desk", "POST", index, f"account{index}")


def _name(index: int) -> str:
    return f"u{index}"


def _call_us(call: Callable[[], object]) -> float:
    """Return the least processor time of a call over several repeats."""
    times_s = []
    for _ in range(REPEATS):
        started_s = time.process_time()
        for _ in range(CALLS):
            call()
        times_s.append(time.process_time() - started_s)
    return min(times_s) / CALLS * US_PER_S


def measure_admission(accounts: int, is_short: bool) -> float:
    """Return the processor time of an admission decision in microseconds.

    Parameters
    ----------
    accounts : int
        Client accounts, which send requests in turn.
    is_short : bool
        Whether the service is short of capacity.
    """
    rng = random.Random(1)
    level = AdmissionLevel()
    now_s = itertools.count(START_S * ADMISSION_RATE_PER_S)
    load = 12 if is_short else 2
    expected_s = 0.9 if is_short else 0.3
    requests = itertools.cycle(
        [
            AdmissionRequest(
                index % 3, f"a{index}", expected_s, 1.0, 2.0, 1.1, 4, load, False, False
            )
            for index in range(accounts)
        ]
    )
    draws = iter(rng.random, None)
    if is_short:
        first = next(requests)._replace(is_overloaded=True)
        level.refusal(first, draws, START_S)

    def decide():
        at_s = next(now_s) / ADMISSION_RATE_PER_S
        if level.refusal(next(requests), draws, at_s) is None:
            level.record_served(at_s)

    for _ in range(FILLING_CALLS):
        decide()
    return _call_us(decide)


def main() -> None:
    """Print a row for each size."""
    print("upstreams instances choose_us admit_us report_us estimate_us")
    for size in SIZES:
        row = measure(size)
        times = " ".join(f"{value:.1f}" for value in row)
        print(size.upstreams, size.instances, times)
    print("accounts calm_us short_us")
    for accounts in ADMISSION_ACCOUNTS:
        calm_us = measure_admission(accounts, False)
        print(accounts, f"{calm_us:.1f} {measure_admission(accounts, True):.1f}")


if __name__ == "__main__":
    main()
