"""Time that an instance adds to a request, beside a bare hop, in one run.

The three ways alternate request by request: straight to the upstream, through a
bare cheroot and urllib3 hop, and through an instance. The filters' own times come
from the instance's metrics.
"""

import argparse
import json
import pathlib
import sys
import tempfile
import time

import numpy as np
import urllib3
from tqdm import trange

from standins.demo import KEY, start_small_fleet, wait_until_served
from standins.fleet import FleetProcesses, fetch, free_address, wait_for_listener

__all__ = ["main"]

WARM_UP = 200
TARGET_MS = 2.2
MS_PER_S = 1_000
RATE_PER_S = 100_000


def main():
    """Measure and print one table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=3_000)
    parser.add_argument("--json", type=pathlib.Path)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        with FleetProcesses(pathlib.Path(directory) / "fleet") as fleet:
            result = _measure(fleet, arguments.requests)
    _show(result)
    if arguments.json:
        arguments.json.write_text(json.dumps(result, indent=1))


def _measure(fleet, count):
    start_small_fleet(fleet, upstreams=1, rate_per_s=RATE_PER_S, burst=RATE_PER_S)
    instance = fleet.instances["instance-0"]
    wait_until_served(fleet, instance.callers_address)
    upstream = fleet.upstreams["desk-0"]
    hop = free_address()
    fleet.start_module(
        "hop", "benchmarks.bare_hop", "--listen", hop, "--upstream", upstream
    )
    wait_for_listener(hop)
    ways = {"direct": upstream, "bare hop": hop, "instance": instance.callers_address}
    before = _filter_times(instance.admin_address)
    times = _alternate(ways, count)
    after = _filter_times(instance.admin_address)
    return {"ways": times, "filters": _means(before, after)}


def _alternate(ways, count):
    pools = {way: _pool(address) for way, address in ways.items()}
    taken = {way: [] for way in ways}
    for number in trange(count + WARM_UP, file=sys.stderr):
        for way, pool in pools.items():
            started = time.perf_counter()
            answer = pool.request(
                "GET", "/catalogue/1", headers={"Authorization": f"Bearer {KEY}"}
            )
            elapsed_ms = (time.perf_counter() - started) * MS_PER_S
            if number >= WARM_UP and answer.status == 200:
                taken[way].append(elapsed_ms)
    return {way: _summary(values) for way, values in taken.items()}


def _pool(address):
    host, _, port = address.rpartition(":")
    return urllib3.HTTPConnectionPool(host, int(port), retries=False)


def _summary(values):
    median, p99 = np.percentile(values, [50, 99])
    return {"count": len(values), "median_ms": float(median), "p99_ms": float(p99)}


def _filter_times(admin):
    """Return the seconds and the number of passes of each filter so far."""
    sums, counts = {}, {}
    for line in fetch(admin, "/metrics").decode().splitlines():
        for kind, found in (("_sum{", sums), ("_count{", counts)):
            if line.startswith("chervilpitch_filter_seconds" + kind):
                found[line.split('"')[1]] = float(line.split()[-1])
    return {name: (sums[name], counts[name]) for name in sums}


def _means(before, after):
    """Return the mean milliseconds of each filter between two readings."""
    means = {}
    for name, (seconds, passes) in after.items():
        seconds_before, passes_before = before.get(name, (0.0, 0.0))
        elapsed_ms = (seconds - seconds_before) * MS_PER_S
        means[name] = elapsed_ms / max(1.0, passes - passes_before)
    return means


def _show(result):
    ways, filters = result["ways"], result["filters"]
    direct, hop, instance = ways["direct"], ways["bare hop"], ways["instance"]
    print(f"{'way':<10} {'count':>6} {'median ms':>10} {'p99 ms':>8}")
    for way, row in ways.items():
        print(
            f"{way:<10} {row['count']:>6} {row['median_ms']:>10.3f}"
            f" {row['p99_ms']:>8.3f}"
        )
    for name in ("median_ms", "p99_ms"):
        added_hop = hop[name] - direct[name]
        added = instance[name] - direct[name]
        print(
            f"added, {name}: bare hop {added_hop:.3f}, instance {added:.3f}, "
            f"ratio {added / added_hop:.2f}, target {TARGET_MS} at p99"
        )
    for name, mean in filters.items():
        share = mean / (hop["median_ms"] - direct["median_ms"])
        print(
            f"filter {name:<9} mean {mean:.3f} ms, {share:.2f} of the bare hop's added"
        )


if __name__ == "__main__":
    main()
