"""Compare detection times and false ejections with those of a naive detector.

The load of a service is half the capacity of its slots at the mean service time;
each of 36 instances sends 1/36 of it. The fault affects one upstream in the
instance's own failure domain; it starts after 60 s and lasts 60 s.
"""

import argparse
import json
import statistics
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from .faults import FAULTS, Service
from .policies import NaiveDetector, ProjectDetector
from .simulation import INSTANCES, simulate

SEEDS = 20
PROCESSES = 5
UTILIZATION = 0.5
TABLE_HEADER = (
    "| Service | Fault | Detector | Detected | Median s | Worst s | "
    "False ejections/run | Min capacity | Unserved % | Late % | Ejected % after |"
)


def make_service(name, upstreams, slots, mean_latency_s, timeout_s):
    """Return a service with the load that one instance sends to it."""
    rate_per_s = UTILIZATION * upstreams * slots / mean_latency_s / INSTANCES
    return Service(name, upstreams, slots, mean_latency_s, timeout_s, rate_per_s)


SERVICES = (
    make_service("fitting desk", 25, 4, 0.04, 5.0),
    make_service("quote office", 10, 4, 0.25, 10.0),
    make_service("slot desk", 20, 3, 0.05, 5.0),
    make_service("dossier hub", 10, 3, 1.0, 30.0),
)


def summarize(service, fault, detector_type, seeds):
    """Run all seeds of one case and return its row of the table."""
    with ProcessPoolExecutor(PROCESSES) as pool:
        run = partial(simulate, detector_type, service, fault)
        runs = list(pool.map(run, range(seeds)))
    times = [run.detected_s for run in runs if run.detected_s is not None]
    requests = sum(run.requests for run in runs)
    are_all_detected = len(times) == len(runs)
    return {
        "service": service.name,
        "fault": fault.name,
        "detector": detector_type.name,
        "harmless": fault.is_harmless,
        "runs": len(runs),
        "detected": len(times),
        "median_s": statistics.median(times) if times else None,
        "worst_s": max(times) if are_all_detected else None,
        "false_ejections": sum(run.false_ejections for run in runs) / len(runs),
        "min_capacity": min(run.min_capacity for run in runs),
        "unserved": sum(run.unserved for run in runs) / requests,
        "late": sum(run.late for run in runs) / requests,
        "ejected_share": statistics.fmean(run.ejected_share for run in runs),
    }


def format_row(row):
    """Return a row as a line of a Markdown table."""
    detected = "-" if row["harmless"] else f"{row['detected']}/{row['runs']}"
    cells = (
        row["service"],
        row["fault"],
        row["detector"],
        detected,
        _format_seconds(row["median_s"]),
        _format_seconds(row["worst_s"]),
        f"{row['false_ejections']:.2f}",
        f"{row['min_capacity']:.2f}",
        f"{100 * row['unserved']:.2f}",
        f"{100 * row['late']:.2f}",
        "-" if row["harmless"] else f"{100 * row['ejected_share']:.0f}",
    )
    return "| " + " | ".join(cells) + " |"


def _format_seconds(value):
    return "-" if value is None else f"{value:.2f}"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", help="also write the rows to this file")
    parser.add_argument("--seeds", type=int, default=SEEDS)
    parser.add_argument("--service", help="only this service")
    parser.add_argument("--fault", help="only this fault")
    options = parser.parse_args()
    rows = []
    print(TABLE_HEADER)
    print("|" + " --- |" * TABLE_HEADER.count(" | ") + " --- |")
    for service in SERVICES:
        if options.service not in (None, service.name):
            continue
        for fault in FAULTS:
            if options.fault not in (None, fault.name):
                continue
            for detector_type in (ProjectDetector, NaiveDetector):
                row = summarize(service, fault, detector_type, options.seeds)
                rows.append(row)
                print(format_row(row), flush=True)
    if options.json:
        with open(options.json, "w") as file:
            json.dump(rows, file, indent=1)


if __name__ == "__main__":
    main()
