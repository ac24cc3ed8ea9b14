"""Computes every table of docs/CAPACITY.md from the committed figures.

Run ``python -m benchmarks.capacity_page [--check]``. Each table stands between a
line ``<!-- figures: NAME -->`` and a line ``<!-- end -->``.
"""

import argparse
import pathlib
import re
import statistics
import sys

from . import capacity_plan as plan
from .capacity_breaks import breaks, breaks_table
from .capacity_fit import Points, load
from .capacity_roles import ROLES
from .capacity_row import quantity, table
from .capacity_scenes import SCENES, steps_table

__all__ = ["PAGE", "main", "rendered", "tables"]

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"
MARKED = re.compile(
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


def slopes(points: Points) -> str:
    """Return the table of the fitted lines."""
    head = "| Quantity | Per | Sizes | Slope | At the largest | Worst residual | Bend |"
    lines = [head, "| --- | --- | --- | ---: | ---: | ---: | ---: |"]
    for topic, name in FITTED:
        measured = points.of(topic, name)
        fit = points.fit(topic, name)
        unit = UNITS[measured[0]["unit"]]
        sizes = f"{measured[0]['size']:,} to {measured[-1]['size']:,}"
        slope = f"{fit.slope:,.4g} {unit}"
        last = quantity(measured[-1]["median"], unit)
        lines.append(
            f"| {topic}: {name} | {measured[0]['per']} | {sizes} | {slope} | {last} "
            f"| {fit.worst:.0%} | {fit.bend:.2g} |"
        )
    return "\n".join(lines)


def messages(points: Points) -> str:
    """Return the table of the messages with one item, and of each item more."""
    head = "| Message | Frame | Each item more | Encoded | Decoded | Sent each second |"
    lines = [head, "| --- | ---: | ---: | ---: | ---: | ---: |"]
    for name in points.names("codec", ": frame"):
        measured = points.of("codec", f"{name}: frame")
        more = ""
        if len(measured) > 1:
            more = quantity(points.fit("codec", f"{name}: frame").slope, "B")
        times = [points.of("codec", f"{name}: {w}")[0] for w in ("encoded", "decoded")]
        encoded, decoded = (quantity(point["median"], "us") for point in times)
        rate = plan.MESSAGES_PER_S.get(name)
        sent = "" if rate is None else f"{rate:g}"
        first = quantity(measured[0]["median"], "B")
        lines.append(f"| {name} | {first} | {more} | {encoded} | {decoded} | {sent} |")
    return "\n".join(lines)


def pairs(points: Points) -> str:
    """Return the time of `routing.put_in_force` by pairs of service and seat."""
    head = "| Daemons | Services | Pairs | As run | At median speed | For each pair |"
    lines = [head, "| ---: | ---: | ---: | ---: | ---: | ---: |"]
    for point in points.of("routing", "put_in_force"):
        seats = point["size"]
        services = round(points.full["services"] * seats / points.full["daemons"])
        each = point["median"] / seats / services
        taken = f"{quantity(point['raw'], 'us')} | {quantity(point['median'], 'us')}"
        count = f"{seats:,} | {services:,} | {seats * services:,}"
        lines.append(f"| {count} | {taken} | {each:.2f} us |")
    return "\n".join(lines)


def machine(points: Points) -> str:
    """Return what the figures depend on."""
    held = points.machine
    speeds = points.speeds
    return (
        f"Measured on {held['cores']} cores with {held['implementation']} "
        f"{held['python']}. A loop that never changes, timed beside each of "
        f"{len(speeds)} times, took {quantity(min(speeds), 'us')} at best, "
        f"{quantity(statistics.median(speeds), 'us')} at the median and "
        f"{quantity(max(speeds), 'us')} at worst."
    )


def tables(points: Points) -> dict[str, str]:
    """Return every table of the page by its name."""
    found = {
        "machine": machine(points),
        "slopes": slopes(points),
        "messages": messages(points),
        "pairs": pairs(points),
        "breaks": breaks_table(breaks(points)),
    }
    found |= {f"role {name}": table(make(points)) for name, make in ROLES.items()}
    found |= {
        f"event {name}": steps_table(make(points)) for name, make in SCENES.items()
    }
    return found


def rendered(text: str, points: Points) -> str:
    """Return the page with its tables computed anew.

    Parameters
    ----------
    text : str
        The page.
    points : Points
        The figures.

    Returns
    -------
    str
        The page; a name without a table is a `KeyError`.
    """
    found = tables(points)

    def put(match):
        return f"{match[1]}\n{found[match['name']]}\n\n{match[3]}"

    return MARKED.sub(put, text)


def main() -> None:
    """Write the tables, or check that they are the computed ones."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    options = parser.parse_args()
    text = PAGE.read_text()
    wanted = rendered(text, load())
    if not options.check:
        PAGE.write_text(wanted)
    elif text != wanted:
        sys.exit("docs/CAPACITY.md differs from benchmarks/capacity.json")


if __name__ == "__main__":
    main()
