"""Ejection and readmission of upstreams by the detector."""

import pytest

from chervilpitch import health
from chervilpitch.health.ejection import (
    FIRST_EJECTION_S,
    LONGEST_EJECTION_S,
    MAX_EJECTIONS,
    RAMP_S,
)
from chervilpitch.model import Sender
from tests.health.builders import (
    answered,
    catalogue,
    ejected_upstreams,
    new_state,
    observe_rounds,
    state_with_baseline,
    upstream,
)

FAILURES = {
    "slow x3": answered(0.12),
    "slow x10": answered(0.4),
    "errors": health.ErrorResponse(503),
    "truncated": health.Truncated(),
    "no connection": health.ConnectFailed(),
    "stalls": health.Stalled(5.0),
}


def failing_u00(observation):
    return lambda name: observation if name == "u00" else answered()


def names_of(events):
    return [event.name for event in events]


def eject_u00(state, now_s):
    now_s, _ = observe_rounds(state, now_s, 20, failing_u00(health.Truncated()))
    assert ejected_upstreams(state) == {"u00"}
    return now_s


@pytest.mark.parametrize("observation", FAILURES.values(), ids=FAILURES)
def test_only_the_failing_upstream_is_ejected(observation):
    state, now_s = state_with_baseline()
    observe_rounds(state, now_s, 20, failing_u00(observation))
    assert ejected_upstreams(state) == {"u00"}


@pytest.mark.parametrize("observation", FAILURES.values(), ids=FAILURES)
def test_no_upstream_is_ejected_when_all_fail(observation):
    state, now_s = state_with_baseline()
    observe_rounds(state, now_s, 50, lambda name: observation)
    assert not ejected_upstreams(state)


def test_overdue_exchanges_count_before_they_end():
    state, now_s = state_with_baseline()
    for number in range(4):
        health.exchange_started(state, "u00", number, now_s)
    observe_rounds(
        state,
        now_s,
        10,
        lambda name: health.Abandoned() if name == "u00" else answered(),
    )
    assert ejected_upstreams(state) == {"u00"}


def test_a_slow_caller_does_not_count_against_the_upstream():
    state, now_s = state_with_baseline()
    for number in range(4):
        health.exchange_started(state, "u00", number, now_s)
        health.response_progressed(state, number, now_s, is_waiting=False)
    observe_rounds(state, now_s, 300, lambda name: answered())
    assert not ejected_upstreams(state)


def test_upload_time_does_not_count_against_the_upstream():
    state, now_s = state_with_baseline()
    for number in range(4):
        health.exchange_started(state, "u00", number, now_s)
    health.tick(state, now_s + 0.4)
    for number in range(4):
        health.request_sent(state, number, now_s + 0.4)
    assert health.snapshot(state, now_s + 0.41)["u00"].doubt == 0


def test_a_stalled_response_body_counts_against_the_upstream():
    state, now_s = state_with_baseline()
    for number in range(4):
        health.exchange_started(state, "u00", number, now_s)
        health.response_progressed(state, number, now_s)
    others = failing_u00(health.Abandoned())
    observe_rounds(state, now_s, 40, others)
    assert ejected_upstreams(state) == {"u00"}


def test_big_requests_are_compared_with_big_requests():
    state, now_s = state_with_baseline()
    big = health.Answered(1.0, 1_000, 1.0, 2, request_bytes=5_000_000)
    observe_rounds(state, now_s, 30, failing_u00(big))
    assert not ejected_upstreams(state)


def test_a_pause_of_the_process_is_not_a_stall():
    state, now_s = state_with_baseline()
    for number in range(4):
        health.exchange_started(state, "u00", number, now_s)
    resumed_at_s = now_s + 60.0
    health.tick(state, resumed_at_s)
    for number in range(4):
        health.exchange_finished(state, number, answered(60.0), resumed_at_s)
    assert not ejected_upstreams(state)


def test_an_overdue_reused_connection_calls_for_new_connections():
    state, now_s = state_with_baseline()
    health.exchange_started(state, "u00", 1, now_s, is_reused=True)
    assert health.silent_upstreams(state, now_s + 0.01) == ()
    assert health.silent_upstreams(state, now_s + 0.3) == ("u00",)


def test_failed_probes_alone_never_eject():
    state, now_s = state_with_baseline()
    observe_rounds(state, now_s, 100, failing_u00(health.ProbeFailed()))
    assert not ejected_upstreams(state)


def test_successful_probes_do_not_hide_a_failure():
    state, now_s = state_with_baseline()
    for _ in range(20):
        now_s, _ = observe_rounds(state, now_s, 1, failing_u00(health.Truncated()))
        health.observe(state, "u00", health.ProbeSucceeded(0.001), now_s)
    assert ejected_upstreams(state) == {"u00"}


def test_load_shedding_never_ejects():
    state, now_s = state_with_baseline()
    observe_rounds(state, now_s, 100, failing_u00(health.Shed()))
    assert not ejected_upstreams(state)


