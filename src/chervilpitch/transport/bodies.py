"""Bodies of callers' requests, received in bounded memory."""

import collections
from collections.abc import Iterator
from typing import BinaryIO

from result import Err, Ok, Result

from chervilpitch.errors import ChervilpitchError
from chervilpitch.model import Refusal, RefusalKind, RunState

__all__ = ["CallerStalledError", "StreamedBody", "receive_body"]

BUFFER_BYTES = 1_048_576
CHUNK_BYTES = 65_536


class CallerStalledError(ChervilpitchError):
    """A caller's body stalled, ended early or exceeded the size limit."""


class StreamedBody:
    """A body whose start is buffered and whose rest is read while it is forwarded.

    Parameters
    ----------
    start : bytes
        Bytes that were received already.
    rest : file object or None
        Source of the remaining bytes, ``None`` if ``start`` is the whole body.
    length : int or None
        Declared length in bytes, ``None`` for a chunked body.
    limit : int
        Largest accepted size in bytes.
    """

    def __init__(
        self, start: bytes, rest: BinaryIO | None, length: int | None, limit: int
    ):
        self._start = start
        self._rest = rest
        self._length = length
        self._limit = limit

    @property
    def whole(self) -> bytes | None:
        """The whole body if it is buffered, otherwise ``None``."""
        return self._start if self._rest is None else None

    @property
    def buffered(self) -> bytes:
        """The start of the body, which was received already."""
        return self._start

    @property
    def length(self) -> int | None:
        """Declared length in bytes, ``None`` for a chunked body."""
        return self._length

    def chunks(self) -> Iterator[bytes]:
        """Yield the body.

        Raises
        ------
        CallerStalledError
            The body stalled, ended early or exceeded the limit.
        """
        yield self._start
        received = len(self._start)
        while self._rest is not None:
            chunk = _read(self._rest, CHUNK_BYTES)
            received += len(chunk)
            if received > self._limit:
                raise CallerStalledError("the request body is larger than the limit")
            if not chunk:
                self._check_end(received)
                _read_trailers(self._rest)
                return
            yield chunk

    def _check_end(self, received):
        if self._length is not None and received != self._length:
            raise CallerStalledError(
                "the request body does not have its declared length"
            )


def receive_body(
    stream: BinaryIO, length: int | None, limit: int
) -> Result[StreamedBody, Refusal]:
    """Receive the start of a body, before an upstream slot is reserved.

    Parameters
    ----------
    stream : file object
        Source of the caller's bytes.
    length : int or None
        Declared length in bytes, ``None`` for a chunked body.
    limit : int
        Largest accepted size in bytes.

    Returns
    -------
    Result
        The body, or a refusal with run state ``not-run``.
    """
    if length is not None and length > limit:
        return Err(Refusal(RefusalKind.BODY_TOO_LARGE, RunState.NOT_RUN))
    try:
        start = _read(stream, BUFFER_BYTES)
    except CallerStalledError:
        return Err(Refusal(RefusalKind.CALLER_STALLED, RunState.NOT_RUN))
    if len(start) == BUFFER_BYTES and length != BUFFER_BYTES:
        return Ok(StreamedBody(start, stream, length, limit))
    if length is not None and len(start) != length:
        return Err(Refusal(RefusalKind.BAD_REQUEST, RunState.NOT_RUN))
    if len(start) > limit:
        return Err(Refusal(RefusalKind.BODY_TOO_LARGE, RunState.NOT_RUN))
    _read_trailers(stream)
    return Ok(StreamedBody(start, None, length, limit))


def _read_trailers(stream):
    """Read the trailers of a chunked body, so that the connection can be reused."""
    if hasattr(stream, "read_trailer_lines"):
        collections.deque(stream.read_trailer_lines(), maxlen=0)


def _read(stream, size):
    received = b""
    try:
        while len(received) < size and (chunk := stream.read(size - len(received))):
            received += chunk
    except (OSError, ValueError) as error:
        raise CallerStalledError(type(error).__name__) from error
    return received
