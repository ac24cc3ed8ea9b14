"""Measure the time that an instance adds to a request, compared with a bare hop.

Requests alternate between three ways: directly to the upstream, through a bare
cheroot and urllib3 hop, and through an instance. The times of the filters come from
the metrics of the instance.
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

WARM_UP_REQUESTS = 200
TARGET_MS = 2.2
MS_PER_S = 1_000
RATE_PER_S = 100_000


def main():
    """Run the measurement and print its table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=3_000)
    parser.add_argument("--json", type=pathlib.Path)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        with FleetProcesses(pathlib.Path(directory) / "fleet") as fleet:
            result = _measure_ways(fleet, arguments.requests)
    _print_result(result)
    if arguments.json:
        arguments.json.write_text(json.dumps(result, indent=1))


def _measure_ways(fleet, count):
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
    before = _read_filter_times(instance.admin_address)
    times = _send_alternately(ways, count)
    after = _read_filter_times(instance.admin_address)
    return {"ways": times, "filters": _compute_mean_times(before, after)}


def _send_alternately(ways, count):
    pools = {way: _create_pool(address) for way, address in ways.items()}
    times_ms = {way: [] for way in ways}
    for number in trange(count + WARM_UP_REQUESTS, file=sys.stderr):
        for way, pool in pools.items():
            started_s = time.perf_counter()
            response = pool.request(
                "GET", "/catalogue/1", headers={"Authorization": f"Bearer {KEY}"}
            )
            elapsed_ms = (time.perf_counter() - started_s) * MS_PER_S
            if number >= WARM_UP_REQUESTS and response.status == 200:
                times_ms[way].append(elapsed_ms)
    return {way: _summarize(values) for way, values in times_ms.items()}


def _create_pool(address):
    host, _, port = address.rpartition(":")
    return urllib3.HTTPConnectionPool(host, int(port), retries=False)


def _summarize(values):
    median, p99 = np.percentile(values, [50, 99])
    return {"count": len(values), "median_ms": float(median), "p99_ms": float(p99)}


def _read_filter_times(admin):
    """Return the total seconds and the number of passes of each filter."""
    total_seconds, pass_counts = {}, {}
    for line in fetch(admin, "/metrics").decode().splitlines():
        for kind, values_by_filter in (
            ("_sum{", total_seconds),
            ("_count{", pass_counts),
        ):
            if line.startswith("chervilpitch_filter_seconds" + kind):
                values_by_filter[line.split('"')[1]] = float(line.split()[-1])
    return {name: (total_seconds[name], pass_counts[name]) for name in total_seconds}


def _compute_mean_times(before, after):
    """Return the mean time of each filter between two readings, in milliseconds."""
    means = {}
    for name, (seconds, passes) in after.items():
        seconds_before, passes_before = before.get(name, (0.0, 0.0))
        elapsed_ms = (seconds - seconds_before) * MS_PER_S
        means[name] = elapsed_ms / max(1.0, passes - passes_before)
    return means


def _print_result(result):
    ways, filters = result["ways"], result["filters"]
    direct, hop, instance = ways["direct"], ways["bare hop"], ways["instance"]
    print(f"{'way':<10} {'count':>6} {'median ms':>10} {'p99 ms':>8}")
    for way, row in ways.items():
        print(
            f"{way:<10} {row['count']:>6} {row['median_ms']:>10.3f}"
            f" {row['p99_ms']:>8.3f}"
        )
    for name in ("median_ms", "p99_ms"):
        added_by_hop_ms = hop[name] - direct[name]
        added_ms = instance[name] - direct[name]
        print(
            f"added, {name}: bare hop {added_by_hop_ms:.3f}, instance {added_ms:.3f}, "
            f"ratio {added_ms / added_by_hop_ms:.2f}, target {TARGET_MS} at p99"
        )
    for name, mean_ms in filters.items():
        share = mean_ms / (hop["median_ms"] - direct["median_ms"])
        print(
            f"filter {name:<9} mean {mean_ms:.3f} ms, "
            f"{share:.2f} of the bare hop's added"
        )


if __name__ == "__main__":
    main()
