"""Stamps grow along every chain of cause and effect, whatever the wall clocks do."""

from hypothesis import given
from hypothesis import strategies as st

from chervilpitch.observe import Clock, merge, stamp, tick

S = 1_000_000_000
WALL = st.integers(0, 9 * S)


@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2), WALL)))
def test_an_effect_never_comes_before_its_cause(messages):
    clocks = [Clock()] * 3
    for sender, receiver, wall_ns in messages:
        sent = tick(clocks[sender], wall_ns)
        clocks[sender] = sent
        received = merge(clocks[receiver], sent, 0).ok()
        assert received > sent and received > clocks[receiver]
        clocks[receiver] = received


def test_a_remote_clock_far_ahead_is_refused_with_the_figure():
    failure = merge(Clock(5, 0), Clock(11 * S, 0), 1).err()
    assert failure.ahead_ns == 11 * S - 1


def test_a_bad_clock_cannot_drag_others_along_step_by_step():
    clock = Clock()
    for ahead_s in range(5, 100, 5):
        clock = merge(clock, Clock(ahead_s * S, 0), S).ok() or tick(clock, S)
    assert clock.wall_ns <= 11 * S


def test_a_local_step_back_refuses_nobody_who_is_not_ahead_of_us():
    assert merge(Clock(50 * S, 0), Clock(49 * S, 7), 0).ok() == Clock(50 * S, 1)


def test_names_break_ties():
    assert stamp(Clock(1, 1), "a") < stamp(Clock(1, 1), "b") < stamp(Clock(1, 2), "a")