def test_peer_reports_only_trigger_a_probe_and_lower_the_weight():
    state, now_s = state_with_baseline()
    for _ in range(100):
        report = health.HealthReport(("u00", "u01", "unknown"))
        assert health.receive(state, report, Sender("peer", 1), now_s) == ()
    assert not ejected_upstreams(state)
    assert 0 < health.weight(state, "u00", now_s) < 1
    assert health.probes_due(state, now_s) == ("u00",)
    assert health.weight(state, "u00", now_s + 11.0) == 1


def test_an_ejection_is_reported_to_peers_at_a_bounded_rate():
    state, now_s = state_with_baseline()
    assert health.report(state, now_s) is None
    now_s = eject_u00(state, now_s)
    assert health.report(state, now_s).ejected == ("u00",)
    assert health.report(state, now_s + 0.5) is None


def test_readmission_needs_a_probe_and_is_gradual():
    state, now_s = state_with_baseline()
    now_s = eject_u00(state, now_s)
    health.observe(state, "u00", health.ProbeSucceeded(0.02), now_s)
    assert ejected_upstreams(state) == {"u00"}
    now_s += FIRST_EJECTION_S
    assert health.probes_due(state, now_s) == ("u00",)
    health.observe(state, "u00", health.ProbeSucceeded(0.02), now_s)
    steps = [health.weight(state, "u00", now_s + RAMP_S * i / 4) for i in range(5)]
    assert steps == sorted(steps)
    assert steps[0] < 0.2 and steps[-1] == 1


def test_a_failed_probe_keeps_the_ejection():
    state, now_s = state_with_baseline()
    now_s = eject_u00(state, now_s) + FIRST_EJECTION_S
    health.observe(state, "u00", health.ProbeFailed(), now_s)
    assert ejected_upstreams(state) == {"u00"}
    assert health.probes_due(state, now_s) == ()


def test_a_flapping_upstream_is_ejected_longer_each_time():
    state, now_s = state_with_baseline()
    lengths = []
    for _ in range(3):
        now_s = eject_u00(state, now_s)
        until_at_s = state.upstreams["u00"].ejected_until_at_s
        lengths.append(until_at_s - now_s)
        now_s = until_at_s
        health.observe(state, "u00", health.ProbeSucceeded(0.02), now_s)
    assert lengths[0] < lengths[1] < lengths[2]


def test_the_length_of_an_ejection_is_bounded():
    state, now_s = state_with_baseline()
    for _ in range(12):
        now_s = eject_u00(state, now_s)
        now_s = state.upstreams["u00"].ejected_until_at_s
        health.observe(state, "u00", health.ProbeSucceeded(0.02), now_s)
    assert state.upstreams["u00"].ejections == MAX_EJECTIONS
    now_s = eject_u00(state, now_s)
    assert state.upstreams["u00"].ejected_until_at_s - now_s <= LONGEST_EJECTION_S


def test_the_rate_of_probes_is_limited():
    state, now_s = state_with_baseline()
    report = health.HealthReport(tuple(state.upstreams))
    health.receive(state, report, Sender("peer", 1), now_s)
    probes = [health.probes_due(state, now_s + 0.01 * i) for i in range(100)]
    assert sum(map(len, probes)) == 2


def test_a_draining_upstream_gets_no_new_requests_at_once():
    state, now_s = state_with_baseline()
    health.observe(state, "u00", health.DrainAnnounced(), now_s)
    assert "u00" not in health.eligible_upstreams(state, "desk", now_s)
    assert health.weight(state, "u00", now_s) == 0


def test_an_upstream_added_later_starts_with_a_small_share():
    state, now_s = state_with_baseline()
    later = catalogue(upstream(i) for i in range(9))
    health.apply_catalogue(state, later, now_s)
    assert health.weight(state, "u08", now_s) < 0.2


def test_the_health_of_an_upstream_survives_a_new_catalogue():
    state, now_s = state_with_baseline()
    now_s = eject_u00(state, now_s)
    health.apply_catalogue(state, catalogue(upstream(i) for i in range(8)), now_s)
    assert ejected_upstreams(state) == {"u00"}


def test_a_clock_that_steps_back_changes_nothing():
    state, now_s = state_with_baseline()
    eject_u00(state, now_s)
    assert "u00" not in health.eligible_upstreams(state, "desk", 0.0)


def test_the_status_page_distinguishes_the_states():
    state, now_s = state_with_baseline()
    now_s = eject_u00(state, now_s)
    health.observe(state, "u01", health.DrainAnnounced(), now_s)
    rows = health.snapshot(state, now_s)
    assert rows["u00"].state == "ejected"
    assert rows["u01"].state == "draining"
    assert rows["u02"].state == "healthy"


def test_an_unknown_upstream_is_ignored():
    state = new_state()
    assert health.observe(state, "gone", answered(), 1.0) == ()
    health.exchange_started(state, "gone", 1, 1.0)
    assert health.exchange_finished(state, 1, answered(), 2.0) == ()


def test_latencies_of_a_withdrawn_route_are_removed():
    state = new_state()
    health.apply_catalogue(state, catalogue([upstream(0)], ["stock"]), 0.0)
    health.exchange_started(state, "u00", 1, 1.0, route="stock")
    health.exchange_finished(state, 1, answered(), 1.1)
    assert len(state.latencies) == 1
    health.apply_catalogue(state, catalogue([upstream(0)]), 2.0)
    assert len(state.latencies) == 0
