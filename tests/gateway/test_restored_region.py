"""Exchange of the state of a store that came back from an older copy."""

from chervilpitch.gateway import codec
from chervilpitch.gateway.codec import decode
from chervilpitch.gateway.messages import UNSTATED_ERA, StateAnswer, StateQuestion
from chervilpitch.model import StoreItem
from chervilpitch.platform import CONFIGURATION_KEY, ENTRY_PREFIX

from .harness import SERVICE, configuration, encode_json
from .region_simulation import RegionSimulation
from .test_gossip import FakeNetwork, entry_item, reader_and_requester, request_state


def configuration_item(version, revision):
    content = encode_json(configuration(version))
    return StoreItem(CONFIGURATION_KEY, content, revision)


def apply_version(state, version, revision, proved_at_s):
    item = configuration_item(version, revision)
    state.apply_configuration_items((item,), proved_at_s)


def names(state):
    return {item.key.removeprefix(ENTRY_PREFIX) for item in state.entry_items.items}


def test_instance_of_an_earlier_era_is_brought_to_the_later_one():
    network, reader_state, requester, requester_state = reader_and_requester()
    known = (entry_item("t1", 30), entry_item("t2", 31))
    for state in (reader_state, requester_state):
        state.apply_entry_items(known, 40, True, 1)
    draining = entry_item("t1", 8, state="draining", sequence=2)
    reader_state.apply_entry_items((draining, entry_item("t3", 9)), 9, True, 2)
    request_state(network, requester)
    assert (requester_state.store_era, requester_state.entry_items.revision) == (2, 9)
    assert names(requester_state) == {"t1", "t3"}
    assert requester_state.upstreams.get("t1").entry.is_draining
    assert requester_state.upstreams.get("t3") is not None


def test_instance_of_an_earlier_era_drags_no_other_back():
    network, reader_state, requester, requester_state = reader_and_requester()
    reader_state.apply_entry_items((entry_item("t1", 30),), 40, True, 1)
    requester_state.apply_entry_items((entry_item("t2", 9),), 9, True, 2)
    for _ in range(3):
        request_state(network, requester)
    assert requester_state.entry_items.era == 2
    assert names(requester_state) == {"t2"}


def test_changes_within_the_later_era_follow_its_list():
    network, reader_state, requester, requester_state = reader_and_requester()
    reader_state.apply_entry_items((entry_item("t1", 30),), 40, True, 1)
    request_state(network, requester)
    reader_state.apply_entry_items((entry_item("t1", 8),), 9, True, 2)
    request_state(network, requester)
    reader_state.apply_entry_items((entry_item("t2", 10),), 10, False, 2)
    request_state(network, requester)
    assert names(requester_state) == {"t1", "t2"}
    assert requester_state.entry_items.revision == 10


def test_newer_version_at_a_lower_revision_reaches_other_instances():
    network, reader_state, requester, requester_state = reader_and_requester()
    apply_version(reader_state, 14, 40, network.now_s)
    request_state(network, requester)
    apply_version(reader_state, 16, 39, network.now_s)
    request_state(network, requester)
    assert requester_state.configuration.version == 16


def test_proof_of_an_older_version_is_none_for_a_newer_one():
    network, reader_state, requester, requester_state = reader_and_requester()
    apply_version(requester_state, 14, 40, network.now_s)
    network.now_s += 5.0
    apply_version(reader_state, 7, 38, network.now_s)
    request_state(network, requester)
    assert requester_state.configuration.version == 14
    assert requester_state.freshness.age_s(network.now_s) > 5.0


def test_newest_configuration_passes_one_that_cannot_be_decoded():
    network, reader_state, requester, requester_state = reader_and_requester()
    apply_version(reader_state, 3, 6, network.now_s)
    malformed = StoreItem(CONFIGURATION_KEY, b'{"version": 9}garbage', 7)
    reader_state.apply_configuration_items((malformed,), network.now_s)
    request_state(network, requester)
    assert requester_state.configuration.version == 3
    apply_version(reader_state, 4, 5, network.now_s)
    request_state(network, requester)
    assert requester_state.configuration.version == 4


def test_instance_asks_an_aggregator_of_each_era_and_stays_in_the_later_one():
    network = FakeNetwork()
    _, early_state = network.add_instance("early")
    _, late_state = network.add_instance("late")
    requester, state = network.add_instance("asker")
    early_state.apply_entry_items((entry_item("t1", 30),), 40, True, 1)
    late_state.apply_entry_items((entry_item("t2", 8),), 9, True, 2)
    for other in (early_state, late_state, early_state, late_state):
        requester._states._ask(other.members.own, False, network.now_s)
    assert state.entry_items.era == 2
    assert names(state) == {"t2"}


def test_instance_that_starts_in_a_later_era_takes_its_list_for_no_copy():
    network, reader_state, requester, requester_state = reader_and_requester()
    reader_state.apply_entry_items((entry_item("t1", 8),), 9, True, 2)
    request_state(network, requester)
    assert requester_state.entry_items.copied_until == 0
    assert requester_state.upstreams.count(SERVICE) == 1


