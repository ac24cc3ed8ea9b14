"""Placing before upstreams that hang, drain, start cold or are far away."""

import pytest

from chervilpitch.model import RequestKind, UpstreamEntry
from chervilpitch.policy import LatencyBaseline, Location, UpstreamTable

from .load_model import Model, NaiveInstance, PolicyInstance

REGIONS = {"n1": "north", "n2": "north", "s1": "south"}
SEEDS = (1, 2, 3)
FLOOR_SHARE = 0.7


def entry(name, domain="n1", **fields):
    given = UpstreamEntry(name, "desk", f"{name}:1", domain, 4, False, 0.0, 1, 1)
    return given._replace(**fields)


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
def test_pooled_evidence_keeps_most_requests_from_upstreams_that_hang(seed):
    pooled = Model(PolicyInstance, seed, per_s=58).play(60.0)
    naive = Model(NaiveInstance, seed, per_s=58).play(60.0)
    assert naive.failed_share > 0.12
    assert pooled.failed_share < naive.failed_share / 2
    assert pooled.doubled < 0.2 * pooled.asked


@pytest.mark.parametrize("seed", SEEDS)
def test_sound_upstreams_get_requests_all_the_time(seed):
    played = Model(PolicyInstance, seed, per_s=58).play(60.0)
    assert played.least_touched_share >= FLOOR_SHARE


@pytest.mark.parametrize("seed", SEEDS)
def test_without_faults_nothing_fails_and_little_is_sent_twice(seed):
    played = Model(PolicyInstance, seed, per_s=58, has_faults=False).play(60.0)
    assert played.failed_share == 0
    assert played.doubled < 0.05 * played.asked


def test_a_draining_or_excluded_upstream_is_not_chosen():
    table = table_of(entry("a", is_draining=True), entry("b"), entry("c"))
    assert chosen(table, excluded=("b",)) == "c"
    assert chosen(table, excluded=("b", "c")) is None


def test_an_unreachable_upstream_is_left_alone_for_a_while():
    table = table_of(entry("a"))
    state = table.get("a")
    state.start_attempt(1, LatencyBaseline(0.8), 10.0)
    state.record_unreachable(1, 10.0)
    assert chosen(table, now_s=10.1) is None
    assert chosen(table, now_s=10.6) == "a"


def test_an_upstream_whose_address_another_one_has_is_never_chosen_again():
    table = table_of(entry("a"))
    table.get("a").mark_misdirected()
    assert chosen(table) is None
    table.update_entries([entry("a", born_ms=2)], 11.0)
    assert chosen(table, now_s=11.0) == "a"


def test_the_near_upstream_is_preferred_until_it_is_full():
    table = table_of(entry("far", "s1"), entry("near", "n1"))
    assert chosen(table) == "near"
    for number in range(12):
        table.get("near").start_attempt(number, LatencyBaseline(0.8), 10.0)
    assert chosen(table, now_s=10.01) == "far"


def test_an_upload_stays_near_where_another_request_would_go_far():
    table = table_of(entry("far", "s1"), entry("near", "n1"))
    for number in range(8):
        table.get("near").start_attempt(number, LatencyBaseline(0.8), 9.95)
    assert chosen(table, RequestKind.UNSAFE) == "far"
    assert chosen(table, RequestKind.UPLOAD) == "near"


def test_a_cold_upstream_is_avoided():
    table = table_of(entry("cold", cold_for_s=3.0), entry("warm"))
    assert chosen(table, now_s=1.0) == "warm"


def test_an_unsafe_request_avoids_what_a_late_one_makes_doubtful():
    table = table_of(entry("a"), entry("b", "n2"))
    table.get("a").start_attempt(1, LatencyBaseline(0.8), 9.2)
    assert chosen(table) == "b"


def test_a_safe_request_tries_the_upstream_that_was_tried_least_lately():
    table = table_of(entry("a"), entry("b"))
    baseline = LatencyBaseline(0.8)
    for name, at_s in (("a", 9.9), ("b", 5.0)):
        table.get(name).start_attempt(1, baseline, at_s)
        table.get(name).record_abandoned(1, at_s)
    assert chosen(table, RequestKind.SAFE, draw=0.0) == "b"
