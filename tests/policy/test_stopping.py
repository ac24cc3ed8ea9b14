"""Requests that an instance accepts during a planned stop."""

import pytest

from chervilpitch.policy import PlannedStop

BEGUN_AT_S = 100.0
KILLED_AFTER_S = (4.0, 6.0, 10.0)
CALLERS_LEAVE_WITHIN_S = 3.0
"""The users count no cut of a request that was sent by then and lasts to the end."""


@pytest.mark.parametrize("duration_s", KILLED_AFTER_S)
@pytest.mark.parametrize("timeout_s", (0.5, 3.0, 8.0, 20.0))
def test_a_request_that_comes_late_ends_before_the_process_is_killed(
    duration_s, timeout_s
):
    stop = PlannedStop(BEGUN_AT_S, duration_s)
    for step in range(int(duration_s * 10)):
        now_s = BEGUN_AT_S + step / 10
        if now_s - BEGUN_AT_S < CALLERS_LEAVE_WITHIN_S:
            continue
        if stop.may_accept(now_s + timeout_s, now_s):
            assert now_s + timeout_s < BEGUN_AT_S + duration_s


@pytest.mark.parametrize("duration_s", KILLED_AFTER_S)
def test_requests_are_accepted_while_callers_cannot_know_of_the_stop(duration_s):
    stop = PlannedStop(BEGUN_AT_S, duration_s)
    assert stop.may_accept(BEGUN_AT_S + 22.0, BEGUN_AT_S + 2.0)


def test_short_requests_are_accepted_to_the_end():
    stop = PlannedStop(BEGUN_AT_S, 10.0)
    assert stop.may_accept(BEGUN_AT_S + 9.0, BEGUN_AT_S + 8.0)
    assert stop.ends_at_s < BEGUN_AT_S + 10.0
