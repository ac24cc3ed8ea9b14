"""Bounds of the usual response times of a route."""

from hypothesis import given
from hypothesis import strategies as st

from chervilpitch.policy import LatencyBaseline

LATENCIES_S = st.lists(st.floats(0.001, 30.0), max_size=40)


@given(LATENCIES_S, st.floats(0.01, 0.95), st.floats(0.0, 0.999))
def test_no_age_below_the_minimum_has_so_small_a_survival(
    latencies_s, survival, age_share
):
    baseline = LatencyBaseline(aim_s=1.0)
    for latency_s in latencies_s:
        baseline.observe(latency_s)
    age_s = age_share * baseline.min_age_s(survival)
    assert baseline.survival(age_s) > survival
