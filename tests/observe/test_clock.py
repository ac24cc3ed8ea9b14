"""Timestamps respect causal order, even when wall clocks are wrong."""

from hypothesis import given
from hypothesis import strategies as st

from chervilpitch.observe import Clock, merge, stamp, tick

NS_PER_S = 1_000_000_000
WALL_TIMES_NS = st.integers(0, 9 * NS_PER_S)


@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2), WALL_TIMES_NS)))
def test_timestamps_grow_along_every_causal_chain(messages):
    clocks = [Clock()] * 3
    for sender, receiver, wall_ns in messages:
        sent = tick(clocks[sender], wall_ns)
        clocks[sender] = sent
        received = merge(clocks[receiver], sent, 0).ok()
        assert received > sent and received > clocks[receiver]
        clocks[receiver] = received


def test_a_remote_clock_too_far_ahead_is_rejected_with_its_offset():
    failure = merge(Clock(5, 0), Clock(11 * NS_PER_S, 0), 1).err()
    assert failure.ahead_ns == 11 * NS_PER_S - 1


def test_repeated_merges_with_a_wrong_clock_do_not_exceed_the_drift_limit():
    clock = Clock()
    for ahead_s in range(5, 100, 5):
        clock = merge(clock, Clock(ahead_s * NS_PER_S, 0), NS_PER_S).ok() or tick(
            clock, NS_PER_S
        )
    assert clock.wall_ns <= 11 * NS_PER_S


def test_after_a_local_step_back_a_clock_behind_ours_is_accepted():
    assert merge(Clock(50 * NS_PER_S, 0), Clock(49 * NS_PER_S, 7), 0).ok() == Clock(
        50 * NS_PER_S, 1
    )


def test_instance_names_break_ties():
    assert stamp(Clock(1, 1), "a") < stamp(Clock(1, 1), "b") < stamp(Clock(1, 2), "a")
