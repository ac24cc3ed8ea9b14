"""Streams of frames between instances."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from chervilpitch.accounts import RevisionQuestion
from chervilpitch.model import Sender
from chervilpitch.transport.codec import Envelope
from chervilpitch.transport.frames import encode_frame
from chervilpitch.transport.peers import RECONNECT_S, FrameReader, PeersChannel

SECRET = b"a secret of the fleet"


@given(st.lists(st.binary(max_size=300), max_size=6), st.integers(1, 100))
def test_payloads_come_whole_and_in_order_however_they_are_cut(payloads, size):
    stream = b"".join(encode_frame(SECRET, payload) for payload in payloads)
    reader = FrameReader(SECRET)
    received = []
    for start in range(0, len(stream), size):
        received.extend(reader.feed(stream[start : start + size]).unwrap())
    assert received == payloads


@given(st.binary(min_size=36, max_size=300))
def test_a_stream_that_is_not_authentic_gives_no_payload(data):
    fed = FrameReader(SECRET).feed(data)
    assert fed.is_err() or fed.unwrap() == ()


def test_a_peer_that_closes_every_connection_is_not_pressed():
    accepted = []

    def close_at_once(reader, writer):
        accepted.append(1)
        writer.close()

    async def run():
        server = await asyncio.start_server(close_at_once, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        channel = PeersChannel(SECRET, "a", lambda envelope: None)
        message = RevisionQuestion(1)
        channel.send(f"127.0.0.1:{port}", Envelope(Sender("a", 1), "b", 1, 0, message))
        await asyncio.sleep(2 * RECONNECT_S)
        await channel.close()
        server.close()

    asyncio.run(run())
    assert 1 <= len(accepted) <= 4
