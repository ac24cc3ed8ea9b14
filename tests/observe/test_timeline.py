"""The ring buffer is bounded; the merged view is ordered and shows gaps."""

from hypothesis import given
from hypothesis import strategies as st

from chervilpitch.model import Event
from chervilpitch.observe import (
    Gap,
    Stamp,
    StampedEvent,
    Timeline,
    decode_events,
    encode_events,
    merge_events,
    render_text,
)


def timeline_with(count, name="a", capacity=100, step=1):
    timeline = Timeline(capacity=capacity)
    for n in range(count):
        timeline.append(Stamp(n * step, 0, name), Event("limits", "e", str(n)))
    return timeline


def test_the_oldest_events_are_dropped_and_counted():
    timeline = timeline_with(250)
    assert (len(timeline), timeline.dropped) == (100, 150)
    first, *_ = merge_events([timeline.since().events])
    assert first == Gap(Stamp(150, 0, "a"), 150)


def test_reading_continues_after_the_last_chunk():
    timeline = timeline_with(25)
    events, stamp = [], None
    while True:
        chunk = timeline.since(stamp, limit=10)
        events.extend(chunk.events)
        if not chunk.has_more:
            break
        stamp = chunk.events[-1].stamp
    assert [event.number for event in events] == list(range(25))


def test_a_gap_is_shown_and_duplicates_are_not():
    events = timeline_with(6).since().events
    merged = list(merge_events([events[:2] + events[4:], events[4:]]))
    assert merged == [*events[:2], Gap(events[4].stamp, 2), *events[4:]]


def test_a_restart_is_not_a_gap():
    after = Timeline(incarnation=2)
    after.append(Stamp(99, 0, "a"), Event("limits", "e", "again"))
    merged = merge_events([timeline_with(3).since().events, after.since().events])
    assert not any(isinstance(entry, Gap) for entry in merged)


@given(st.lists(st.tuples(st.integers(0, 30), st.integers(1, 5)), max_size=5))
def test_merged_events_are_in_order(shapes):
    lines = [
        timeline_with(count, f"i{position}", step=step).since().events
        for position, (count, step) in enumerate(shapes)
    ]
    merged = list(merge_events(lines))
    assert merged == sorted(merged, key=lambda event: event.stamp)
    assert len(merged) == sum(count for count, _ in shapes)


EVENTS = st.builds(
    StampedEvent,
    st.builds(Stamp, st.integers(), st.integers(), st.text()),
    st.integers(),
    st.builds(Event, st.text(), st.text(), st.text(), st.text()),
    st.integers(),
)


@given(st.lists(EVENTS))
def test_decoding_inverts_encoding(events):
    assert decode_events(encode_events(events)).ok() == tuple(events)


@given(st.text())
def test_any_text_gives_a_typed_result(text):
    result = decode_events(text)
    assert result.is_ok() or result.err().number >= 1


def test_text_has_aligned_columns_and_one_line_per_event():
    events = timeline_with(2).since().events
    broken = events[1]._replace(event=Event("limits", "e", "two\nlines"))
    lines = render_text([events[0], broken]).splitlines()
    assert len(lines) == 3
    assert {line.index("limits") for line in lines[1:]} == {lines[0].index("PART")}
