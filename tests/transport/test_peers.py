"""Streams of frames between instances."""

from hypothesis import given
from hypothesis import strategies as st

from chervilpitch.transport.frames import seal
from chervilpitch.transport.peers import FrameReader

SECRET = b"a secret of the fleet"


@given(st.lists(st.binary(max_size=300), max_size=6), st.integers(1, 100))
def test_payloads_come_whole_and_in_order_however_they_are_cut(payloads, size):
    stream = b"".join(seal(SECRET, payload) for payload in payloads)
    reader = FrameReader(SECRET)
    received = []
    for start in range(0, len(stream), size):
        received.extend(reader.feed(stream[start : start + size]).unwrap())
    assert received == payloads


@given(st.binary(min_size=36, max_size=300))
def test_a_stream_that_is_not_authentic_gives_no_payload(data):
    fed = FrameReader(SECRET).feed(data)
    assert fed.is_err() or fed.unwrap() == ()
