"""Instances that come, go, start again and read the store for each other."""

from chervilpitch.gateway.process import (
    READER_CHECK_INTERVAL_S,
    STATE_REQUEST_INTERVAL_S,
)
from chervilpitch.platform import Bounds
from chervilpitch.policy import (
    Member,
    MemberState,
    MemberTable,
    ReadingState,
    addresses_for,
    is_current,
    sources,
)
from chervilpitch.policy.reading import MOST_STEPS, STEP_S, UNANSWERED_S

SERVING = int(MemberState.SERVING)
READ_S = 0.1


def member(name, beat=1, incarnation=1, region="north", domain="n1", state=SERVING):
    return Member(name, incarnation, beat, region, domain, name + ":1", "p", state)


def test_an_instance_is_alive_while_its_word_is_new():
    table = MemberTable(member("own"))
    assert [item.name for item in table.hear([member("a")], 10.0)] == ["a"]
    assert table.hear([member("a")], 12.9) == ()
    assert [item.name for item in table.alive(12.9)] == ["a"]
    assert table.alive(13.5) == []
    table.hear([member("a", beat=2)], 13.6)
    assert [item.name for item in table.alive(13.7)] == ["a"]


def test_a_new_incarnation_is_newer_than_any_beat_of_the_old_one():
    table = MemberTable(member("own"))
    table.hear([member("a", beat=50)], 10.0)
    assert table.hear([member("a", beat=1, incarnation=2)], 10.1)
    assert table.hear([member("a", beat=51)], 10.2) == ()
    assert table.alive(10.3)[0].incarnation == 2


def test_an_instance_unheard_of_is_forgotten():
    table = MemberTable(member("own"))
    table.hear([member("a")], 10.0)
    assert table.forget(20.0) == ()
    assert [item.name for item in table.forget(26.0)] == ["a"]


def test_all_instances_agree_on_the_order_and_the_leaving_come_last():
    names = [member(name) for name in "abcd"]
    orders = []
    for own in names:
        table = MemberTable(own)
        table.hear(names, 10.0)
        orders.append([item.name for item in table.ranked(10.0)])
    assert len({tuple(order) for order in orders}) == 1
    first = orders[0][0]
    table = MemberTable(member("e"))
    leaving = [
        item._replace(state=int(MemberState.LEAVING)) if item.name == first else item
        for item in names
    ]
    table.hear(leaving, 10.0)
    assert table.ranked(10.0)[-1].name == first


def reading(answered_at_s=None):
    state = ReadingState(0.0)
    if answered_at_s is not None:
        state.answered(answered_at_s)
    return state


def test_two_instances_read_and_the_others_do_when_neither_answers():
    ranked = [member(name) for name in "abcd"]
    assert reading(9.0).decide(ranked, ranked[0], 10.0)
    assert reading(9.0).decide(ranked, ranked[1], 10.0)
    assert not reading(9.0).decide(ranked, ranked[2], 10.05)
    assert reading(9.0).decide(ranked, ranked[2], 10.15)
    assert not reading(9.0).decide(ranked, ranked[3], 10.15)
    assert reading(9.0).decide(ranked, ranked[3], 10.25)


def test_a_stale_instance_learns_of_a_change_within_the_drain_bound():
    alone_s = UNANSWERED_S + STEP_S * MOST_STEPS
    worst_s = alone_s + STATE_REQUEST_INTERVAL_S + READER_CHECK_INTERVAL_S + READ_S
    assert worst_s <= Bounds().drain_s


def test_one_that_had_to_read_goes_on_for_a_while():
    ranked = [member(name) for name in "abcd"]
    state = reading(9.0)
    assert state.decide(ranked, ranked[3], 10.5)
    state.answered(10.6)
    assert state.decide(ranked, ranked[3], 11.0)
    state.answered(14.4)
    assert not state.decide(ranked, ranked[3], 14.6)


def test_an_answer_with_an_old_proof_comes_from_an_instance_that_cannot_read():
    assert is_current(1.9)
    assert not is_current(2.5)


def test_after_a_start_the_others_wait_for_the_first_one_s_answer():
    ranked = [member(name) for name in "ab"]
    assert not reading().decide(ranked, ranked[0], 0.9)
    assert reading().decide(ranked, ranked[0], 1.1)
    assert not reading().decide(ranked, ranked[1], 1.5)
    assert reading().decide(ranked, ranked[1], 1.8)


def test_instances_that_leave_are_not_asked():
    ranked = [member("a", state=int(MemberState.LEAVING)), member("b"), member("own")]
    assert [item.name for item in sources(ranked, ranked[2])] == ["b"]


def test_callers_get_near_addresses_and_others_only_when_those_are_too_few():
    members = [
        member("a", domain="n1"),
        member("b", domain="n1"),
        member("c", domain="n2"),
        member("d", region="south", domain="s1"),
    ]
    assert addresses_for(members, "north", "n1") == ("a:1", "b:1")
    assert addresses_for(members, "north", "n2") == ("a:1", "b:1", "c:1")
    assert addresses_for(members, "south", "s1") == ("a:1", "b:1", "c:1", "d:1")


def test_callers_get_no_address_of_an_instance_that_does_not_serve():
    members = [
        member("a", state=int(MemberState.STARTING)),
        member("b", state=int(MemberState.LEAVING)),
    ]
    assert addresses_for(members, "north", "n1") == ()


def test_callers_keep_stale_instances_only_while_none_serves():
    stale = member("a", state=int(MemberState.STALE))
    assert addresses_for([stale], "north", "n1") == ("a:1",)
    others = [member("b"), member("c")]
    assert addresses_for([stale, *others], "north", "n1") == ("b:1", "c:1")
