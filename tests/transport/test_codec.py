"""Encoding of the messages between instances."""

import importlib
import inspect
import pathlib
import typing

import capnp
import pytest
from hypothesis import given
from hypothesis import strategies as st

from chervilpitch.errors import FrameError
from chervilpitch.model import Sender
from chervilpitch.transport import codec
from tests.strategies import values_of

PACKAGES = ("accounts", "health", "limits", "membership", "requests", "spread")


def envelope(message):
    return codec.Envelope(Sender("a", 2**63 + 5), "b", 2**60, 3, message)


@pytest.mark.parametrize("name", codec.MESSAGE_TYPES)
def test_every_message_round_trips(name):
    @given(values_of(codec.MESSAGE_TYPES[name]))
    def round_trips(message):
        sent = envelope(message)
        assert codec.decode(codec.encode(sent)).unwrap() == sent

    round_trips()


@pytest.mark.parametrize("package", PACKAGES)
def test_every_message_type_of_a_package_is_coded(package):
    module = importlib.import_module(f"chervilpitch.{package}.messages")
    coded = set(codec.MESSAGE_TYPES.values())
    nested = {
        argument
        for kind in coded
        for hint in typing.get_type_hints(kind).values()
        for argument in typing.get_args(hint)
    }
    declared = {kind for _, kind in inspect.getmembers(module, inspect.isclass)}
    own = {kind for kind in declared if kind.__module__ == module.__name__}
    assert own <= coded | nested


@given(st.binary(max_size=300))
def test_arbitrary_bytes_give_a_typed_error_or_an_envelope(payload):
    decoded = codec.decode(payload)
    assert decoded.is_err() or isinstance(decoded.unwrap(), codec.Envelope)


@given(st.data())
def test_a_truncated_envelope_never_raises(data):
    payload = codec.encode(envelope(codec.MESSAGE_TYPES["claim"](1, 2)))
    codec.decode(payload[: data.draw(st.integers(0, len(payload)))])


@pytest.fixture
def next_schema(tmp_path):
    """Return the schema as a next release may extend it."""
    path = pathlib.Path(codec.__file__).with_name("peers.capnp")
    text = path.read_text()
    text = text.replace("  body :union {", "  body :union {\n    later @21 :Release;")
    text = text.replace("struct Claim {", "struct Claim {\n  reason @2 :Text;")
    newer = tmp_path / "peers.capnp"
    newer.write_text(text)
    return capnp.SchemaParser().load(str(newer))


def next_envelope(next_schema, **body):
    fields = {"version": 2, "sender": "a", "incarnation": 5, "receiver": "b"}
    message = next_schema.Envelope.new_message(**fields, wallNs=1, logical=2, body=body)
    return message.to_bytes_packed()


def test_a_message_type_of_the_next_release_gives_a_frame_error(next_schema):
    payload = next_envelope(next_schema, later={"seat": 3})
    assert isinstance(codec.decode(payload).unwrap_err(), FrameError)


def test_a_field_of_the_next_release_is_ignored(next_schema):
    claim = {"seat": 3, "number": 4, "reason": "later"}
    payload = next_envelope(next_schema, claim=claim)
    message = codec.decode(payload).unwrap().message
    assert message == codec.MESSAGE_TYPES["claim"](3, 4)


def test_the_next_release_decodes_messages_of_this_release(next_schema):
    payload = codec.encode(envelope(codec.MESSAGE_TYPES["claim"](3, 4)))
    decoded = next_schema.Envelope.from_bytes_packed(payload)
    assert (decoded.body.claim.seat, decoded.body.claim.reason) == (3, "")
