"""Membership, election of store readers and addresses for callers."""

from chervilpitch.gateway.process import (
    READER_CHECK_INTERVAL_S,
    STATE_REQUEST_INTERVAL_S,
)
from chervilpitch.gateway.store_reader import (
    CONFIGURATION_WATCH_MS,
    WATCH_MISS_WINDOW_S,
)
from chervilpitch.platform import Bounds
from chervilpitch.policy import (
    Member,
    MemberState,
    MemberTable,
    ReaderElection,
    addresses_for,
    is_proof_current,
    peers_to_query,
)
from chervilpitch.policy.reader_election import (
    ANSWER_TIMEOUT_S,
    MAX_PROOF_AGE_S,
    MAX_STAGGER_STEPS,
    STAGGER_STEP_S,
    STALE_ANSWER_TIMEOUT_S,
)

SERVING = int(MemberState.SERVING)
STORE_READ_S = 0.1
STORE_ROUND_TRIP_S = 0.1


def member(
    name, heartbeat_count=1, incarnation=1, region="north", domain="n1", state=SERVING
):
    return Member(
        name, incarnation, heartbeat_count, region, domain, name + ":1", "p", state
    )


def test_instance_is_alive_while_its_heartbeat_advances():
    table = MemberTable(member("own"))
    assert [item.name for item in table.merge([member("a")], 10.0)] == ["a"]
    assert table.merge([member("a")], 12.9) == ()
    assert [item.name for item in table.alive(12.9)] == ["a"]
    assert table.alive(13.5) == []
    table.merge([member("a", heartbeat_count=2)], 13.6)
    assert [item.name for item in table.alive(13.7)] == ["a"]


def test_new_incarnation_supersedes_any_heartbeat_of_the_old_one():
    table = MemberTable(member("own"))
    table.merge([member("a", heartbeat_count=50)], 10.0)
    assert table.merge([member("a", heartbeat_count=1, incarnation=2)], 10.1)
    assert table.merge([member("a", heartbeat_count=51)], 10.2) == ()
    assert table.alive(10.3)[0].incarnation == 2


def test_instance_without_heartbeats_expires():
    table = MemberTable(member("own"))
    table.merge([member("a")], 10.0)
    assert table.remove_expired(20.0) == ()
    assert [item.name for item in table.remove_expired(26.0)] == ["a"]


def test_instances_agree_on_the_ranking_and_leaving_ones_are_last():
    members = [member(name) for name in "abcd"]
    orders = []
    for own in members:
        table = MemberTable(own)
        table.merge(members, 10.0)
        orders.append([item.name for item in table.ranked(10.0)])
    assert len({tuple(order) for order in orders}) == 1
    first = orders[0][0]
    table = MemberTable(member("e"))
    leaving = [
        item._replace(state=int(MemberState.LEAVING)) if item.name == first else item
        for item in members
    ]
    table.merge(leaving, 10.0)
    assert table.ranked(10.0)[-1].name == first


def election(answered_at_s=None):
    state = ReaderElection(0.0)
    if answered_at_s is not None:
        state.record_answer(answered_at_s)
    return state


def test_two_instances_read_and_others_take_over_if_neither_answers():
    ranked = [member(name) for name in "abcd"]
    assert election(9.0).update(ranked, ranked[0], 10.0)
    assert election(9.0).update(ranked, ranked[1], 10.0)
    assert not election(9.0).update(ranked, ranked[2], 10.05)
    assert election(9.0).update(ranked, ranked[2], 10.15)
    assert not election(9.0).update(ranked, ranked[3], 10.15)
    assert election(9.0).update(ranked, ranked[3], 10.25)


def test_stale_instance_learns_of_a_change_within_the_drain_bound():
    takeover_s = ANSWER_TIMEOUT_S + STAGGER_STEP_S * MAX_STAGGER_STEPS
    worst_s = (
        takeover_s + STATE_REQUEST_INTERVAL_S + READER_CHECK_INTERVAL_S + STORE_READ_S
    )
    assert worst_s <= Bounds().drain_s


def test_fallback_reader_continues_for_some_time():
    ranked = [member(name) for name in "abcd"]
    state = election(9.0)
    assert state.update(ranked, ranked[3], 10.5)
    state.record_answer(10.6)
    assert state.update(ranked, ranked[3], 11.0)
    state.record_answer(14.4)
    assert not state.update(ranked, ranked[3], 14.6)


