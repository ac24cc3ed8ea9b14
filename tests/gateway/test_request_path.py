"""What callers and upstreams see of requests, also when upstreams misbehave."""

import asyncio

import pytest
from structlog.testing import capture_logs

from standins.target import Behaviour, TargetStandin

from .scene import Scene, read_answer, request_text


def play(scenario):
    """Run a scenario to its end, within a time limit."""

    async def limited():
        async with asyncio.timeout(20):
            await scenario()

    asyncio.run(limited())


def test_a_request_is_served_whole_for_its_account():
    async def scenario():
        target = TargetStandin("t1")
        scene = Scene()
        await scene.start(target)
        status, headers, body = await scene.ask("/read/a%20b?c=d")
        assert (status, body) == (200, b"t1")
        assert headers["x-chervilpitch-response-seal"] == "s.t1"
        _, path, sent, _ = target.runs[0]
        assert path == "/read/a%20b?c=d"
        assert sent["x-chervilpitch-tenant"] == "fitters"
        assert sent["x-chervilpitch-target-instance"] == "t1"
        assert "x-chervilpitch-key" not in sent
        assert 0 < int(sent["x-chervilpitch-timeout-remaining"]) <= 1500

    play(scenario)


def test_an_open_route_names_no_account():
    async def scenario():
        target = TargetStandin("t1")
        scene = Scene()
        await scene.start(target)
        status, _, _ = await scene.ask("/open/x", key="")
        assert status == 200
        assert "x-chervilpitch-tenant" not in target.runs[0][2]

    play(scenario)


@pytest.mark.parametrize(
    ("path", "key", "expected"),
    [("/read/x", "other", 401), ("/read/x", "", 401), ("/none/x", "", 404)],
)
def test_what_no_configuration_allows_is_denied(path, key, expected):
    async def scenario():
        target = TargetStandin("t1")
        scene = Scene()
        await scene.start(target)
        assert (await scene.ask(path, key=key))[0] == expected
        assert target.runs == []

    play(scenario)


@pytest.mark.parametrize("path", ["/read/x", "/none/x"])
def test_an_old_configuration_denies_nothing_for_good(path):
    async def scenario():
        scene = Scene()
        await scene.start(TargetStandin("t1"), age_s=4.0)
        status, headers, _ = await scene.ask(path, key="other")
        assert status == 503
        assert "retry-after" in headers

    play(scenario)


def test_a_key_is_refused_when_its_withdrawal_could_be_unknown():
    async def scenario():
        target = TargetStandin("t1")
        scene = Scene()
        await scene.start(target, age_s=4.9)
        assert (await scene.ask("/read/x"))[0] == 503
        assert (await scene.ask("/open/x", key=""))[0] == 200
        assert len(target.runs) == 1

    play(scenario)


def test_without_a_configuration_nothing_is_denied():
    async def scenario():
        scene = Scene()
        await scene.start(TargetStandin("t1"))
        scene.state._configuration = scene.state.configuration._replace(version=0)
        assert (await scene.ask("/none/x"))[0] == 503

    play(scenario)


@pytest.mark.parametrize(
    "behaviour",
    [
        Behaviour.RESET,
        Behaviour.TRUNCATED,
        Behaviour.UNSEALED,
        Behaviour.ENCODED,
        Behaviour.UNFRAMED_RESET,
        Behaviour.ERROR,
        Behaviour.SHED,
    ],
)
def test_a_safe_request_is_sent_once_more(behaviour):
    async def scenario():
        bad = TargetStandin("bad", behaviour)
        scene = Scene()
        await scene.start(bad)
        good = TargetStandin("good", work_s=0.01)
        await good.start()
        scene.targets.append(good)
        scene.list_targets()
        answers = [await scene.ask("/read/x") for _ in range(6)]
        assert {answer[0] for answer in answers} == {200}
        assert {answer[2] for answer in answers} == {b"good"}

    play(scenario)


@pytest.mark.parametrize(
    ("behaviour", "expected"),
    [
        (Behaviour.RESET, 502),
        (Behaviour.TRUNCATED, 502),
        (Behaviour.UNSEALED, 502),
        (Behaviour.ENCODED, 502),
        (Behaviour.UNFRAMED_RESET, 502),
        (Behaviour.ERROR, 500),
        (Behaviour.HANG, 504),
        (Behaviour.SHED, 503),
    ],
)
def test_an_unsafe_request_runs_once_and_its_answer_is_true(behaviour, expected):
    async def scenario():
        targets = [TargetStandin(name, behaviour) for name in ("t1", "t2")]
        scene = Scene()
        await scene.start(*targets)
        status, _, _ = await scene.ask("/book/x", "POST", b"crew")
        runs = sum(len(target.runs) for target in targets)
        assert status == expected
        assert runs == (0 if expected == 503 else 1)

    play(scenario)


def test_an_answer_that_ends_with_its_connection_is_whole():
    async def scenario():
        scene = Scene()
        await scene.start(TargetStandin("t1", Behaviour.UNFRAMED))
        status, _, body = await scene.ask("/book/x", "POST", b"crew")
        assert (status, body) == (200, b"t1")

    play(scenario)


