import asyncio
import contextlib
import random

import pytest
from aiohttp import web

from lacewingstair.errors import LogRefused, LogUnavailable, OffsetExpired
from lacewingstair.runtime import SystemClock
from lacewingstair.standins.log_service import LogService
from lacewingstair.standins.memory_log import MAX_VALUE_BYTES
from lacewingstair.ticket_log import http_log
from lacewingstair.ticket_log.http_log import HttpLogClient
from lacewingstair.ticket_log.log import TICKET_STREAM
from lacewingstair.ticket_log.publish import publish_ticket
from tests.memory import traced_peak
from tests.platform.upstream_standin import (
    ENDLESS_BODIES,
    ENDLESS_FRAMING,
    ENDLESS_HEADS,
    UpstreamStandIn,
)
from tests.ticket_texts import ticket


@contextlib.asynccontextmanager
async def served(app):
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    client = HttpLogClient(f"http://127.0.0.1:{port}/")
    try:
        yield client
    finally:
        await client.close()
        await runner.cleanup()


def with_service(scenario):
    """Run a test against the HTTP stand-in on a loopback port."""

    async def main():
        service = LogService(SystemClock())
        async with served(service.application()) as client:
            await scenario(service, client)

    return lambda: asyncio.run(main())


@with_service
async def test_records_are_read_back_as_they_were_appended(service, client):
    texts = ["{}", "\u00e9\ud800", "x" * 100_000]
    assert [(await client.append("s", text)).unwrap() for text in texts] == [0, 1, 2]
    batch = (await client.read("s", 1, 10, 0.0)).unwrap()
    assert [(r.offset, r.value) for r in batch.records] == [
        (1, texts[1]),
        (2, texts[2]),
    ]
    assert (batch.first_offset, batch.next_offset) == (0, 3)


