"""Windows of requests in flight."""

from hypothesis import given
from hypothesis import strategies as st

from chervilpitch.routing.budgets import (
    LONGEST_BACKOFF_S,
    OPEN,
    after_answer,
    after_shed,
    room,
)


def test_a_window_opens_up_to_the_slots():
    assert room(OPEN, 4, 3, 0.0)
    assert not room(OPEN, 4, 4, 0.0)


def test_sheds_in_a_row_close_the_window_for_longer():
    once = after_shed(OPEN, 4, 1.0, 0.0)
    twice = after_shed(once, 4, 1.0, 0.0)
    assert once.closed_until_at_s < twice.closed_until_at_s
    assert twice.limit < once.limit < 4


def test_answers_open_the_window_again():
    window = after_shed(after_shed(OPEN, 4, 1.0, 0.0), 4, 1.0, 0.0)
    for _ in range(20):
        window = after_answer(window, 4)
    assert window.limit == 4 and window.sheds == 0


@given(st.lists(st.booleans(), max_size=60), st.integers(1, 8), st.floats(0, 1))
def test_a_window_stays_within_its_bounds(sheds, slots, jitter):
    window = OPEN
    for is_shed in sheds:
        if is_shed:
            window = after_shed(window, slots, jitter, 0.0)
            assert window.closed_until_at_s <= LONGEST_BACKOFF_S
        else:
            window = after_answer(window, slots)
        assert 1 <= window.limit <= slots
