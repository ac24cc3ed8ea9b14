"""SVG rendering of a merged time line: a lane per instance, a colour per part."""

import html
import xml.etree.ElementTree as ET
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from .render import wall_text
from .timeline import Gap, StampedEvent

__all__ = ["render_html", "render_svg"]

WIDTH = 1_200
LABEL_WIDTH = 150
MARGIN = 20
LANE_HEIGHT = 20
LEGEND_HEIGHT = 28
AXIS_HEIGHT = 30
MARK_WIDTH = 3
MARK_HEIGHT = 13
LEGEND_STEP = 88
MAX_TICK_INTERVALS = 10
MAX_TITLE_EVENTS = 8
NS_PER_S = 1_000_000_000
NS_PER_MS = 1_000_000
GAP_PART = "missing"
COLOURS = {
    "accounts": "#8c564b",
    "health": "#d62728",
    "limits": "#1f77b4",
    "membership": "#2ca02c",
    "notes": "#9467bd",
    "requests": "#e377c2",
    "routing": "#ff7f0e",
    "spread": "#17becf",
    "transport": "#bcbd22",
    GAP_PART: "#bbbbbb",
}
OTHER_COLOUR = "#444444"
PAGE_TEMPLATE = """<!DOCTYPE html>
<html lang="en">
<head><meta charset="utf-8"><title>{title}</title></head>
<body><h1>{title}</h1>
{picture}
</body>
</html>
"""
STYLE = "text{font:11px sans-serif;fill:#222}.axis{fill:#666}"


class _Mark(NamedTuple):
    """Position of the events of one part that share a column of a lane."""

    instance: str
    column: int
    part: str


class _Scale(NamedTuple):
    """Linear scale from wall-clock time to horizontal position."""

    first_ns: int
    last_ns: int

    def x(self, wall_ns: int) -> float:
        """Return the horizontal position of a time."""
        span_ns = max(1, self.last_ns - self.first_ns)
        plot_width = WIDTH - LABEL_WIDTH - MARGIN
        return LABEL_WIDTH + plot_width * (wall_ns - self.first_ns) / span_ns


def render_svg(entries: Iterable[StampedEvent | Gap]) -> str:
    """Render a merged time line as SVG.

    Events of one part that fall into the same column share a mark. Its title (the
    tooltip) lists the first ``MAX_TITLE_EVENTS`` and counts the rest, so the size of
    the document is bounded by the number of lanes, not of events.

    Parameters
    ----------
    entries : iterable of StampedEvent or Gap
        Entries in order, as yielded by :func:`merge_events`.

    Returns
    -------
    str
        An SVG document.

    Examples
    --------
    >>> render_svg([]).startswith("<svg")
    True
    """
    entries_shown = list(entries)
    lanes = sorted({entry.stamp.instance for entry in entries_shown})
    walls_ns = [entry.stamp.wall_ns for entry in entries_shown] or [0]
    scale = _Scale(min(walls_ns), max(walls_ns))
    height = LEGEND_HEIGHT + LANE_HEIGHT * len(lanes) + AXIS_HEIGHT
    root = ET.Element(
        "svg",
        xmlns="http://www.w3.org/2000/svg",
        viewBox=f"0 0 {WIDTH} {height}",
        width=str(WIDTH),
        height=str(height),
    )
    ET.SubElement(root, "style").text = STYLE
    _rect(root, 0, 0, WIDTH, height, "#ffffff")
    marks = _group_marks(entries_shown, scale)
    _draw_legend(root, sorted({mark.part for mark in marks}))
    _draw_lanes(root, lanes)
    _draw_axis(root, scale, len(lanes))
    for mark, members in marks.items():
        _draw_mark(root, mark, members, lanes.index(mark.instance))
    return ET.tostring(root, encoding="unicode")


def render_html(entries: Iterable[StampedEvent | Gap], title: str) -> str:
    """Render a merged time line as a self-contained HTML page.

    Parameters
    ----------
    entries : iterable of StampedEvent or Gap
        Entries in order, as yielded by :func:`merge_events`.
    title : str
        Title of the page; escaped.

    Returns
    -------
    str
        An HTML document.
    """
    heading = html.escape(title)
    return PAGE_TEMPLATE.format(title=heading, picture=render_svg(entries))


def _part_of(entry: StampedEvent | Gap) -> str:
    return GAP_PART if isinstance(entry, Gap) else entry.event.part