def test_the_bytes_of_requests_and_answers_are_counted():
    """Guards against control bytes that differ from those on the wire."""
    answer = (
        b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nContent-Type: application/json\r\n"
        b'X-A: b\r\n\r\n{"offset":7}'
    )
    received = []

    async def script(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                fields = dict(
                    line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:-2]
                )
                body = await reader.readexactly(int(fields.get(b"content-length", 0)))
                received.append(len(head) + len(body))
                writer.write(answer)
        writer.close()

    async def main():
        server = await asyncio.start_server(script, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = HttpLogClient(f"http://127.0.0.1:{port}")
        assert (await client.append("s", "\u00e9" * 1000)).unwrap() == 7
        await client.read("s", 1, 10, 0.0)
        await client.close()
        server.close()
        assert client.bytes_sent == sum(received)
        assert client.bytes_received == 2 * len(answer)

    asyncio.run(main())


@with_service
async def test_a_long_poll_returns_when_a_record_is_appended(service, client):
    poll = asyncio.create_task(client.read("s", 0, 10, 60.0))
    while service.reads == 0:  # noqa: ASYNC110
        await asyncio.sleep(0)
    service.append("s", "new")
    assert (await poll).unwrap().records[0].value == "new"


@with_service
async def test_an_expired_offset_gives_the_first_one_kept(service, client):
    for _ in range(5):
        service.append("s", "old")
    service.expire("s", 3)
    answer = await client.read("s", 1, 10, 0.0)
    assert answer.unwrap_err() == OffsetExpired(1, 3)


@with_service
async def test_a_ticket_whose_connection_breaks_is_on_the_log_once(service, client):
    service.lost_answers = 1
    clock, rng = SystemClock(), random.Random(1)
    published = await publish_ticket(client, ticket(1), clock, rng)
    assert (published.unwrap().offset, service.appends) == (0, 1)


@with_service
async def test_a_record_that_is_too_large_is_refused_for_good(service, client):
    answer = await client.append(TICKET_STREAM, "x" * (MAX_VALUE_BYTES + 1))
    assert isinstance(answer.unwrap_err(), LogRefused)


@with_service
async def test_a_log_that_is_down_or_gone_is_unavailable(service, client):
    service.is_down = True
    gone = HttpLogClient("http://127.0.0.1:1")
    answers = [
        await client.append("s", "x"),
        await client.read("s", 0, 1, 0.0),
        await gone.read("s", 0, 1, 0.0),
    ]
    await gone.close()
    for answer in answers:
        assert isinstance(answer.unwrap_err(), LogUnavailable)


@pytest.mark.parametrize(
    "body",
    [
        "not json",
        "[" * 100_000,
        "[]",
        "{}",
        '{"first_offset": 0, "next_offset": 1, "records": ["x"]}',
        '{"first_offset": -1, "next_offset": 1, "records": []}',
        '{"first_offset": 0, "next_offset": 1.5, "records": []}',
        '{"first_offset": 0, "next_offset": 1e99, "records": []}',
        '{"first_offset": 0, "next_offset": 9, "records": ['
        '{"offset": 0, "time_ms": 1, "value": "a"},'
        '{"offset": 2, "time_ms": 1, "value": "b"}]}',
        '{"first_offset": 0, "next_offset": 1, "records": ['
        '{"offset": 0, "time_ms": 1, "value": null}]}',
    ],
)
def test_a_malformed_answer_is_an_error_and_never_raises(body):
    async def main():
        async def answer(_):
            return web.Response(text=body, content_type="application/json")

        app = web.Application()
        app.router.add_get("/streams/s/records", answer)
        async with served(app) as client:
            return await client.read("s", 0, 10, 0.0)

    assert isinstance(asyncio.run(main()).unwrap_err(), LogUnavailable)


@with_service
async def test_an_answer_beyond_the_bound_is_not_read_to_its_end(service, client):
    for _ in range(http_log.MAX_RESPONSE_BYTES // MAX_VALUE_BYTES + 1):
        service.append("s", "x" * MAX_VALUE_BYTES)
    answer = await client.read("s", 0, 100, 0.0)
    assert "larger" in str(answer.unwrap_err())


def read_from_endless_log(behaviour, timeout_seconds):
    """Return the outcome of a read and the peak of its memory."""

    async def main():
        standin = UpstreamStandIn()
        standin.behaviour = behaviour
        await standin.start()
        client = HttpLogClient(f"http://{standin.address}", timeout_seconds)
        try:
            with traced_peak() as peak:
                async with asyncio.timeout(20.0):
                    answer = await client.read("s", 0, 10, 0.0)
                    while standin.connections:  # noqa: ASYNC110 - it is plain state
                        await asyncio.sleep(0.01)
        finally:
            await client.close()
            standin.stop()
        return answer, peak.bytes

    return asyncio.run(main())


@pytest.mark.parametrize("behaviour", ENDLESS_BODIES)
def test_an_endless_body_is_cut_off_at_a_bound(behaviour):
    """Guards against a process killed for the memory of an answer of the log."""
    answer, peak_bytes = read_from_endless_log(behaviour, 60.0)
    assert "larger" in str(answer.unwrap_err())
    # A copy of the bytes may be made while they grow.
    assert peak_bytes < 3 * http_log.MAX_RESPONSE_BYTES


@pytest.mark.parametrize("behaviour", [*ENDLESS_HEADS, *ENDLESS_FRAMING])
def test_endless_bytes_that_are_no_answer_end_with_the_time_of_the_call(behaviour):
    """Guards against calls to the log that last and grow for ever."""
    answer, peak_bytes = read_from_endless_log(behaviour, 0.1)
    assert isinstance(answer.unwrap_err(), LogUnavailable)
    assert peak_bytes < http_log.MAX_RESPONSE_BYTES


def test_the_timeout_grows_for_a_slow_log_and_returns_to_its_start():
    timeout = http_log.AdaptiveTimeout()
    start = timeout.seconds
    for _ in range(10):
        timeout.note_timeout()
    assert timeout.seconds == http_log.MAX_REQUEST_TIMEOUT_SECONDS
    timeout.note_answer(start + 1.0)
    assert timeout.seconds == http_log.MAX_REQUEST_TIMEOUT_SECONDS
    timeout.note_answer(start - 1.0)
    assert timeout.seconds == start
