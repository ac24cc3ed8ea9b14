"""The view under list lag, replacement, one-way connectivity and pauses."""

from chervilpitch.membership import (
    Announcement,
    Condition,
    Hello,
    instance_statuses,
    instances,
    is_current,
    neighbours,
    receive,
    snapshot,
    tick,
    view_age_s,
)
from chervilpitch.model import InstanceState, Send, Sender
from tests.membership.fleet import Fleet, instance


def condition(fleet, observer, name):
    seen = instance_statuses(fleet.state_of(observer), fleet.now_s)
    return seen[name].condition if name in seen else Condition.GONE


def conditions(fleet, name):
    return {
        condition(fleet, observer, name)
        for observer, incarnation in fleet.states
        if observer != name and (observer, incarnation) not in fleet.stopped
    }


def running_fleet(size=12):
    fleet = Fleet(size)
    fleet.run(5)
    return fleet


def test_neighbours_are_bounded_and_symmetric():
    fleet = {f"i{n}": instance(n) for n in range(300)}
    near = {name: neighbours(name, fleet) for name in fleet}
    assert max(map(len, near.values())) <= 18
    assert all(a in near[b] for a in near for b in near[a])


def test_all_instances_are_live_and_heard_in_both_directions():
    fleet = running_fleet()
    for state in fleet.states.values():
        assert all(s.two_way for s in instance_statuses(state, fleet.now_s).values())


def test_a_killed_instance_is_suspect_everywhere_though_listed():
    fleet = running_fleet(36)
    fleet.stop("i7")
    fleet.run(10)
    assert conditions(fleet, "i7") == {Condition.SUSPECT}


def test_a_leaving_instance_is_leaving_everywhere_though_listed_live():
    fleet = running_fleet(36)
    fleet.leave("i7")
    fleet.run(6)
    assert conditions(fleet, "i7") == {Condition.LEAVING}
    seen = instances(fleet.state_of("i0"), fleet.now_s)["i7"]
    assert seen.state is InstanceState.LEAVING


def test_a_leaving_instance_that_stopped_stays_gone_for_its_neighbours():
    fleet = running_fleet()
    fleet.leave("i7")
    fleet.run(5)
    fleet.stop("i7")
    for _ in range(8):
        fleet.run(10)
        assert Condition.LIVE not in conditions(fleet, "i7")
    assert condition(fleet, "i1", "i7") is Condition.GONE


def test_a_replacement_missing_from_the_list_is_used():
    fleet = running_fleet(36)
    fleet.stop("i7")
    fleet.start(instance(7, "new"), incarnation=9)
    fleet.run(8)
    assert conditions(fleet, "new") == {Condition.LIVE}


def test_delayed_messages_of_the_old_process_do_not_affect_its_replacement():
    fleet = running_fleet()
    links_from_i7 = {(("i7"), name) for name in fleet.listed}
    fleet.blocked_links = links_from_i7
    fleet.leave("i7")
    fleet.run(3)
    fleet.stop("i7")
    fleet.blocked_links = set()
    fleet.start(instance(7), incarnation=9)
    fleet.run(5)
    fleet.deliver_delayed()
    fleet.run(2)
    assert conditions(fleet, "i7") == {Condition.LIVE}


def test_heartbeat_size_is_bounded_with_many_announcements():
    state = running_fleet(36).state_of("i0")
    news = [
        Announcement(f"n{n}", n, n, "punjab/a", "a:1", "a:2", True, 0, 1)
        for n in range(300)
    ]
    hello = Hello("x", 99, "punjab/a", "a:1", "a:2", False, 0, 1, 1, 0, 0, tuple(news))
    receive(state, hello, Sender("x", 5), 6.0)
    for second in range(7, 20):
        sent = [e.message for e in tick(state, float(second)) if isinstance(e, Send)]
        assert all(len(message.announcements) <= 4 for message in sent)


