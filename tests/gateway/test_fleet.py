"""What instances tell each other when one of them has missed a change."""

from chervilpitch.gateway.codec import Datagram, decode, encode
from chervilpitch.gateway.fleet import Fleet
from chervilpitch.gateway.messages import StateAnswer, StateQuestion
from chervilpitch.model import StoreItem
from chervilpitch.platform import CONFIGURATION_KEY, ENTRY_PREFIX
from standins.target import TargetStandin

from .scene import SERVICE, configuration, encoded, state_of


class Wire:
    """Datagrams between instances, delivered when told to."""

    def __init__(self, knows_all=True):
        self.now_s = 100.0
        self.fleets = {}
        self._knows_all = knows_all

    def add(self, name, seeds=()):
        state = state_of(name, lambda: self.now_s)
        fleet = Fleet(state, seeds, lambda: self.now_s)
        fleet.socket.send = lambda addresses, message: self.send(
            name, addresses, message
        )
        self.fleets[name] = fleet
        for other in self.fleets.values() if self._knows_all else ():
            members = [item._members.own for item in self.fleets.values()]
            other._members.merge(members, self.now_s)
        return fleet, state

    def send(self, sender, addresses, message):
        for address in addresses:
            if address not in self.fleets:
                continue
            content = encode(Datagram(sender, 1, message))
            self.fleets[address].receive(decode(content).unwrap(), sender)
        return True


def entry_item(name, revision, **fields):
    target = TargetStandin(name)
    target.address = f"127.0.0.1:{9000 + revision}"
    content = encoded(target.entry(SERVICE, "n1", **fields))
    return StoreItem(ENTRY_PREFIX + name, content, revision)


def pair():
    wire = Wire()
    reader, reader_state = wire.add("reader")
    asker, asker_state = wire.add("asker")
    return wire, reader_state, asker, asker_state


def ask(wire, asker):
    wire.now_s += 0.3
    asker.ask()


def test_an_instance_follows_another_that_reads():
    wire, read, asker, followed = pair()
    read.take_entry_items((entry_item("t1", 5),), 5, True)
    item = StoreItem(CONFIGURATION_KEY, encoded(configuration(3)), 6)
    read.take_configuration_items((item,), wire.now_s)
    ask(wire, asker)
    assert followed.configuration.version == 3
    assert followed.upstreams.count(SERVICE) == 1
    assert followed.freshness.age_s(wire.now_s) < 0.5


def test_a_change_that_a_deaf_watch_missed_reaches_the_others():
    wire, read, asker, followed = pair()
    read.take_entry_items((entry_item("t1", 5),), 5, True)
    ask(wire, asker)
    read.take_entry_items((), 50, False)
    ask(wire, asker)
    draining = entry_item("t1", 20, state="draining", sequence=2)
    read.take_entry_items((draining,), 60, True)
    ask(wire, asker)
    ask(wire, asker)
    assert followed.upstreams.get("t1").entry.is_draining


def test_a_configuration_that_a_deaf_watch_missed_reaches_the_others():
    wire, read, asker, followed = pair()
    first = StoreItem(CONFIGURATION_KEY, encoded(configuration(3)), 6)
    read.take_configuration_items((first,), wire.now_s)
    ask(wire, asker)
    missed = StoreItem(CONFIGURATION_KEY, encoded(configuration(4)), 20)
    read.take_configuration_items((), wire.now_s)
    ask(wire, asker)
    read.take_configuration_items((missed,), wire.now_s)
    ask(wire, asker)
    assert followed.configuration.version == 4


def test_a_removal_reaches_the_others():
    wire, read, asker, followed = pair()
    read.take_entry_items((entry_item("t1", 5), entry_item("t2", 6)), 6, True)
    ask(wire, asker)
    removed = StoreItem(ENTRY_PREFIX + "t1", b"", 9, True)
    read.take_entry_items((removed,), 9, False)
    ask(wire, asker)
    assert followed.upstreams.get("t1") is None
    assert followed.upstreams.get("t2") is not None


def test_messages_survive_their_coding():
    item = StoreItem("k", b"\x00\xff", 3, True)
    answer = StateAnswer(1, 0.5, 2, (item,), 3, (item,), True, 77)
    for message in (answer, StateQuestion(1, 2, 3)):
        assert decode(encode(Datagram("a", 1, message))).unwrap().message == message


def test_bytes_that_are_no_message_are_an_error():
    for payload in (b"", b"\x00", b"\x01abc", b"\x00garbage!", b"\x07\x00"):
        assert decode(payload).is_err()


def test_instances_that_start_together_find_each_other_within_600_ms():
    wire = Wire(knows_all=False)
    names = [f"n{number}" for number in range(12)]
    fleets = [wire.add(name, seeds=("n0", "n5", "gone"))[0] for name in names]
    for _ in range(6):
        wire.now_s += 0.1
        for fleet in fleets:
            fleet.beat()
    for fleet in fleets:
        assert len(fleet._members.in_region(wire.now_s)) == len(names) - 1
