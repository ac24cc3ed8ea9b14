"""Messages on which a parser could spin: none holds up the event loop."""

import asyncio
import contextlib
import time

import pytest

from chervilpitch.gateway.http_client import (
    ExchangeError,
    FailureKind,
    HttpRequest,
    connect,
)
from chervilpitch.policy.framing import MAX_INTERIM_RESPONSES, MAX_SMALL_PIECES
from standins.target import Behaviour, FakeTarget

from .harness import GatewayHarness, encode_request, read_response, run_scenario

MAX_PAUSE_S = 0.1
FLOODS = 4
FLOOD_S = 1.0


class PiecewiseTarget(FakeTarget):
    """An upstream that sends its response in pieces of a given size."""

    def __init__(self, name, body, piece_bytes, interim_responses=0):
        super().__init__(name)
        self.body = body
        self.piece_bytes = piece_bytes
        self.interim_responses = interim_responses

    async def _respond(self, writer, headers):
        writer.write(b"HTTP/1.1 103 Early Hints\r\n\r\n" * self.interim_responses)
        seal = {"X-Chervilpitch-Response-Seal": "s"}
        head = self._encode_response(headers, 200, b"", seal)
        head = head.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        writer.write(head + chunked(self.body, self.piece_bytes))
        return True


def chunked(body, piece_bytes):
    """Return a body in chunks of a size, with the last chunk."""
    pieces = [body[at : at + piece_bytes] for at in range(0, len(body), piece_bytes)]
    return b"".join(b"%x\r\n%b\r\n" % (len(item), item) for item in (*pieces, b""))


def uploaded(body, piece_bytes):
    head = encode_request("/book/x", "POST").removesuffix(b"\r\n")
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(body, piece_bytes)


@contextlib.asynccontextmanager
async def longest_pause():
    """Measure the longest time for which the event loop ran no other task."""
    pauses_s = [0.0]

    async def measure():
        while True:
            started_s = time.monotonic()
            await asyncio.sleep(0)
            pauses_s.append(time.monotonic() - started_s)

    task = asyncio.create_task(measure())
    yield lambda: max(pauses_s)
    task.cancel()


@pytest.mark.parametrize(
    ("size", "piece_bytes", "interim_responses"),
    [(8_000, 2, 0), (600_000, 64, 0), (900_000, 400_000, 0), (10, 3, 16)],
)
def test_sound_response_in_pieces_is_delivered_whole(
    size, piece_bytes, interim_responses
):
    async def scenario():
        body = b"abcdefg" * (size // 7)
        target = PiecewiseTarget("t1", body, piece_bytes, interim_responses)
        harness = GatewayHarness()
        await harness.start(target)
        for _ in range(3):
            status, _, received = await harness.send_request("/read/x")
            assert (status, received) == (200, body)
        assert target.connections == 1

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("size", "piece_bytes", "interim_responses"),
    [(3 * MAX_SMALL_PIECES, 2, 0), (10, 3, MAX_INTERIM_RESPONSES + 1)],
)
def test_response_in_too_many_pieces_is_given_up_and_counted(
    size, piece_bytes, interim_responses
):
    async def scenario():
        target = PiecewiseTarget("t1", b"p" * size, piece_bytes, interim_responses)
        harness = GatewayHarness()
        await harness.start(target)
        status, _, _ = await harness.send_request("/book/x", "POST", b"{}")
        assert status == 502
        assert harness.pool.failure_counts[FailureKind.TOO_MANY_PIECES] == 1
        state = harness.state.upstreams.get("t1")
        assert state.next_report(0.0).failed == 1

    run_scenario(scenario)


@pytest.mark.parametrize(
    "behaviour", [item for item in Behaviour if item.startswith("endless")]
)
def test_response_without_end_does_not_hold_up_the_event_loop(behaviour):
    async def scenario():
        target = FakeTarget("t1", behaviour)
        harness = GatewayHarness()
        await harness.start(target)
        async with longest_pause() as pause_s:
            requests = [
                harness.send_request("/book/x", "POST", b"{}", wait_ms=1000)
                for _ in range(FLOODS)
            ]
            await asyncio.gather(*requests)
            assert pause_s() < MAX_PAUSE_S

    run_scenario(scenario)


