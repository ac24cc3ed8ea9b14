"""Refusal of headers that parsers may interpret differently."""

import io

import pytest

from chervilpitch.transport.callers import StrictHeaderReader

REFUSED = [
    b"Content-Length: 3\r\nContent-Length: 4\r\n\r\n",
    b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"Host: a\r\nHost: b\r\n\r\n",
    b"Content-Length : 3\r\n\r\n",
    b"Accept: a\r\n folded\r\n\r\n",
    b"no colon\r\n\r\n",
]


@pytest.mark.parametrize("lines", REFUSED)
def test_ambiguous_headers_are_refused(lines):
    with pytest.raises(ValueError):
        StrictHeaderReader()(io.BytesIO(lines))


def test_unambiguous_headers_are_read():
    headers = StrictHeaderReader()(io.BytesIO(b"Host: a\r\nAccept: b\r\n\r\n"))
    assert headers == {b"Host": b"a", b"Accept": b"b"}
