"""Level and loans stay within the burst, and refilling within the rate."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chervilpitch.limits.bucket import Bucket

STEPS = st.lists(
    st.tuples(
        st.floats(0, 3),
        st.sampled_from(["take", "lend", "close", "change"]),
        st.floats(0, 12),
    ),
    max_size=40,
)


@given(STEPS)
def test_level_and_loans_stay_within_the_burst(steps):
    bucket, now_s, burst = Bucket(2.0, 10.0, 0.0), 0.0, 10.0
    for number, (elapsed_s, action, tokens) in enumerate(steps):
        now_s += elapsed_s
        if action == "take":
            bucket.try_spend(tokens, now_s)
        elif action == "lend":
            bucket.lend(number, min(tokens, bucket.level(now_s)), now_s + 2, now_s)
        elif action == "close":
            bucket.close_loan(number - 1, tokens, now_s)
        elif bucket.lent(now_s) <= tokens:
            burst = tokens
            bucket.set_limits(2.0, burst, now_s)
        assert bucket.level(now_s) + bucket.lent(now_s) <= burst + 1e-6


def test_reserved_capacity_is_refilled_only_after_its_deadline():
    bucket = Bucket(10.0, 5.0, 0.0)
    bucket.lend("loan", 5.0, 62.0, 60.0)
    assert bucket.level(62.0) == 0.0
    assert bucket.level(62.2) == pytest.approx(2.0, rel=0.01)


def test_a_loan_is_closed_once():
    bucket = Bucket(10.0, 5.0, 0.0)
    bucket.lend("loan", 4.0, 62.0, 60.0)
    for _ in range(2):
        bucket.close_loan("loan", 4.0, 60.0)
    assert bucket.level(60.0) == 5.0


def test_an_earlier_time_refills_nothing():
    bucket = Bucket(10.0, 5.0, 0.0)
    assert bucket.level(0.1) == bucket.level(0.05) > 0
