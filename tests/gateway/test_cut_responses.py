"""A response of an upstream that is cut at any byte never counts as whole."""

import asyncio

import pytest

from chervilpitch.gateway.http_client import ExchangeError, HttpRequest, connect
from standins.cut_response import (
    BODY,
    CUT_HEADER,
    Framing,
    ResponseCut,
    build_response,
)
from standins.target import Behaviour, FakeTarget

from .harness import GatewayHarness, run_scenario

TIMEOUT_S = 1.0
REQUEST_ID = "id-1"
CONCURRENT_REQUESTS = 50


def request_for(cut, method):
    headers = [
        (b"Host", b"a"),
        (b"X-Chervilpitch-Target-Instance", b"t1"),
        (b"X-Chervilpitch-Request-Id", REQUEST_ID.encode()),
    ]
    if cut is not None:
        headers.append((CUT_HEADER.encode(), cut.encode().encode()))
    return HttpRequest(method.encode(), b"/x", headers)


async def exchange(address, cut, method, is_reused):
    """Return the response to a request on a new or reused connection, or None."""
    connection = await connect(address, TIMEOUT_S)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            if is_reused:
                await connection.exchange(request_for(None, "GET"))
                assert connection.is_reusable
            return await connection.exchange(request_for(cut, method))
    except ExchangeError:
        assert not connection.is_reusable
        return None
    finally:
        connection.close()


async def exchange_each(framing, method, is_reset, is_reused, lengths):
    """Return the responses by the number of bytes that were sent of them."""
    target = FakeTarget("t1", Behaviour.CUT)
    address = await target.start()
    limit = asyncio.Semaphore(CONCURRENT_REQUESTS)

    async def exchange_one(sent_bytes):
        async with limit:
            cut = ResponseCut(framing, sent_bytes, is_reset)
            return await exchange(address, cut, method, is_reused)

    try:
        responses = await asyncio.gather(*map(exchange_one, lengths))
    finally:
        target.stop()
    return dict(zip(lengths, responses, strict=True))


@pytest.mark.parametrize("is_reused", [False, True], ids=["new", "reused"])
@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("method", ["GET", "HEAD"])
@pytest.mark.parametrize("framing", Framing)
def test_response_that_is_cut_at_any_byte_is_no_response(
    framing, method, is_reset, is_reused
):
    async def scenario():
        whole = build_response(framing, REQUEST_ID, method)
        head_bytes = whole.rfind(b"\r\n\r\n", 0, whole.find(BODY[:6])) + 4
        is_marked = framing is not Framing.UNTIL_CLOSE or is_reset
        count = len(whole) if is_marked or method == "HEAD" else head_bytes
        responses = await exchange_each(
            framing, method, is_reset, is_reused, range(count)
        )
        assert set(responses.values()) == {None}

    run_scenario(scenario)


@pytest.mark.parametrize("method", ["GET", "HEAD", "POST"])
@pytest.mark.parametrize("framing", Framing)
def test_response_that_is_not_cut_is_received(framing, method):
    async def scenario():
        whole = build_response(framing, REQUEST_ID, method)
        responses = await exchange_each(framing, method, False, True, [len(whole)])
        response = responses[len(whole)]
        assert response.status == framing.status
        assert response.body == (b"" if method == "HEAD" else framing.body)

    run_scenario(scenario)


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("framing", [Framing.LENGTH_AFTER_SEAL, Framing.TRAILER])
def test_caller_gets_no_2xx_and_an_unsafe_request_runs_once(framing, is_reset):
    async def scenario():
        targets = [FakeTarget(name, Behaviour.CUT) for name in ("t1", "t2")]
        harness = GatewayHarness()
        await harness.start(*targets)
        whole = build_response(framing, REQUEST_ID)
        for sent_bytes in range(len(whole)):
            cut = ResponseCut(framing, sent_bytes, is_reset)
            status, _, _ = await harness.send_request(
                "/book/x",
                "POST",
                b"crew",
                request_id=REQUEST_ID,
                fields={CUT_HEADER: cut.encode()},
            )
            assert status == 502
            assert sum(len(target.runs) for target in targets) == sent_bytes + 1

    run_scenario(scenario)


def test_safe_request_is_answered_by_another_upstream_after_a_cut():
    async def scenario():
        harness = GatewayHarness()
        await harness.start(FakeTarget("t1", Behaviour.CUT), FakeTarget("t2"))
        whole = build_response(Framing.LENGTH, REQUEST_ID)
        for sent_bytes in range(0, len(whole), 10):
            cut = ResponseCut(Framing.LENGTH, sent_bytes, False)
            status, _, body = await harness.send_request(
                "/read/x", fields={CUT_HEADER: cut.encode()}
            )
            assert (status, body) == (200, b"t2")

    run_scenario(scenario)
