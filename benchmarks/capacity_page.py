"""Compute every table of docs/CAPACITY.md from the committed figures.

Run ``python -m benchmarks.capacity_page [--check]``. Each table stands between a
line ``<!-- figures: NAME -->`` and a line ``<!-- end -->``.
"""

import argparse
import pathlib
import re
import statistics
import sys

from . import capacity_plan as plan
from .capacity_breaks import format_scaling_limits, scaling_limits
from .capacity_events import EVENTS, format_steps
from .capacity_fit import Points, load
from .capacity_roles import ROLES
from .capacity_row import format_quantity, format_table

__all__ = ["PAGE", "main", "render", "compute_tables"]

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"
TABLE_PATTERN = re.compile(
    r"(<!-- figures: (?P<name>[^>]+?) -->\n).*?(<!-- end -->)", re.DOTALL
)
UNITS = {"bytes": "B", "us": "us"}
FITTED = (
    ("notes", "catalogue: accounts"),
    ("notes", "catalogue: keys"),
    ("notes", "catalogue: routes"),
    ("notes", "catalogue: upstreams"),
    ("notes", "catalogue: seats"),
    ("notes", "snapshot length"),
    ("notes", "read a snapshot"),
    ("notes", "take a snapshot"),
    ("notes", "apply: withdraw a key"),
    ("notes", "apply: change an account"),
    ("notes", "apply: withdraw an account"),
    ("notes", "full garbage collection"),
    ("limits", "put_in_force"),
    ("limits", "accounts in use"),
    ("limits", "tick"),
    ("limits", "home seats of an account not asked for before"),
    ("limits", "token request answered"),
    ("accounts", "identify"),
    ("accounts", "freshness check that refuses"),
    ("routing", "put_in_force"),
    ("routing", "serving seats of one service"),
    ("routing", "build_table"),
    ("routing", "route table"),
    ("routing", "match"),
    ("routing", "upstream chosen and released"),
    ("health", "upstreams in use"),
    ("health", "tick"),
    ("membership", "list length"),
    ("membership", "list followed"),
    ("membership", "list parsed anew"),
    ("membership", "follow_list with one change"),
    ("membership", "instances compared in a tick"),
    ("membership", "second of heartbeats"),
    ("membership", "address answer"),
    ("spread", "find_neighbours"),
    ("spread", "tick"),
    ("control", "tick of all cores"),
    ("peers", "connection out and in"),
    ("peers", "connection out, closed by the peer"),
)


def format_slopes(points: Points) -> str:
    """Return the table of the fitted lines."""
    header = (
        "| Quantity | Per | Sizes | Slope | At the largest | Worst residual | Bend |"
    )
    lines = [header, "| --- | --- | --- | ---: | ---: | ---: | ---: |"]
    for topic, name in FITTED:
        measured = points.select(topic, name)
        fit = points.fit(topic, name)
        unit = UNITS[measured[0]["unit"]]
        sizes = f"{measured[0]['size']:,} to {measured[-1]['size']:,}"
        slope = f"{fit.slope:,.4g} {unit}"
        last = format_quantity(measured[-1]["median"], unit)
        lines.append(
            f"| {topic}: {name} | {measured[0]['per']} | {sizes} | {slope} | {last} "
            f"| {fit.max_residual:.0%} | {fit.slope_ratio:.2g} |"
        )
    return "\n".join(lines)


def format_messages(points: Points) -> str:
    """Return the table of the cost of messages, with one item and per further item."""
    header = (
        "| Message | Frame | Each item more | Encoded | Decoded | Sent each second |"
    )
    lines = [header, "| --- | ---: | ---: | ---: | ---: | ---: |"]
    for name in points.names("codec", ": frame"):
        measured = points.select("codec", f"{name}: frame")
        per_item = ""
        if len(measured) > 1:
            per_item = format_quantity(points.fit("codec", f"{name}: frame").slope, "B")
        points_of_message = [
            points.select("codec", f"{name}: {w}")[0] for w in ("encoded", "decoded")
        ]
        encoded, decoded = (
            format_quantity(point["median"], "us") for point in points_of_message
        )
        rate = plan.MESSAGES_PER_S.get(name)
        sent = "" if rate is None else f"{rate:g}"
        first = format_quantity(measured[0]["median"], "B")
        lines.append(
            f"| {name} | {first} | {per_item} | {encoded} | {decoded} | {sent} |"
        )
    return "\n".join(lines)


def format_pairs(points: Points) -> str:
    """Return the time to apply a catalogue in routing per pair of service and seat."""
    header = "| Daemons | Services | Pairs | As run | At median speed | For each pair |"
    lines = [header, "| ---: | ---: | ---: | ---: | ---: | ---: |"]
    for point in points.select("routing", "put_in_force"):
        seats = point["size"]
        services = round(points.full["services"] * seats / points.full["daemons"])
        us_per_pair = point["median"] / seats / services
        times = (
            f"{format_quantity(point['raw'], 'us')} | "
            f"{format_quantity(point['median'], 'us')}"
        )
        count = f"{seats:,} | {services:,} | {seats * services:,}"
        lines.append(f"| {count} | {times} | {us_per_pair:.2f} us |")
    return "\n".join(lines)


def describe_machine(points: Points) -> str:
    """Return the sentences about the machine that the figures depend on."""
    held = points.machine
    speeds = points.speeds
    return (
        f"Measured on {held['cores']} cores with {held['implementation']} "
        f"{held['python']}. A loop that never changes, timed beside each of "
        f"{len(speeds)} times, took {format_quantity(min(speeds), 'us')} at best, "
        f"{format_quantity(statistics.median(speeds), 'us')} at the median and "
        f"{format_quantity(max(speeds), 'us')} at worst."
    )


def compute_tables(points: Points) -> dict[str, str]:
    """Return all tables of the page by name."""
    computed = {
        "machine": describe_machine(points),
        "slopes": format_slopes(points),
        "messages": format_messages(points),
        "pairs": format_pairs(points),
        "breaks": format_scaling_limits(scaling_limits(points)),
    }
    computed |= {
        f"role {name}": format_table(make(points)) for name, make in ROLES.items()
    }
    computed |= {
        f"event {name}": format_steps(make(points)) for name, make in EVENTS.items()
    }
    return computed


def render(text: str, points: Points) -> str:
    """Return the page with all its tables recomputed.

    Parameters
    ----------
    text : str
        The page in Markdown.
    points : Points
        The figures.

    Returns
    -------
    str
        The page in Markdown.

    Raises
    ------
    KeyError
        If a marker of the page names no table.
    """
    computed = compute_tables(points)

    def replace(match):
        return f"{match[1]}\n{computed[match['name']]}\n\n{match[3]}"

    return TABLE_PATTERN.sub(replace, text)


def main() -> None:
    """Update the tables of the page, or check that they are up to date."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    options = parser.parse_args()
    text = PAGE.read_text()
    expected = render(text, load())
    if not options.check:
        PAGE.write_text(expected)
    elif text != expected:
        sys.exit("docs/CAPACITY.md differs from benchmarks/capacity.json")


if __name__ == "__main__":
    main()