def _group_marks(
    entries: Sequence[StampedEvent | Gap], scale: _Scale
) -> dict[_Mark, list[StampedEvent | Gap]]:
    marks: dict[_Mark, list[StampedEvent | Gap]] = {}
    for entry in entries:
        column = int(scale.x(entry.stamp.wall_ns)) // MARK_WIDTH
        mark = _Mark(entry.stamp.instance, column, _part_of(entry))
        marks.setdefault(mark, []).append(entry)
    return marks


def _draw_mark(
    root: ET.Element, mark: _Mark, members: Sequence[StampedEvent | Gap], lane: int
) -> None:
    top = LEGEND_HEIGHT + LANE_HEIGHT * lane + (LANE_HEIGHT - MARK_HEIGHT) / 2
    colour = COLOURS.get(mark.part, OTHER_COLOUR)
    left = mark.column * MARK_WIDTH
    element = _rect(root, left, top, MARK_WIDTH, MARK_HEIGHT, colour)
    element.set("opacity", "0.75")
    ET.SubElement(element, "title").text = "\n".join(_title_lines(members))


def _title_lines(members: Sequence[StampedEvent | Gap]) -> Iterator[str]:
    for entry in members[:MAX_TITLE_EVENTS]:
        when = wall_text(entry.stamp.wall_ns)
        if isinstance(entry, Gap):
            yield f"{when} {entry.missing} events missing"
        else:
            event = entry.event
            text = f"{when} {event.part} {event.name} {event.subject} {event.detail}"
            yield "".join(c if c.isprintable() else "?" for c in text.strip())
    if len(members) > MAX_TITLE_EVENTS:
        yield f"and {len(members) - MAX_TITLE_EVENTS} more"


def _draw_legend(root: ET.Element, parts: Sequence[str]) -> None:
    for position, part in enumerate(parts):
        left = LABEL_WIDTH + LEGEND_STEP * position
        _rect(root, left, 8, 10, 10, COLOURS.get(part, OTHER_COLOUR))
        _text(root, left + 14, 17, part)


def _draw_lanes(root: ET.Element, lanes: Sequence[str]) -> None:
    for position, name in enumerate(lanes):
        top = LEGEND_HEIGHT + LANE_HEIGHT * position
        if position % 2 == 0:
            _rect(root, 0, top, WIDTH, LANE_HEIGHT, "#f4f4f4")
        _text(root, LABEL_WIDTH - 8, top + LANE_HEIGHT - 6, name, anchor="end")


def _draw_axis(root: ET.Element, scale: _Scale, lanes: int) -> None:
    bottom = LEGEND_HEIGHT + LANE_HEIGHT * lanes
    step_ns = _tick_step_ns(scale.last_ns - scale.first_ns)
    for offset_ns in range(0, scale.last_ns - scale.first_ns + 1, step_ns):
        x = scale.x(scale.first_ns + offset_ns)
        _rect(root, x, LEGEND_HEIGHT, 0.5, bottom - LEGEND_HEIGHT + 4, "#cccccc")
        label = f"+{offset_ns / NS_PER_S:g} s"
        _text(root, x, bottom + 16, label, anchor="middle").set("class", "axis")
    start = f"{wall_text(scale.first_ns)} UTC"
    _text(root, LABEL_WIDTH - 30, bottom + 16, start, anchor="end")


def _tick_step_ns(span_ns: int) -> int:
    """Return the smallest of 1, 2, 5, 10, ... ms that gives few enough intervals."""
    step_ns = NS_PER_MS
    while True:
        for factor in (1, 2, 5):
            if span_ns <= MAX_TICK_INTERVALS * factor * step_ns:
                return factor * step_ns
        step_ns *= 10


def _rect(
    parent: ET.Element, x: float, y: float, width: float, height: float, fill: str
) -> ET.Element:
    return ET.SubElement(
        parent,
        "rect",
        x=f"{x:g}",
        y=f"{y:g}",
        width=f"{width:g}",
        height=f"{height:g}",
        fill=fill,
    )


def _text(
    parent: ET.Element, x: float, y: float, text: str, anchor: str = "start"
) -> ET.Element:
    element = ET.SubElement(parent, "text", x=f"{x:g}", y=f"{y:g}")
    element.set("text-anchor", anchor)
    element.text = text
    return element
