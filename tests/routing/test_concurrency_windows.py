"""Concurrency windows of an instance at an upstream."""

from hypothesis import given
from hypothesis import strategies as st

from chervilpitch.routing.concurrency_windows import (
    INITIAL_WINDOW,
    LONGEST_BACKOFF_S,
    after_response,
    after_shed,
    has_room,
)


def test_the_initial_window_admits_up_to_the_slots():
    assert has_room(INITIAL_WINDOW, 4, 3, 0.0)
    assert not has_room(INITIAL_WINDOW, 4, 4, 0.0)


def test_consecutive_sheds_lengthen_the_backoff():
    once = after_shed(INITIAL_WINDOW, 4, 1.0, 0.0)
    twice = after_shed(once, 4, 1.0, 0.0)
    assert once.closed_until_at_s < twice.closed_until_at_s
    assert twice.limit < once.limit < 4


def test_responses_widen_the_window_again():
    window = after_shed(after_shed(INITIAL_WINDOW, 4, 1.0, 0.0), 4, 1.0, 0.0)
    for _ in range(20):
        window = after_response(window, 4)
    assert window.limit == 4 and window.sheds == 0


@given(st.lists(st.booleans(), max_size=60), st.integers(1, 8), st.floats(0, 1))
def test_a_window_stays_within_its_bounds(sheds, slots, jitter):
    window = INITIAL_WINDOW
    for is_shed in sheds:
        if is_shed:
            window = after_shed(window, slots, jitter, 0.0)
            assert window.closed_until_at_s <= LONGEST_BACKOFF_S
        else:
            window = after_response(window, slots)
        assert 1 <= window.limit <= slots
