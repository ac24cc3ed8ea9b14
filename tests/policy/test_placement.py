"""Placement with upstreams that hang, drain, start cold or are in other regions."""

import pytest

from chervilpitch.model import RequestKind, UpstreamEntry
from chervilpitch.policy import LatencyBaseline, Location, UpstreamTable

from .load_simulation import NaiveInstance, PolicyInstance, Simulation

REGIONS = {"n1": "north", "n2": "north", "s1": "south"}
SEEDS = (1, 2, 3)
MIN_TRIED_SHARE = 0.7


def entry(name, domain="n1", **fields):
    default = UpstreamEntry(name, "desk", f"{name}:1", domain, 4, False, 0.0, 1, 1)
    return default._replace(**fields)


def table_of(*entries):
    table = UpstreamTable(Location("north", "n1", REGIONS))
    table.update_entries(entries, 0.0)
    return table


def chosen(table, kind=RequestKind.UNSAFE, excluded=(), now_s=10.0, draw=0.99):
    choice = table.choose(
        "desk",
        kind,
        LatencyBaseline(0.8),
        frozenset(excluded),
        now_s,
        iter(lambda: draw, None),
    )
    return choice.upstream.entry.name if choice else None


@pytest.mark.parametrize("seed", SEEDS)
def test_shared_evidence_keeps_most_requests_away_from_hanging_upstreams(seed):
    pooled = Simulation(PolicyInstance, seed, requests_per_s=58).run(60.0)
    naive = Simulation(NaiveInstance, seed, requests_per_s=58).run(60.0)
    assert naive.failed_share > 0.12
    assert pooled.failed_share < naive.failed_share / 2
    assert pooled.hedged < 0.2 * pooled.requested


@pytest.mark.parametrize("seed", SEEDS)
def test_healthy_upstreams_receive_requests_continuously(seed):
    result = Simulation(PolicyInstance, seed, requests_per_s=58).run(60.0)
    assert result.min_tried_share >= MIN_TRIED_SHARE


@pytest.mark.parametrize("seed", SEEDS)
def test_without_faults_no_request_fails_and_few_are_hedged(seed):
    result = Simulation(PolicyInstance, seed, requests_per_s=58, has_faults=False).run(
        60.0
    )
    assert result.failed_share == 0
    assert result.hedged < 0.05 * result.requested


def test_draining_or_excluded_upstream_is_not_chosen():
    table = table_of(entry("a", is_draining=True), entry("b"), entry("c"))
    assert chosen(table, excluded=("b",)) == "c"
    assert chosen(table, excluded=("b", "c")) is None


def test_unreachable_upstream_is_not_chosen_during_backoff():
    table = table_of(entry("a"))
    state = table.get("a")
    state.start_attempt(1, LatencyBaseline(0.8), 10.0)
    state.record_unreachable(1, 10.0)
    assert chosen(table, now_s=10.1) is None
    assert chosen(table, now_s=10.6) == "a"


def test_misdirected_upstream_is_not_chosen_until_it_restarts():
    table = table_of(entry("a"))
    table.get("a").mark_misdirected()
    assert chosen(table) is None
    table.update_entries([entry("a", born_ms=2)], 11.0)
    assert chosen(table, now_s=11.0) == "a"


def test_upstream_in_own_region_is_preferred_until_it_is_full():
    table = table_of(entry("far", "s1"), entry("near", "n1"))
    assert chosen(table) == "near"
    for number in range(12):
        table.get("near").start_attempt(number, LatencyBaseline(0.8), 10.0)
    assert chosen(table, now_s=10.01) == "far"


def test_upload_stays_in_own_region_where_other_requests_leave_it():
    table = table_of(entry("far", "s1"), entry("near", "n1"))
    for number in range(8):
        table.get("near").start_attempt(number, LatencyBaseline(0.8), 9.95)
    assert chosen(table, RequestKind.UNSAFE) == "far"
    assert chosen(table, RequestKind.UPLOAD) == "near"


def test_upstream_in_cold_start_is_avoided():
    table = table_of(entry("cold", cold_for_s=3.0), entry("warm"))
    assert chosen(table, now_s=1.0) == "warm"


def test_unsafe_request_avoids_upstream_with_late_request():
    table = table_of(entry("a"), entry("b", "n2"))
    table.get("a").start_attempt(1, LatencyBaseline(0.8), 9.2)
    assert chosen(table) == "b"


def test_safe_request_explores_upstream_tried_least_recently():
    table = table_of(entry("a"), entry("b"))
    baseline = LatencyBaseline(0.8)
    for name, at_s in (("a", 9.9), ("b", 5.0)):
        table.get(name).start_attempt(1, baseline, at_s)
        table.get(name).record_abandoned(1, at_s)
    assert chosen(table, RequestKind.SAFE, draw=0.0) == "b"
