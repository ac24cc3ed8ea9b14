"""Exchange of the store's state and of heartbeats between instances."""

from chervilpitch.gateway.codec import Datagram, decode, encode
from chervilpitch.gateway.gossip import Gossip
from chervilpitch.gateway.messages import StateAnswer, StateQuestion
from chervilpitch.model import StoreItem
from chervilpitch.platform import CONFIGURATION_KEY, ENTRY_PREFIX
from standins.target import FakeTarget

from .harness import SERVICE, configuration, encode_json, new_state

PROOF_AGE_S = 60.0


class FakeNetwork:
    """In-memory network that delivers datagrams at once, on a manual clock."""

    def __init__(self, know_each_other=True):
        self.now_s = 100.0
        self.gossips = {}
        self._know_each_other = know_each_other

    def add_instance(self, name, seeds=()):
        state = new_state(name, lambda: self.now_s)
        gossip = Gossip(state, seeds, lambda: self.now_s)
        gossip.socket.send = lambda addresses, message: self.send(
            name, addresses, message
        )
        self.gossips[name] = gossip
        for other in self.gossips.values() if self._know_each_other else ():
            members = [item._members.own for item in self.gossips.values()]
            other._members.merge(members, self.now_s)
        return gossip, state

    def send(self, sender, addresses, message):
        for address in addresses:
            if address not in self.gossips:
                continue
            content = encode(Datagram(sender, 1, message))
            self.gossips[address].receive(decode(content).unwrap(), sender)
        return True


def entry_item(name, revision, **fields):
    target = FakeTarget(name)
    target.address = f"127.0.0.1:{9000 + revision}"
    content = encode_json(target.entry(SERVICE, "n1", **fields))
    return StoreItem(ENTRY_PREFIX + name, content, revision)


def reader_and_requester():
    network = FakeNetwork()
    reader, reader_state = network.add_instance("reader")
    requester, requester_state = network.add_instance("asker")
    return network, reader_state, requester, requester_state


def request_state(network, requester):
    network.now_s += 0.3
    requester.request_state()


def test_state_read_by_one_instance_reaches_another():
    network, reader_state, requester, requester_state = reader_and_requester()
    reader_state.apply_entry_items((entry_item("t1", 5),), 5, True)
    item = StoreItem(CONFIGURATION_KEY, encode_json(configuration(3)), 6)
    reader_state.apply_configuration_items((item,), network.now_s)
    request_state(network, requester)
    assert requester_state.configuration.version == 3
    assert requester_state.upstreams.count(SERVICE) == 1
    assert requester_state.freshness.age_s(network.now_s) < 0.5


def test_entry_change_missed_by_a_watch_reaches_other_instances():
    network, reader_state, requester, requester_state = reader_and_requester()
    reader_state.apply_entry_items((entry_item("t1", 5),), 5, True)
    request_state(network, requester)
    reader_state.apply_entry_items((), 50, False)
    request_state(network, requester)
    draining = entry_item("t1", 20, state="draining", sequence=2)
    reader_state.apply_entry_items((draining,), 60, True)
    request_state(network, requester)
    request_state(network, requester)
    assert requester_state.upstreams.get("t1").entry.is_draining


def test_configuration_missed_by_a_watch_reaches_other_instances():
    network, reader_state, requester, requester_state = reader_and_requester()
    first = StoreItem(CONFIGURATION_KEY, encode_json(configuration(3)), 6)
    reader_state.apply_configuration_items((first,), network.now_s)
    request_state(network, requester)
    missed = StoreItem(CONFIGURATION_KEY, encode_json(configuration(4)), 20)
    reader_state.apply_configuration_items((), network.now_s)
    request_state(network, requester)
    reader_state.apply_configuration_items((missed,), network.now_s)
    request_state(network, requester)
    assert requester_state.configuration.version == 4


def test_removal_of_an_entry_reaches_other_instances():
    network, reader_state, requester, requester_state = reader_and_requester()
    reader_state.apply_entry_items((entry_item("t1", 5), entry_item("t2", 6)), 6, True)
    request_state(network, requester)
    removed = StoreItem(ENTRY_PREFIX + "t1", b"", 9, True)
    reader_state.apply_entry_items((removed,), 9, False)
    request_state(network, requester)
    assert requester_state.upstreams.get("t1") is None
    assert requester_state.upstreams.get("t2") is not None


def test_messages_are_unchanged_by_encoding_and_decoding():
    item = StoreItem("k", b"\x00\xff", 3, True)
    answer = StateAnswer(1, 0.5, 2, (item,), 3, (item,), True, 77)
    for message in (answer, StateQuestion(1, 2, 3)):
        assert decode(encode(Datagram("a", 1, message))).unwrap().message == message


def test_malformed_datagram_is_a_decoding_error():
    for payload in (b"", b"\x00", b"\x01abc", b"\x00garbage!", b"\x07\x00"):
        assert decode(payload).is_err()


def test_instances_started_together_know_each_other_within_600_ms():
    network = FakeNetwork(know_each_other=False)
    names = [f"n{number}" for number in range(12)]
    gossips = [
        network.add_instance(name, seeds=("n0", "n5", "gone"))[0] for name in names
    ]
    for _ in range(6):
        network.now_s += 0.1
        for gossip in gossips:
            gossip.send_heartbeat()
    for gossip in gossips:
        assert len(gossip._members.live(network.now_s)) == len(names) - 1


def test_restarted_instance_is_not_ready_with_state_of_an_outdated_peer():
    network, reader_state, requester, requester_state = reader_and_requester()
    item = StoreItem(CONFIGURATION_KEY, encode_json(configuration(3)), 6)
    reader_state.apply_configuration_items((item,), network.now_s - PROOF_AGE_S)
    request_state(network, requester)
    assert requester_state.configuration.version == 3
    assert not requester_state.is_ready()
    assert not requester_state.freshness.may_use_keys(network.now_s)


def test_upstream_that_left_stays_unlisted_after_a_late_older_answer():
    """An instance that has just started holds no tombstone of the upstream."""
    network, reader_state, requester, requester_state = reader_and_requester()
    outdated, outdated_state = network.add_instance("outdated")
    known = (entry_item("t1", 5), entry_item("t2", 6))
    for state in (reader_state, outdated_state):
        state.apply_entry_items(known, 6, True)
    removed = StoreItem(ENTRY_PREFIX + "t1", b"", 9, True)
    reader_state.apply_entry_items((removed,), 9, False)
    questions = []
    requester.socket.send = lambda addresses, message: questions.append(message)
    requester._states._ask(reader_state.members.own, False, network.now_s)
    requester._states._ask(outdated_state.members.own, False, network.now_s)
    for gossip, question in zip(
        (network.gossips["reader"], outdated), questions, strict=True
    ):
        gossip.receive(Datagram("asker", 1, question), "asker")
    assert requester_state.upstreams.get("t2") is not None
    assert requester_state.upstreams.get("t1") is None
