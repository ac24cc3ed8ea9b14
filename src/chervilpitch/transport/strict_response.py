"""Parsing of upstreams' responses that refuses cut lines and skips interim ones."""

import http.client
import io

__all__ = ["StrictResponse"]

MAX_INTERIM_RESPONSES = 20
INTERIM_STATUSES = range(102, 200)
"""Statuses announced before a response, but for 100, which the parent class skips."""


class WholeLineReader(io.BufferedReader):
    """Reader whose lines are whole.

    Notes
    -----
    The standard library takes the end of the connection for the end of the line
    and of the head, so that a response that is cut there would seem whole.
    """

    def __init__(self, raw: io.RawIOBase):
        super().__init__(raw)
        self._has_begun = False

    def readline(self, size: int | None = -1) -> bytes:
        """Return the next line, or the ``size`` bytes with which it begins.

        The first line may be empty, if the connection was closed without a response.

        Raises
        ------
        http.client.IncompleteRead
            The connection ended before the line did.
        """
        line = super().readline(size)
        is_limited = size is not None and 0 <= size <= len(line)
        is_missing = not line and not self._has_begun
        if not line.endswith(b"\n") and not is_limited and not is_missing:
            raise http.client.IncompleteRead(line)
        self._has_begun = True
        return line


class StrictResponse(http.client.HTTPResponse):
    """Response whose head, chunk sizes and trailers consist of whole lines."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.fp = WholeLineReader(self.fp.detach())

    def begin(self) -> None:
        """Read the head of the final response.

        Raises
        ------
        http.client.HTTPException
            The head is cut or malformed, or too many interim responses precede it.
        """
        super().begin()
        interim_count = 0
        while self.status in INTERIM_STATUSES:
            interim_count += 1
            if interim_count > MAX_INTERIM_RESPONSES:
                raise http.client.HTTPException("too many interim responses")
            self.headers = None
            super().begin()
