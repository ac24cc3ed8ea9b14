"""An isolated instance refuses requests; in a platform outage the fleet serves."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chervilpitch.accounts import (
    Evidence,
    Freshness,
    apply_catalogue,
    check_freshness,
    current_evidence,
    record_peer_answer,
    record_platform_answer,
    tick,
    update_instances,
)
from chervilpitch.accounts.freshness import CATCH_UP_TIMEOUT_S, EVIDENCE_LIFETIME_S
from chervilpitch.accounts.naive import naive_check
from chervilpitch.model import (
    EMPTY_CATALOGUE,
    Instance,
    RefusalKind,
    RunState,
    Sender,
)

REGIONS = ("punjab", "sindh", "khyber")


def fleet(regions=REGIONS, per_domain=6):
    return {
        name: Instance(name, seat, f"{region}/{domain}", f"{name}:1", f"{name}:2")
        for region in regions
        for domain in "ab"
        for seat in range(per_domain)
        for name in [f"{region}-{domain}{seat}"]
    }


def start(instances, name="punjab-a0", revision=7):
    state = Freshness(instances[name])
    update_instances(state, instances, 0.0)
    apply_catalogue(state, EMPTY_CATALOGUE._replace(revision=revision), 0.0)
    return state


def record_answers(state, names, asked_at_s, revision=7):
    for name in names:
        record_peer_answer(state, Sender(name, 1), revision, asked_at_s, asked_at_s)


def starting_with(instances, *prefixes):
    return [name for name in instances if name.startswith(prefixes)]


def test_a_platform_read_is_evidence_until_it_expires():
    state = start(fleet())
    record_platform_answer(state, 7, 0.0, 0.1)
    assert check_freshness(state, EVIDENCE_LIFETIME_S - 0.1).is_ok()
    refusal = check_freshness(state, EVIDENCE_LIFETIME_S).unwrap_err()
    assert refusal.kind is RefusalKind.KEYS_NOT_FRESH
    assert refusal.run is RunState.NOT_RUN
    assert refusal.go_to == ("punjab-b0:1", "punjab-b1:1", "punjab-b2:1")


def test_an_isolated_instance_refuses_where_the_naive_one_serves():
    state = start(fleet())
    record_platform_answer(state, 7, 0.0, 0.0)
    assert check_freshness(state, 3_600.0).is_err()
    assert naive_check(7, 3_600.0).is_ok()


@pytest.mark.parametrize(
    "prefixes, expected",
    [
        (REGIONS, Evidence.FLEET),
        (("punjab",), Evidence.REGION),
        (("punjab-a",), Evidence.REGION),
        (("sindh", "khyber"), Evidence.FLEET),
        (("punjab-a1", "punjab-a2"), Evidence.NONE),
        ((), Evidence.NONE),
    ],
)
def test_evidence_without_the_platform_depends_on_the_answering_peers(
    prefixes, expected
):
    instances = fleet()
    state = start(instances)
    names = starting_with(instances, *prefixes) if prefixes else []
    for hour_s in (0.0, 3_600.0, 4 * 3_600.0):
        record_answers(state, names, hour_s)
        assert current_evidence(state, hour_s + 1.0) is expected


def test_an_instance_of_a_large_partitioned_region_asks_few_peers_and_serves():
    instances = fleet(per_domain=150)
    state = start(instances)
    assert len(state.region_peers) + len(state.remote_peers) <= 24
    record_answers(state, starting_with(instances, "punjab"), 0.0)
    assert current_evidence(state, 1.0) is Evidence.REGION


def test_answers_received_after_a_suspension_are_no_evidence():
    instances = fleet()
    state = start(instances)
    for name in instances:
        record_peer_answer(state, Sender(name, 1), 7, asked_at_s=1.0, now_s=3_600.0)
    record_platform_answer(state, 7, asked_at_s=1.0, now_s=3_600.0)
    assert check_freshness(state, 3_600.0).is_err()


def test_an_older_answer_does_not_shorten_the_evidence():
    state = start(fleet())
    record_platform_answer(state, 7, 10.0, 10.0)
    record_platform_answer(state, 7, 1.0, 10.0)
    assert check_freshness(state, 14.0).is_ok()


def test_a_stale_platform_is_no_evidence():
    state = start(fleet())
    record_platform_answer(state, 6, 0.0, 0.0)
    assert current_evidence(state, 0.0) is Evidence.NONE


def test_an_instance_behind_refuses_until_it_has_the_revision():
    instances = fleet()
    state = start(instances)
    for at_s in (0.0, CATCH_UP_TIMEOUT_S):
        record_answers(state, instances, at_s, revision=8)
    assert check_freshness(state, CATCH_UP_TIMEOUT_S - 0.1).is_ok()
    assert current_evidence(state, CATCH_UP_TIMEOUT_S) is Evidence.BEHIND
    apply_catalogue(state, EMPTY_CATALOGUE._replace(revision=8), CATCH_UP_TIMEOUT_S)
    assert check_freshness(state, CATCH_UP_TIMEOUT_S).is_ok()


def test_a_change_of_evidence_is_reported_once():
    state = start(fleet())
    record_platform_answer(state, 7, 0.0, 0.0)
    effects = [
        tick(state, at_s)
        for at_s in (0.0, 1.0, EVIDENCE_LIFETIME_S, EVIDENCE_LIFETIME_S + 1)
    ]
    assert [[r.event.detail for r in records] for records in effects] == [
        ["platform"],
        [],
        ["none"],
        [],
    ]


def test_a_sole_instance_serves_without_the_platform():
    instances = {"a": Instance("a", 0, "r/d", "a:1", "a:2")}
    assert current_evidence(start(instances, "a"), 9_000.0) is Evidence.SOLE_INSTANCE


def test_an_instance_without_an_instance_list_or_a_note_refuses():
    unlisted = Freshness(Instance("a", 0, "r/d", "a:1", "a:2"))
    apply_catalogue(unlisted, EMPTY_CATALOGUE._replace(revision=7), 0.0)
    assert check_freshness(unlisted, 0.0).is_err()
    assert check_freshness(start(fleet(), revision=0), 0.0).is_err()


_TIMES = st.floats(0, 60)
_NAMES = st.sampled_from(sorted(fleet()))
_ANSWERS = st.tuples(st.none() | _NAMES, st.integers(5, 9), _TIMES, _TIMES)


@given(st.lists(_ANSWERS), _TIMES)
def test_requests_are_served_only_with_a_recent_question(answers, now_s):
    state = start(fleet())
    for name, revision, asked_at_s, delay_s in answers:
        arrived_at_s = asked_at_s + delay_s
        if name is None:
            record_platform_answer(state, revision, asked_at_s, arrived_at_s)
        else:
            record_peer_answer(
                state, Sender(name, 1), revision, asked_at_s, arrived_at_s
            )
    if check_freshness(state, now_s).is_ok():
        assert any(
            asked_at_s + EVIDENCE_LIFETIME_S > now_s for _, _, asked_at_s, _ in answers
        )
