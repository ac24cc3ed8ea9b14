"""Measure how state, messages, processor time and memory grow with size.

Run ``python -m benchmarks.slopes [--json PATH] [--only TOPIC]``. Without ``--json``
the points are printed; with ``--only`` the file's points of other topics stay. Times
are processor time of the process: other work on the machine disturbs it less than
wall-clock time, but does not leave it unaffected.
"""

import argparse
import json
import os
import pathlib
import platform
from collections.abc import Callable, Iterable, Iterator

from tqdm import tqdm

from . import (
    slopes_codec,
    slopes_control,
    slopes_limits,
    slopes_membership,
    slopes_notes,
    slopes_peers,
    slopes_routing,
    slopes_spread,
)
from .slopes_fleet import PLANNED_COUNTS, SCALES, scaled_counts
from .slopes_measure import Point

__all__ = ["list_measurements", "main", "measure_points"]


def list_measurements() -> list[tuple[str, Callable[[], Iterable[Point]]]]:
    """Return the topic and function of each measurement, in the order of their run."""
    measurements: list[tuple[str, Callable[[], Iterable[Point]]]] = [
        ("memory", slopes_peers.measure_resident_memory),
        ("peers", slopes_peers.measure),
        ("codec", slopes_codec.measure),
        ("limits", slopes_limits.measure_accounts_in_use),
        ("routing", slopes_routing.measure_choice),
        ("routing", slopes_routing.measure_ticks),
    ]
    for scale in SCALES:
        daemons = scaled_counts(scale)["daemons"]
        measurements += [
            ("limits", lambda s=scale: slopes_limits.measure_at_scale(s)),
            ("routing", lambda s=scale: slopes_routing.measure_at_scale(s)),
            ("notes", lambda s=scale: slopes_notes.measure(s)),
            ("notes", lambda s=scale: slopes_notes.measure_garbage_collection(s)),
            ("membership", lambda n=daemons: slopes_membership.measure_at_size(n)),
            ("spread", lambda n=daemons: slopes_spread.measure_at_size(n)),
            ("control", lambda n=daemons: slopes_control.measure_at_size(n)),
        ]
    return measurements


def measure_points(topic_part: str = "") -> Iterator[Point]:
    """Yield the points of the topics whose name contains a text."""
    selected = [
        (topic, measure)
        for topic, measure in list_measurements()
        if topic_part in topic
    ]
    for topic, measure in (bar := tqdm(selected, unit="job")):
        bar.set_description(topic)
        yield from measure()


def describe_machine() -> dict[str, str | int]:
    """Return the properties of the machine that the figures depend on."""
    return {
        "cores": os.cpu_count() or 0,
        "python": platform.python_version(),
        "implementation": platform.python_implementation(),
    }


def main() -> None:
    """Run the measurements and print or write the points."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json")
    parser.add_argument("--only", default="", help="part of a topic's name")
    options = parser.parse_args()
    points = [point._asdict() for point in measure_points(options.only)]
    if not options.json:
        for point in points:
            print(json.dumps(point))
        return
    path = pathlib.Path(options.json)
    if options.only:
        points = _merge_points(json.loads(path.read_text())["points"], points)
    figures = {"machine": describe_machine(), "full": PLANNED_COUNTS, "points": points}
    path.write_text(json.dumps(figures, indent=1) + "\n")


def _merge_points(old: list[dict], new: list[dict]) -> list[dict]:
    """Return the new points after the old points of all other topics."""
    topics = {point["topic"] for point in new}
    return [point for point in old if point["topic"] not in topics] + new


if __name__ == "__main__":
    main()
