import asyncio
import contextlib
import random

import pytest
from aiohttp import web

from lacewingstair.errors import LogRefused, LogUnavailable, OffsetExpired
from lacewingstair.platform import http_log
from lacewingstair.platform.http_log import HttpLogClient
from lacewingstair.platform.log import TICKET_STREAM
from lacewingstair.platform.publish import publish_ticket
from lacewingstair.runtime import SystemClock
from lacewingstair.standins.log_service import LogService
from lacewingstair.standins.memory_log import MAX_VALUE_BYTES
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


def run_with_service(scenario):
    async def main():
        service = LogService(SystemClock())
        async with served(service.application()) as client:
            return await scenario(service, client)

    return asyncio.run(main())


def test_records_are_read_back_as_they_were_appended():
    async def scenario(service, client):
        texts = ["{}", "\u00e9\ud800", "x" * 100_000]
        offsets = [(await client.append("s", text)).unwrap() for text in texts]
        batch = (await client.read("s", 1, 10, 0.0)).unwrap()
        return texts, offsets, batch

    texts, offsets, batch = run_with_service(scenario)
    assert offsets == [0, 1, 2]
    assert [(r.offset, r.value) for r in batch.records] == list(
        enumerate(texts[1:], start=1)
    )
    assert (batch.first_offset, batch.next_offset) == (0, 3)


def test_a_long_poll_returns_when_a_record_is_appended():
    async def scenario(service, client):
        poll = asyncio.create_task(client.read("s", 0, 10, 60.0))
        while service.reads == 0:  # noqa: ASYNC110
            await asyncio.sleep(0)
        service.append("s", "new")
        return (await poll).unwrap().records[0].value

    assert run_with_service(scenario) == "new"


def test_an_expired_offset_gives_the_first_one_kept():
    async def scenario(service, client):
        for _ in range(5):
            service.append("s", "old")
        service.expire("s", 3)
        return (await client.read("s", 1, 10, 0.0)).unwrap_err()

    assert run_with_service(scenario) == OffsetExpired(1, 3)


def test_a_ticket_whose_connection_breaks_after_the_write_is_on_the_log_once():
    async def scenario(service, client):
        service.lost_answers = 1
        clock, rng = SystemClock(), random.Random(1)
        published = await publish_ticket(client, ticket(1), clock, rng)
        return published.unwrap().offset, service.appends

    assert run_with_service(scenario) == (0, 1)


def test_a_record_that_is_too_large_is_refused_for_good():
    async def scenario(service, client):
        return await client.append(TICKET_STREAM, "x" * (MAX_VALUE_BYTES + 1))

    assert isinstance(run_with_service(scenario).unwrap_err(), LogRefused)


def test_a_log_that_is_down_or_gone_is_unavailable():
    async def scenario(service, client):
        service.is_down = True
        answers = [await client.append("s", "x"), await client.read("s", 0, 1, 0.0)]
        gone = HttpLogClient("http://127.0.0.1:1")
        answers.append(await gone.read("s", 0, 1, 0.0))
        await gone.close()
        return answers

    for answer in run_with_service(scenario):
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


def test_an_answer_beyond_the_bound_is_not_read_to_its_end(monkeypatch):
    monkeypatch.setattr(http_log, "MAX_RESPONSE_BYTES", 1000)

    async def scenario(service, client):
        service.append("s", "x" * 2000)
        return await client.read("s", 0, 10, 0.0)

    assert "larger" in str(run_with_service(scenario).unwrap_err())


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