def test_answer_with_an_old_proof_is_not_current():
    assert is_proof_current(1.9)
    assert not is_proof_current(2.8)


def test_proof_of_a_reader_is_current_until_its_next_watch_ends():
    """Otherwise others begin to read although the readers do."""
    watch_s = CONFIGURATION_WATCH_MS / 1000
    assert is_proof_current(WATCH_MISS_WINDOW_S + 2 * watch_s + STORE_ROUND_TRIP_S)


def test_keys_are_accepted_while_others_take_over_from_readers_without_the_store():
    bounds = Bounds()
    takeover_s = STALE_ANSWER_TIMEOUT_S + STAGGER_STEP_S * MAX_STAGGER_STEPS
    checks_s = STATE_REQUEST_INTERVAL_S + READER_CHECK_INTERVAL_S
    passed_on_s = 2 * STATE_REQUEST_INTERVAL_S
    worst_s = MAX_PROOF_AGE_S + takeover_s + checks_s + STORE_READ_S + passed_on_s
    assert worst_s <= bounds.revocation_s


def test_others_read_soon_if_the_readers_answer_but_cannot_read():
    ranked = [member(name) for name in "abcd"]
    state = election(9.5)
    state.record_answer(9.8, is_current=False)
    assert not state.update(ranked, ranked[2], 9.95)
    assert state.update(ranked, ranked[2], 10.05)
    state = election(9.5)
    assert not state.update(ranked, ranked[2], 10.05)


def test_next_instances_by_rank_read_in_the_place_of_readers_that_fail():
    ranked = [member(name) for name in "abcdef"]

    def reading(failing):
        states = {own: election(9.9) for own in ranked}
        for state in states.values():
            for name in failing:
                state.record_failing(name, 10.0)
        return "".join(
            own.name for own in ranked if states[own].update(ranked, own, 10.0)
        )

    assert reading("") == "ab"
    assert reading("a") == "abc"
    assert reading("ab") == "abcd"
    assert reading("abc") == "abcdef"


def test_reader_that_failed_is_asked_again_once_it_reads_or_after_a_pause():
    ranked = [member(name) for name in "abc"]
    state = election(9.9)
    state.record_failing("a", 10.0)
    own = ranked[2]
    assert [item.name for item in state.sources(ranked, own, 10.1)] == ["b"]
    assert [item.name for item in state.sources(ranked, own, 11.6)] == ["a", "b"]
    state.record_reading("a")
    assert [item.name for item in state.sources(ranked, own, 10.1)] == ["a", "b"]


def test_all_are_asked_if_all_fail_to_read():
    ranked = [member(name) for name in "abc"]
    state = election(9.9)
    for name in "ab":
        state.record_failing(name, 10.0)
    assert [item.name for item in state.sources(ranked, ranked[2], 10.1)] == ["a", "b"]


def test_after_a_start_others_wait_for_the_first_answer():
    ranked = [member(name) for name in "ab"]
    assert not election().update(ranked, ranked[0], 0.9)
    assert election().update(ranked, ranked[0], 1.1)
    assert not election().update(ranked, ranked[1], 1.5)
    assert election().update(ranked, ranked[1], 1.8)


def test_leaving_instances_are_not_queried():
    ranked = [member("a", state=int(MemberState.LEAVING)), member("b"), member("own")]
    assert [item.name for item in peers_to_query(ranked, ranked[2])] == ["b"]


def test_callers_get_distant_addresses_only_if_too_few_are_near():
    members = [
        member("a", domain="n1"),
        member("b", domain="n1"),
        member("c", domain="n2"),
        member("d", region="south", domain="s1"),
    ]
    assert addresses_for(members, "north", "n1") == ("a:1", "b:1")
    assert addresses_for(members, "north", "n2") == ("a:1", "b:1", "c:1")
    assert addresses_for(members, "south", "s1") == ("a:1", "b:1", "c:1", "d:1")


def test_callers_get_no_address_of_an_instance_that_is_not_serving():
    members = [
        member("a", state=int(MemberState.STARTING)),
        member("b", state=int(MemberState.LEAVING)),
    ]
    assert addresses_for(members, "north", "n1") == ()


def test_callers_get_stale_instances_only_if_none_is_serving():
    stale = member("a", state=int(MemberState.STALE))
    assert addresses_for([stale], "north", "n1") == ("a:1",)
    others = [member("b"), member("c")]
    assert addresses_for([stale, *others], "north", "n1") == ("b:1", "c:1")
