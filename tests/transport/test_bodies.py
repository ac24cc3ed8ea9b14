"""Receipt of callers' request bodies."""

import io

import pytest

from chervilpitch.model import RefusalKind, RunState
from chervilpitch.transport import bodies

LIMIT = 3 * bodies.BUFFER_BYTES


class StalledStream(io.BytesIO):
    """Stream that raises ``TimeoutError`` after its content."""

    def read(self, size=-1):
        content = super().read(size)
        if not content:
            raise TimeoutError
        return content


def test_a_small_body_is_buffered_completely():
    body = bodies.receive_body(io.BytesIO(b"abc"), 3, LIMIT).unwrap()
    assert body.whole == b"abc"


def test_a_large_body_is_streamed_completely():
    content = bytes(bodies.BUFFER_BYTES + 5)
    stream = io.BytesIO(content)
    body = bodies.receive_body(stream, len(content), LIMIT).unwrap()
    assert body.whole is None
    assert b"".join(body.chunks()) == content


def test_a_body_that_stalls_in_its_buffered_start_is_refused_as_not_run():
    refusal = bodies.receive_body(StalledStream(b"ab"), 5, LIMIT).unwrap_err()
    assert (refusal.kind, refusal.run) == (
        RefusalKind.CALLER_STALLED,
        RunState.NOT_RUN,
    )


def test_a_body_shorter_than_declared_is_refused():
    refusal = bodies.receive_body(io.BytesIO(b"ab"), 5, LIMIT).unwrap_err()
    assert refusal.kind is RefusalKind.BAD_REQUEST


@pytest.mark.parametrize("length", [LIMIT + 1, None])
def test_a_body_over_the_limit_is_refused_or_raises(length):
    stream = io.BytesIO(bytes(LIMIT + 1))
    received = bodies.receive_body(stream, length, LIMIT)
    if received.is_err():
        assert received.unwrap_err().kind is RefusalKind.BODY_TOO_LARGE
        return
    with pytest.raises(bodies.CallerStalledError):
        list(received.unwrap().chunks())


def test_a_streamed_body_that_ends_early_raises():
    content = bytes(bodies.BUFFER_BYTES + 5)
    stream = io.BytesIO(content)
    body = bodies.receive_body(stream, len(content) + 1, LIMIT).unwrap()
    with pytest.raises(bodies.CallerStalledError):
        list(body.chunks())
