import asyncio

import aiohttp
from aiohttp import web

from lacewingstair.backend_server.announce import AnnouncementServer
from lacewingstair.http_server import application_runner, call_server, listen
from lacewingstair.runtime import SystemClock
from lacewingstair.standins.local import free_ports


def call_runner(handler, is_leaving, max_header_bytes, drain_seconds, **limits):
    server = call_server(handler, is_leaving, max_header_bytes, **limits)
    return web.ServerRunner(server, shutdown_timeout=drain_seconds)


def with_server(make_runner, check):
    async def main():
        (port,) = free_ports(1)
        runner = make_runner()
        assert (await listen(runner, f"127.0.0.1:{port}")).is_ok()
        try:
            async with aiohttp.ClientSession() as session:
                await check(session, f"http://127.0.0.1:{port}", runner)
        finally:
            await runner.cleanup()

    asyncio.run(main())


def test_announcements_beyond_the_limits_are_refused():
    announced = []

    def make_runner():
        server = AnnouncementServer(announced.append, SystemClock())
        return application_runner(server.application(), 4096)

    async def check(session, url, _):
        body = {"service": "a", "version": "v1", "address": "127.0.0.1:1"}
        large = {**body, "service": "a" * (65 << 10)}
        long = {"X": "x" * 5000}
        for options, status in (
            ({"json": large}, 413),
            ({"json": body, "headers": long}, 400),
            ({"json": body}, 200),
        ):
            async with session.post(f"{url}/v1/announce", **options) as answer:
                assert answer.status == status
        assert len(announced) == 1

    with_server(make_runner, check)


def test_a_leaving_server_ends_its_connections_with_the_answer():
    """Guards against idle connections that are closed under a caller's next call."""
    state = {"is_leaving": False}

    async def answer_ok(_):
        return web.Response(text="ok")

    async def check(session, url, _):
        for is_leaving, expected in ((False, None), (True, "close")):
            state["is_leaving"] = is_leaving
            async with session.get(url) as answer:
                assert answer.status == 200
                assert answer.headers.get("Connection") == expected

    with_server(
        lambda: call_runner(answer_ok, lambda: state["is_leaving"], 8190, 1.0), check
    )


def test_connections_beyond_the_limit_are_answered_and_closed():
    """Guards against callers that take the memory of the process."""
    calls = []

    async def answer_ok(_):
        calls.append(1)
        return web.Response(text="ok")

    async def check(_, url, __):
        port = int(url.rpartition(":")[2])
        request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
        first, second = [
            await asyncio.open_connection("127.0.0.1", port) for _ in range(2)
        ]
        for _, writer in (first, second):
            writer.write(request)
        assert (await first[0].readline()).startswith(b"HTTP/1.1 200")
        refused = await second[0].read()
        assert refused.startswith(b"HTTP/1.1 503")
        assert b"Lacewingstair-Outcome: not-run\r\n" in refused
        assert len(calls) == 1
        for _, writer in (first, second):
            writer.close()
            await writer.wait_closed()
        status = 503
        while status == 503:
            # The server sees the end of the first connection a little later.
            async with aiohttp.request("GET", url) as answer:
                status = answer.status
        assert status == 200

    with_server(
        lambda: call_runner(answer_ok, lambda: False, 8190, 1.0, max_connections=1),
        check,
    )


def test_open_calls_are_finished_before_the_server_stops():
    started, finish = asyncio.Event(), asyncio.Event()

    async def answer_late(_):
        started.set()
        await finish.wait()
        return web.Response(text="late")

    async def check(session, url, runner):
        call = asyncio.create_task(session.get(url))
        await started.wait()
        stopping = asyncio.create_task(runner.cleanup())
        # The stop begins while the call is open, and would cut it by now without a
        # drain time.
        for _ in range(1000):
            await asyncio.sleep(0)
        assert not stopping.done()
        finish.set()
        async with await call as answer:
            assert await answer.text() == "late"
        await stopping

    with_server(lambda: call_runner(answer_late, lambda: True, 8190, 60.0), check)
