"""Frames of the channel between instances."""

from hypothesis import given
from hypothesis import strategies as st

from chervilpitch.errors import FrameError
from chervilpitch.transport import frames

SECRET = b"a secret of the fleet"


@given(st.binary(max_size=2_000))
def test_a_frame_round_trips(payload):
    frame = frames.encode_frame(SECRET, payload)
    header, rest = frame[: frames.HEADER_BYTES], frame[frames.HEADER_BYTES :]
    assert frames.payload_length(header).unwrap() == len(payload)
    assert frames.verify_payload(SECRET, header, rest).unwrap() == payload


@given(st.binary(min_size=1, max_size=200), st.data())
def test_a_changed_frame_is_refused(payload, data):
    frame = bytearray(frames.encode_frame(SECRET, payload))
    position = data.draw(st.integers(4, len(frame) - 1))
    frame[position] ^= data.draw(st.integers(1, 255))
    header, rest = frame[: frames.HEADER_BYTES], bytes(frame[frames.HEADER_BYTES :])
    assert frames.verify_payload(SECRET, bytes(header), rest).is_err()


def test_a_frame_of_another_secret_is_refused():
    frame = frames.encode_frame(SECRET, b"x")
    verified = frames.verify_payload(b"other", frame[: frames.HEADER_BYTES], b"x")
    assert isinstance(verified.unwrap_err(), FrameError)


def test_a_length_over_the_limit_is_refused():
    header = b"\xff" * frames.HEADER_BYTES
    assert frames.payload_length(header).is_err()
