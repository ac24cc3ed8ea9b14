"""Slopes of state, messages, processor time and memory by size.

Run ``python -m benchmarks.slopes [--json PATH] [--only TOPIC]``. Without ``--json``
the points are printed; with ``--only`` the file's points of other topics stay. Times
are processor time of the process, which other work on the machine disturbs less
than a wall clock, but still does.
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
from .slopes_fleet import FULL, SCALES, sizes
from .slopes_measure import Point

__all__ = ["jobs", "main", "run"]


def jobs() -> list[tuple[str, Callable[[], Iterable[Point]]]]:
    """Return the measurements in the order of their run, by topic."""
    found: list[tuple[str, Callable[[], Iterable[Point]]]] = [
        ("memory", slopes_peers.resident),
        ("peers", slopes_peers.measure),
        ("codec", slopes_codec.measure),
        ("limits", slopes_limits.in_use),
        ("routing", slopes_routing.choice),
        ("routing", slopes_routing.ticks),
    ]
    for scale in SCALES:
        daemons = sizes(scale)["daemons"]
        found += [
            ("limits", lambda s=scale: slopes_limits.at_scale(s)),
            ("routing", lambda s=scale: slopes_routing.at_scale(s)),
            ("notes", lambda s=scale: slopes_notes.measure(s)),
            ("notes", lambda s=scale: slopes_notes.collections(s)),
            ("membership", lambda n=daemons: slopes_membership.at_size(n)),
            ("spread", lambda n=daemons: slopes_spread.at_size(n)),
            ("control", lambda n=daemons: slopes_control.at_size(n)),
        ]
    return found


def run(only: str = "") -> Iterator[Point]:
    """Yield the points of the topics whose name holds a text."""
    chosen = [(topic, job) for topic, job in jobs() if only in topic]
    for topic, job in (bar := tqdm(chosen, unit="job")):
        bar.set_description(topic)
        yield from job()


def machine() -> dict[str, str | int]:
    """Return what the figures depend on, in neutral words."""
    return {
        "cores": os.cpu_count() or 0,
        "python": platform.python_version(),
        "implementation": platform.python_implementation(),
    }


def main() -> None:
    """Measure, and print or write the points."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json")
    parser.add_argument("--only", default="", help="part of a topic's name")
    options = parser.parse_args()
    points = [point._asdict() for point in run(options.only)]
    if not options.json:
        for point in points:
            print(json.dumps(point))
        return
    path = pathlib.Path(options.json)
    if options.only:
        points = _merged(json.loads(path.read_text())["points"], points)
    figures = {"machine": machine(), "full": FULL, "points": points}
    path.write_text(json.dumps(figures, indent=1) + "\n")


def _merged(old: list[dict], new: list[dict]) -> list[dict]:
    """Return the new points and the old ones of other topics."""
    topics = {point["topic"] for point in new}
    return [point for point in old if point["topic"] not in topics] + new


if __name__ == "__main__":
    main()
