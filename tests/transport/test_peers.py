"""Frame streams and connections between instances."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from chervilpitch.accounts import RevisionQuestion
from chervilpitch.model import Sender
from chervilpitch.transport.codec import Envelope
from chervilpitch.transport.frames import encode_frame
from chervilpitch.transport.peers import RECONNECT_DELAY_S, FrameReader, PeersChannel

SECRET = b"a secret of the fleet"


@given(st.lists(st.binary(max_size=300), max_size=6), st.integers(1, 100))
def test_payloads_are_complete_and_in_order_for_any_chunk_size(payloads, size):
    stream = b"".join(encode_frame(SECRET, payload) for payload in payloads)
    reader = FrameReader(SECRET)
    received = []
    for start in range(0, len(stream), size):
        received.extend(reader.feed(stream[start : start + size]).unwrap())
    assert received == payloads


@given(st.binary(min_size=36, max_size=300))
def test_an_unauthenticated_stream_gives_no_payload(data):
    result = FrameReader(SECRET).feed(data)
    assert result.is_err() or result.unwrap() == ()


def test_reconnects_are_delayed_if_the_peer_closes_every_connection():
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
        await asyncio.sleep(2 * RECONNECT_DELAY_S)
        await channel.close()
        server.close()

    asyncio.run(run())
    assert 1 <= len(accepted) <= 4