def test_responses_to_other_requests_without_end_are_given_up():
    async def scenario():
        target = FakeTarget("t1")
        harness = GatewayHarness()
        await harness.start(target)
        head = {"x-chervilpitch-request-id": "other"}
        unasked = target._encode_response(head, 200, b"", {}) * 10_000

        async def respond(writer, headers):
            while not writer.is_closing():
                writer.write(unasked)
                await writer.drain()
            return False

        target._respond = respond
        async with longest_pause() as pause_s:
            status, _, _ = await harness.send_request("/book/x", "POST", b"{}")
            assert pause_s() < MAX_PAUSE_S
        assert status == 502

    run_scenario(scenario)


@pytest.mark.parametrize("piece_bytes", [1, 5, 100])
def test_upload_in_small_pieces_is_passed_on_whole(piece_bytes):
    async def scenario():
        body = b"abcdefg" * 700
        target = FakeTarget("t1")
        harness = GatewayHarness()
        await harness.start(target)
        reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
        writer.write(uploaded(body, piece_bytes) * 2)
        for _ in range(2):
            assert (await read_response(reader))[0] == 200
        assert [run[3] for run in target.runs] == [body, body]
        writer.close()

    run_scenario(scenario)


def test_uploads_in_small_pieces_without_end_do_not_hold_up_others():
    async def scenario():
        target = FakeTarget("t1")
        harness = GatewayHarness()
        await harness.start(target)

        async def flood():
            _, writer = await asyncio.open_connection("127.0.0.1", harness.port)
            writer.write(uploaded(b"", 1).removesuffix(b"0\r\n\r\n"))
            with contextlib.suppress(asyncio.CancelledError):
                while True:
                    writer.write(b"2\r\nab\r\n" * 10_000)
                    await writer.drain()
            writer.transport.abort()

        floods = [asyncio.create_task(flood()) for _ in range(FLOODS)]
        async with longest_pause() as pause_s:
            await asyncio.sleep(FLOOD_S)
            assert (await harness.send_request("/read/x"))[0] == 200
            assert pause_s() < MAX_PAUSE_S
        for task in floods:
            task.cancel()
        await asyncio.gather(*floods)

    run_scenario(scenario)


def test_method_that_is_not_served_is_refused_at_once():
    # Guards against a CONNECT that left an instance answering nothing for good.
    async def scenario():
        target = FakeTarget("t1")
        harness = GatewayHarness()
        await harness.start(target)
        status, _, _ = await harness.send_request("/read/x", "CONNECT")
        assert status == 501
        assert (await harness.send_request("/read/x"))[0] == 200
        assert [run[0] for run in target.runs] == [b"GET"]
        assert harness.http_server.rejected_count == 1

    run_scenario(scenario)


def test_response_after_which_the_parser_pauses_is_an_error():
    async def scenario():
        target = FakeTarget("t1")
        connection = await connect(await target.start(), 1.0)
        headers = [(b"Host", b"t1"), (b"X-Chervilpitch-Target-Instance", b"t1")]
        request = HttpRequest(b"CONNECT", b"t1:1", headers)
        with pytest.raises(ExchangeError):
            async with asyncio.timeout(2.0):
                await connection.exchange(request)

    run_scenario(scenario)


@pytest.mark.parametrize("method", ["HEAD", "OPTIONS", "TRACE", "PRI"])
def test_unusual_methods_and_upgrades_leave_the_instance_answering(method):
    async def scenario():
        target = FakeTarget("t1")
        harness = GatewayHarness()
        await harness.start(target)
        reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
        fields = {"Connection": "Upgrade", "Upgrade": "h2c"}
        writer.write(encode_request("/read/x", method, wait_ms=500, fields=fields))
        async with asyncio.timeout(2.0):
            await reader.readuntil(b"\r\n\r\n")
            assert (await harness.send_request("/read/x"))[0] == 200
        writer.close()

    run_scenario(scenario)