@pytest.mark.parametrize("behaviour", [Behaviour.EXTRA, Behaviour.LATE_EXTRA])
def test_a_second_answer_reaches_no_other_request(behaviour):
    async def scenario():
        target = TargetStandin("t1", behaviour)
        scene = Scene()
        await scene.start(target)
        for number in range(6):
            request_id = f"id-{number}"
            status, headers, body = await scene.ask("/read/x", request_id=request_id)
            assert (status, body) == (200, b"t1")
            assert headers["x-chervilpitch-request-id"] == request_id
            await asyncio.sleep(0.02)

    play(scenario)


def test_a_request_that_hangs_is_answered_at_the_route_s_timeout():
    async def scenario():
        scene = Scene()
        await scene.start(TargetStandin("t1", Behaviour.HANG))
        began_s = asyncio.get_running_loop().time()
        status, _, _ = await scene.ask("/book/x", "POST", b"crew")
        took_s = asyncio.get_running_loop().time() - began_s
        assert status == 504
        assert 1.4 < took_s < 2.0

    play(scenario)


def test_a_safe_request_on_a_hanging_upstream_is_sent_once_more_in_time():
    async def scenario():
        scene = Scene()
        hanging = TargetStandin("t1", Behaviour.HANG)
        await scene.start(hanging)
        asked = asyncio.create_task(scene.ask("/read/x"))
        await asyncio.sleep(0.05)
        good = TargetStandin("t2")
        await good.start()
        scene.targets.append(good)
        scene.list_targets()
        status, _, body = await asked
        assert (status, body) == (200, b"t2")
        await asyncio.sleep(0.05)
        assert hanging.cancelled == 1

    play(scenario)


def test_the_upstream_stops_when_the_caller_leaves():
    async def scenario():
        target = TargetStandin("t1", Behaviour.HANG)
        scene = Scene()
        await scene.start(target)
        _, writer = await asyncio.open_connection("127.0.0.1", scene.port)
        writer.write(request_text("/book/x", "POST", b"crew"))
        while not target.runs:
            await asyncio.sleep(0.01)
        writer.close()
        while not target.cancelled:
            await asyncio.sleep(0.01)
        assert scene.state.in_progress == 0

    with capture_logs() as lines:
        play(scenario)
    assert [line for line in lines if line["event"] == "Caller left."]


def test_nothing_goes_to_an_upstream_that_drains():
    async def scenario():
        target = TargetStandin("t1")
        scene = Scene()
        await scene.start(target)
        scene.list_targets(state="draining", sequence=2)
        assert (await scene.ask("/read/x"))[0] == 503
        assert target.runs == []

    play(scenario)


def test_an_address_that_another_upstream_took_runs_nothing():
    async def scenario():
        target = TargetStandin("t1")
        scene = Scene()
        await scene.start(target)
        target.name = "t2"
        assert (await scene.ask("/book/x", "POST", b"crew"))[0] == 503
        assert target.runs == []

    play(scenario)


def test_an_upstream_without_a_listener_is_left_for_another():
    async def scenario():
        dead, good = TargetStandin("t1"), TargetStandin("t2")
        scene = Scene()
        await scene.start(dead, good)
        dead.stop()
        for _ in range(6):
            assert (await scene.ask("/book/x", "POST", b"crew"))[0] == 200
        assert len(good.runs) == 6

    play(scenario)


def test_requests_on_one_connection_are_answered_in_order():
    async def scenario():
        scene = Scene()
        await scene.start(TargetStandin("t1"))
        reader, writer = await asyncio.open_connection("127.0.0.1", scene.port)
        ids = [f"id-{number}" for number in range(5)]
        for request_id in ids:
            writer.write(request_text("/read/x", request_id=request_id))
        for request_id in ids:
            _, headers, _ = await read_answer(reader)
            assert headers["x-chervilpitch-request-id"] == request_id
        writer.close()

    play(scenario)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (b"GET /read/x HTTP/1.1\r\n\r\n", 400),
        (b"nonsense\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nBad Name: x\r\n\r\n", 400),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
            b"Content-Length: 2\r\n\r\nab",
            400,
        ),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 20_000 + b"\r\n\r\n", 431),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n", 413),
    ],
)
def test_a_request_that_cannot_be_read_is_rejected(text, expected):
    async def scenario():
        target = TargetStandin("t1")
        scene = Scene()
        await scene.start(target)
        reader, writer = await asyncio.open_connection("127.0.0.1", scene.port)
        writer.write(text)
        status, _, _ = await read_answer(reader)
        assert status == expected
        assert await reader.read() == b""
        assert target.runs == []
        writer.close()

    play(scenario)


def test_a_chunked_body_arrives_whole():
    async def scenario():
        target = TargetStandin("t1")
        scene = Scene()
        await scene.start(target)
        reader, writer = await asyncio.open_connection("127.0.0.1", scene.port)
        head = request_text("/book/x", "POST").removesuffix(b"\r\n")
        chunks = b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        writer.write(head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks)
        status, _, _ = await read_answer(reader)
        assert status == 200
        assert target.runs[0][3] == b"abcde"
        writer.close()

    play(scenario)


def test_a_rate_is_enforced_with_a_time_to_come_back():
    async def scenario():
        scene = Scene()
        account = {
            "name": "fitters",
            "api_keys": ["key-of-fitters"],
            "rate_per_s": 1,
            "burst": 1,
        }
        await scene.start(TargetStandin("t1"), tenants=[account])
        answers = [await scene.ask("/read/x") for _ in range(30)]
        refused = [answer for answer in answers if answer[0] == 429]
        assert refused
        assert all(float(answer[1]["retry-after"]) > 0 for answer in refused)

    play(scenario)
