"""The SVG has one lane per instance and a bounded size."""

import xml.etree.ElementTree as ET

from chervilpitch.model import Event
from chervilpitch.observe import Gap, Stamp, StampedEvent, render_html, render_svg

SVG = "{http://www.w3.org/2000/svg}"


def events(count, instances=3):
    return [
        StampedEvent(
            Stamp(n * 10_000_000, 0, f"i{n % instances}"),
            n // instances,
            Event("limits" if n % 2 else "health", "moved", f"<a & {n}>"),
        )
        for n in range(count)
    ]


def element_texts(svg, tag):
    return [element.text for element in ET.fromstring(svg).iter(SVG + tag)]


def test_every_instance_has_a_lane_and_every_part_a_legend():
    svg = render_svg(events(40, instances=36))
    assert {f"i{n}" for n in range(36)} <= set(element_texts(svg, "text"))
    assert {"limits", "health"} <= set(element_texts(svg, "text"))


def test_titles_show_the_event_and_a_gap():
    svg = render_svg([*events(1), Gap(Stamp(9, 0, "i0"), 4)])
    titles = "\n".join(element_texts(svg, "title"))
    assert "health moved <a & 0>" in titles and "4 events missing" in titles


def test_the_number_of_marks_is_bounded_by_the_lanes():
    lanes, columns, parts = 3, 1_200 // 3, 2
    titles = element_texts(render_svg(events(60_000)), "title")
    assert len(titles) <= lanes * columns * parts
    assert max(title.count("\n") for title in titles) == 8


def test_a_single_event_and_no_events_can_be_rendered():
    assert render_svg(events(1)) and render_svg([])


def test_the_page_is_a_single_html_document():
    page = render_html(events(5), "Fleet & time")
    assert page.startswith("<!DOCTYPE html>")
    assert "Fleet &amp; time" in page and "<svg" in page