def test_a_repeated_heartbeat_is_ignored():
    fleet = running_fleet()
    state = fleet.state_of("i0")
    hello = Hello("x", 99, "punjab/a", "a:1", "a:2", False, 0, 1, 5, 0, 0)
    receive(state, hello, Sender("x", 5), fleet.now_s)
    heard_at_s = state.evidence.by_name["x"][5].heard_at_s
    fleet.run(2)
    receive(state, hello, Sender("x", 5), fleet.now_s)
    assert state.evidence.by_name["x"][5].heard_at_s == heard_at_s


def test_a_heartbeat_under_a_false_name_is_rejected():
    fleet = running_fleet()
    state = fleet.state_of("i0")
    hello = Hello("i3", 3, "punjab/a", "a:1", "a:2", True, 0, 9, 99, 0, 0)
    (effect,) = receive(state, hello, Sender("i5", 1_005), fleet.now_s)
    assert effect.event.name == "hello-refused"
    assert condition(fleet, "i0", "i3") is Condition.LIVE


def test_another_process_with_the_same_name_is_reported():
    fleet = running_fleet()
    hello = Hello("i0", 0, "punjab/a", "a:1", "a:2", False, 0, 1, 1, 0, 0)
    (effect,) = receive(fleet.state_of("i0"), hello, Sender("i0", 4), fleet.now_s)
    assert effect.event.name == "own-name-taken"


def test_one_way_connectivity_is_distinguished():
    fleet = running_fleet()
    near, other, *_ = sorted(fleet.state_of("i0").expected_since_s)
    fleet.blocked_links = {("i0", near)}
    fleet.run(6)
    seen = instance_statuses(fleet.state_of("i0"), fleet.now_s)[near]
    assert (seen.condition, seen.two_way) == (Condition.LIVE, False)
    assert condition(fleet, near, "i0") is Condition.SUSPECT
    assert condition(fleet, other, "i0") is Condition.LIVE


def test_instances_that_receive_no_heartbeats_report_nobody():
    fleet = running_fleet()
    isolated = ("i0", "i1")
    fleet.blocked_links = {(name, other) for name in fleet.listed for other in isolated}
    fleet.run(30)
    for name in set(fleet.listed) - set(isolated):
        for other in set(fleet.listed) - {name}:
            assert condition(fleet, name, other) is Condition.LIVE
    assert conditions(fleet, "i7") == {Condition.LIVE, Condition.SUSPECT}


def test_a_pause_makes_the_view_stale_until_something_confirms_it():
    fleet = running_fleet()
    state = fleet.state_of("i0")
    assert is_current(state, fleet.now_s)
    assert not is_current(state, fleet.now_s + 60)
    tick(state, fleet.now_s + 60)
    assert not is_current(state, fleet.now_s + 60)
    assert view_age_s(state, fleet.now_s + 60) >= 60


def test_resuming_after_a_pause_does_not_make_everyone_suspect():
    fleet = running_fleet()
    key = fleet.key_of("i0")
    fleet.stopped.add(key)
    fleet.run(60)
    fleet.stopped.remove(key)
    fleet.events.clear()
    fleet.run(1)
    assert "instance-suspect" not in {event.name for event in fleet.events}
    assert {s["condition"] for s in snapshot(fleet.state_of("i0"), fleet.now_s)} == {
        "live"
    }


def test_a_delisted_instance_is_gone_unless_heard():
    fleet = running_fleet()
    fleet.stop("i7")
    kept = {n: i for n, i in fleet.listed.items() if n not in ("i7", "i8")}
    fleet.publish(kept)
    fleet.run(6)
    assert conditions(fleet, "i7") <= {Condition.GONE, Condition.SUSPECT}
    assert conditions(fleet, "i8") == {Condition.LIVE}


def test_an_instance_listed_as_leaving_is_leaving_though_it_does_not_know():
    fleet = running_fleet()
    leaving = fleet.listed["i7"]._replace(state=InstanceState.LEAVING)
    fleet.publish(fleet.listed | {"i7": leaving})
    assert conditions(fleet, "i7") == {Condition.LEAVING}
