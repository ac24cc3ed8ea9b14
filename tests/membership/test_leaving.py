"""A graceful stop goes through its phases and interrupts no request."""

from hypothesis import given
from hypothesis import strategies as st

from chervilpitch.membership.leaving import (
    CloseAfterResponses,
    HandOver,
    LeavePhase,
    LeavingState,
    PendingWork,
    Stop,
    StopListening,
    advance_stop,
    request_stop,
)


def kinds(effects):
    return [type(effect) for effect in effects]


def test_phases_follow_in_order():
    state, effects = request_stop(LeavingState(), 62.0)
    assert CloseAfterResponses in kinds(effects)
    state, effects = advance_stop(state, PendingWork(0), 61.9)
    assert effects == ()
    state, effects = advance_stop(state, PendingWork(1), 62.0)
    assert StopListening in kinds(effects)
    state, effects = advance_stop(state, PendingWork(1), 90.0)
    assert effects == ()
    state, effects = advance_stop(state, PendingWork(0), 91.0)
    assert kinds(effects) == [HandOver]
    state, effects = advance_stop(state, PendingWork(0, handed_over=True), 91.5)
    assert effects[-1] == Stop(0)
    assert advance_stop(state, PendingWork(0), 99.0) == (state, ())


def test_a_second_stop_request_changes_no_deadline():
    state, _ = request_stop(LeavingState(), 62.0)
    assert request_stop(state, 99.0) == (state, ())


def test_an_unconfirmed_handover_ends_at_its_deadline():
    state = LeavingState(LeavePhase.DRAINING, 0.0)
    state, _ = advance_stop(state, PendingWork(0), 1.0)
    assert advance_stop(state, PendingWork(0), 5.9) == (state, ())
    assert advance_stop(state, PendingWork(0), 6.0)[1][-1] == Stop(0)


def test_the_platform_deadline_reports_the_interrupted_requests():
    state, _ = request_stop(LeavingState(), 62.0, stop_by_s=10.0)
    state, effects = advance_stop(state, PendingWork(3), 10.0)
    assert effects[-1] == Stop(3)
    assert "3 requests cut" in effects[0].event.detail


@given(st.lists(st.tuples(st.floats(0, 20), st.integers(0, 2), st.booleans())))
def test_no_request_is_interrupted_and_no_late_caller_rejected(steps):
    state, _ = request_stop(LeavingState(), 62.0)
    now_s = 0.0
    for wait_s, running, handed_over in steps:
        now_s += wait_s
        state, effects = advance_stop(state, PendingWork(running, handed_over), now_s)
        if state.phase in (LeavePhase.DRAINING, LeavePhase.STOPPED):
            assert now_s >= 62.0
        for effect in effects:
            if isinstance(effect, Stop):
                assert (running, effect.interrupted_requests) == (0, 0)
