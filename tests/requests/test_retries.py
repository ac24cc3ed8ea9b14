import pytest
from hypothesis import given
from hypothesis import strategies as st

from chervilpitch.model import Route
from chervilpitch.requests import (
    Attempt,
    FailureStage,
    RetryBudget,
    RetryDenial,
    may_retry,
)

BOOKING = Route("booking", "/bookings", "fitting", 5.0, idempotent=False)
LOOKUP = Route("lookup", "/catalogue", "fitting", 5.0, idempotent=True)
ATTEMPTS = st.builds(Attempt, number=st.integers(1, 4))


def decide(route, attempt, budget=None, now_s=0.0):
    return may_retry(route, attempt, budget or RetryBudget(), 5.0, now_s)


@given(ATTEMPTS)
def test_non_idempotent_request_is_retried_only_if_nothing_was_sent(attempt):
    if decide(BOOKING, attempt).is_ok():
        assert not attempt.was_sent
        assert attempt.stage in ("not-connected", "connected-nothing-sent")


@given(ATTEMPTS, st.sampled_from((BOOKING, LOOKUP)))
def test_no_request_is_retried_after_a_byte_was_delivered(attempt, route):
    if attempt.was_delivered:
        denial = decide(route, attempt).unwrap_err()
        assert denial is RetryDenial.RESPONSE_DELIVERED


@pytest.mark.parametrize("stage", FailureStage)
def test_idempotent_request_is_retried_at_every_stage(stage):
    assert decide(LOOKUP, Attempt(stage, 1, True, False)).is_ok()


def test_attempt_limit_and_deadline_end_the_retries():
    attempt = Attempt(FailureStage.NOT_CONNECTED, 3, False, False)
    assert decide(LOOKUP, attempt).unwrap_err() is RetryDenial.ATTEMPTS_SPENT
    first = attempt._replace(number=1)
    late = decide(LOOKUP, first, now_s=5.0).unwrap_err()
    assert late is RetryDenial.DEADLINE_EXCEEDED


def test_retry_budget_bounds_the_extra_load():
    budget, sent = RetryBudget(), 0
    for _ in range(1_000):
        budget.earn()
        sent += 1
        attempt = Attempt(FailureStage.SHED, 1, True, False)
        while decide(LOOKUP, attempt, budget).is_ok():
            budget.spend()
            sent += 1
            attempt = attempt._replace(number=attempt.number + 1)
    assert sent <= 1_000 + 100 + 10
