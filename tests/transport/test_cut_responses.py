"""A response of an upstream that is cut at any byte never counts as whole."""

import asyncio
import concurrent.futures
import threading

import pytest

from chervilpitch.transport.upstreams import (
    TruncatedAnswerError,
    UpstreamClient,
    UpstreamRequest,
)
from standins.cut_response import (
    BODY,
    CUT_HEADER,
    Framing,
    ResponseCut,
    build_response,
)
from standins.target import Behaviour, FakeTarget

TIMEOUT_S = 2.0
THREADS = 8
REQUEST_ID = "id-1"
CASES = [
    (framing, method)
    for framing in Framing
    for method in ("GET", "HEAD", "POST")
    if method == "GET" or framing in (Framing.LENGTH, Framing.CHUNKED)
]


@pytest.fixture(scope="module")
def target():
    """An upstream that runs in a thread of its own."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    upstream = FakeTarget("t1", Behaviour.CUT)
    asyncio.run_coroutine_threadsafe(upstream.start(), loop).result()
    yield upstream
    asyncio.run_coroutine_threadsafe(stop(upstream), loop).result()
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


async def stop(upstream):
    upstream.stop()
    connections = asyncio.all_tasks() - {asyncio.current_task()}
    for task in connections:
        task.cancel()
    await asyncio.gather(*connections, return_exceptions=True)


def request_for(target, cut, method, is_new=False):
    headers = [
        ("Host", "a"),
        ("X-Chervilpitch-Target-Instance", "t1"),
        ("X-Chervilpitch-Request-Id", REQUEST_ID),
    ]
    if cut is not None:
        headers.append((CUT_HEADER, cut.encode()))
    body = b"crew" if method == "POST" else None
    return UpstreamRequest(
        target.address, method, "/x", tuple(headers), body, TIMEOUT_S, 4, is_new
    )


def read_response(client, request):
    """Return status and body of a response, or None if it was cut."""
    sent = client.send(request)
    if sent.is_err():
        return None
    response = sent.unwrap()
    body = b""
    try:
        while chunk := response.read_chunk():
            body += chunk
    except TruncatedAnswerError:
        return None
    finally:
        response.close()
    return response.status, body


def exchange(target, cut, method, is_reused):
    """Return the response to a request on a new or reused connection, or None."""
    client = UpstreamClient()
    try:
        if is_reused:
            assert read_response(client, request_for(target, None, "GET"))
        return read_response(client, request_for(target, cut, method, not is_reused))
    finally:
        client.close_unused(frozenset())


@pytest.mark.parametrize("is_reused", [False, True], ids=["new", "reused"])
@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize(("framing", "method"), CASES)
def test_response_that_is_cut_at_any_byte_is_no_response(
    target, framing, method, is_reset, is_reused
):
    whole = build_response(framing, REQUEST_ID, method)
    is_marked = framing is not Framing.UNTIL_CLOSE or is_reset
    count = len(whole) if is_marked else whole.find(BODY)

    def exchange_one(sent_bytes):
        cut = ResponseCut(framing, sent_bytes, is_reset)
        return exchange(target, cut, method, is_reused)

    with concurrent.futures.ThreadPoolExecutor(THREADS) as threads:
        responses = list(threads.map(exchange_one, range(count)))
    assert len(responses) == count
    assert set(responses) == {None}


@pytest.mark.parametrize(("framing", "method"), CASES)
def test_response_that_is_not_cut_is_received(target, framing, method):
    whole = build_response(framing, REQUEST_ID, method)
    cut = ResponseCut(framing, len(whole), False)
    body = b"" if method == "HEAD" else framing.body
    assert exchange(target, cut, method, True) == (framing.status, body)


def test_response_after_an_interim_one_is_not_left_for_the_next_request(target):
    client = UpstreamClient()
    whole = build_response(Framing.INTERIM, REQUEST_ID)
    cut = ResponseCut(Framing.INTERIM, len(whole), False)
    for _ in range(3):
        assert read_response(client, request_for(target, cut, "GET")) == (200, BODY)
    client.close_unused(frozenset())


def test_interim_responses_without_end_are_given_up(target):
    client = UpstreamClient()
    target.behaviour = Behaviour.ENDLESS_INFORMATIONAL
    assert read_response(client, request_for(target, None, "GET", True)) is None
    target.behaviour = Behaviour.CUT