def without_new_fields(message):
    if isinstance(message, StateQuestion | StateAnswer):
        return message._replace(entries_era=UNSTATED_ERA, configuration_version=0)
    return message


def test_messages_of_a_build_without_eras_still_carry_the_state():
    network, reader_state, requester, requester_state = reader_and_requester()
    for name, gossip in network.gossips.items():
        gossip.socket.send = lambda addresses, message, name=name: network.send(
            name, addresses, without_new_fields(message)
        )
    reader_state.apply_entry_items((entry_item("t1", 5),), 5, True, 1)
    apply_version(reader_state, 3, 6, network.now_s)
    request_state(network, requester)
    reader_state.apply_entry_items((entry_item("t2", 7),), 7, False, 1)
    apply_version(reader_state, 4, 8, network.now_s)
    request_state(network, requester)
    assert requester_state.configuration.version == 4
    assert names(requester_state) == {"t1", "t2"}
    assert requester_state.freshness.age_s(network.now_s) < 0.5


def test_fields_that_an_earlier_build_does_not_send_are_unstated():
    content = codec.SCHEMA.Envelope.new_message(
        version=codec.VERSION, sender="a", incarnation=5, body={"stateQuestion": {}}
    )
    payload = codec.UNCOMPRESSED + content.to_bytes_packed()
    question = decode(payload).unwrap().message
    assert question.entries_era == UNSTATED_ERA
    assert question.configuration_version == 0


def test_upstream_missing_after_a_short_outage_is_kept_for_its_grace_only():
    network, reader_state, *_ = reader_and_requester()
    both = (entry_item("t1", 30), entry_item("t2", 31))
    reader_state.apply_entry_items(both, 40, True, 1)
    apply_version(reader_state, 1, 2, network.now_s)
    network.now_s += 1.0
    reader_state.apply_entry_items((entry_item("t1", 8),), 9, True, 2)
    network.now_s += 2.0
    reader_state.remove_missing_upstreams()
    assert reader_state.upstreams.get("t2") is not None
    network.now_s += 0.3
    reader_state.remove_missing_upstreams()
    assert reader_state.upstreams.get("t2") is None


def test_late_proof_does_not_prolong_the_grace_of_missing_upstreams():
    network, reader_state, *_ = reader_and_requester()
    reader_state.apply_entry_items((entry_item("t2", 31),), 40, True, 1)
    apply_version(reader_state, 1, 2, network.now_s)
    network.now_s += 2.0
    reader_state.apply_entry_items((), 9, True, 2)
    network.now_s += 2.1
    apply_version(reader_state, 1, 2, network.now_s)
    network.now_s += 0.2
    reader_state.remove_missing_upstreams()
    assert reader_state.upstreams.get("t2") is None


def test_region_follows_its_readers_through_two_restorations():
    region = RegionSimulation(12, seed=7)
    region.run(4.0)
    for era, revision, version in ((1, 40, 3), (2, 20, 4), (3, 20, 5)):
        item = configuration_item(version, revision)
        entries = (entry_item(f"t{era}", revision),)
        for name in region.readers():
            state = region.states[name]
            state.apply_entry_items(entries, revision, True, era)
            state.apply_configuration_items((item,), region.now_s, True)
        region.run(2.0)
        for state in region.states.values():
            assert state.configuration.version == version
            assert state.entry_items.era == era
            assert names(state) == {f"t{era}"}


def test_version_written_again_before_a_second_restoration_may_be_a_copy():
    """The revision in force is that of the first era, and the copy has another."""
    network, state, *_ = reader_and_requester()
    started_at_s = network.now_s
    state.observe_era(1)
    apply_version(state, 14, 40, started_at_s)
    state.observe_era(2)
    apply_version(state, 14, 39, started_at_s + 1.0)
    assert state.freshness.age_s(started_at_s + 1.0) == 0.0
    state.observe_era(3)
    apply_version(state, 14, 39, started_at_s + 2.0)
    assert state.freshness.age_s(started_at_s + 2.0) == 1.0
    network.now_s += 2.0
    apply_version(state, 14, 39, started_at_s + 2.0)
    assert state.freshness.age_s(started_at_s + 2.0) == 0.0


def test_entries_of_a_build_without_eras_are_ignored_after_a_restoration():
    """Their revisions may be those of the earlier era and would hide later changes."""
    network, reader_state, requester, requester_state = reader_and_requester()
    for name, gossip in network.gossips.items():
        gossip.socket.send = lambda addresses, message, name=name: network.send(
            name, addresses, without_new_fields(message)
        )
    known = (entry_item("t1", 30), entry_item("t2", 31))
    for state in (reader_state, requester_state):
        state.apply_entry_items(known, 40, True, 1)
    requester_state.apply_entry_items((entry_item("t1", 8),), 9, True, 2)
    requester._states._needs_all_entries = True
    request_state(network, requester)
    assert requester_state.entry_items.revision == 9
    draining = entry_item("t1", 12, state="draining", sequence=2)
    requester_state.apply_entry_items((draining,), 12, False, 2)
    assert requester_state.upstreams.get("t1").entry.is_draining
