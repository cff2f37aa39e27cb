import asyncio
import random
import socket
import time

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from result import Err, Ok

from lacewingstair.errors import OffsetExpired, StoreConflict, StoreUnavailable
from lacewingstair.metadata.tail import KeyedTail
from lacewingstair.platform.store import (
    MAX_ANSWER_BYTES,
    KeyedPage,
    KeyedRecord,
    MetadataStore,
)
from lacewingstair.runtime import SystemClock
from tests.memory import traced_peak
from tests.platform.store_standin import StoreStandIn
from tests.platform.upstream_standin import (
    ENDLESS_BODIES,
    ENDLESS_FRAMING,
    ENDLESS_HEADS,
    UpstreamStandIn,
)

TOPIC = "keyed.test"


def with_store(check):
    async def main():
        standin = StoreStandIn()
        server = TestServer(standin.application())
        await server.start_server()
        store = MetadataStore(str(server.make_url("")), 1.0)
        try:
            await check(standin, store)
        finally:
            await store.close()
            await server.close()

    asyncio.run(main())


async def until(condition, seconds=3.0):
    async with asyncio.timeout(seconds):
        while not condition():  # noqa: ASYNC110 - the conditions are plain state
            await asyncio.sleep(0.01)


def test_records_are_written_and_read():
    async def check(_, store):
        for number in range(5):
            written = await store.append(TOPIC, f"k{number}", b"v")
            assert written == Ok(number)
        assert await store.append(TOPIC, "k1", None) == Ok(5)
        newest = (await store.newest(TOPIC)).unwrap()
        assert [r.key for r in newest.records] == ["k0", "k2", "k3", "k4"]
        assert newest.next_offset == 6
        page = (await store.read(TOPIC, 4, 0.0)).unwrap()
        assert page.records == (KeyedRecord("k4", b"v", 4), KeyedRecord("k1", None, 5))
        assert page.next_offset == 6

    with_store(check)


def test_a_write_under_a_condition_is_not_done_at_another_end():
    async def check(_, store):
        await store.append(TOPIC, "k", b"v")
        assert await store.append(TOPIC, "k", b"w", at=0) == Err(StoreConflict(1))
        assert await store.append(TOPIC, "k", b"w", at=1) == Ok(1)

    with_store(check)


def test_a_lost_answer_may_have_been_done_and_a_refused_call_was_not():
    """Guards against a write that is taken for undone."""

    async def check(standin, store):
        standin.loses_answers = True
        lost = (await store.append(TOPIC, "k", b"v")).err()
        assert isinstance(lost, StoreUnavailable) and lost.may_be_done
        standin.status = 503
        refused = (await store.append(TOPIC, "k", b"v")).err()
        assert isinstance(refused, StoreUnavailable) and not refused.may_be_done

    with_store(check)


def test_dropped_history_is_told_from_an_outage():
    async def check(standin, store):
        await store.append(TOPIC, "k", b"v")
        standin.drop_history(TOPIC)
        assert await store.read(TOPIC, 0, 0.0) == Err(OffsetExpired(0, 1))

    with_store(check)


@pytest.mark.parametrize(
    "answer",
    [
        "[]",
        "1",
        '{"items": 1, "end_offset": 1}',
        '{"items": ["a"], "end_offset": 1}',
        '{"items": [[]], "end_offset": 1}',
        '{"items": {"a": 1}, "end_offset": 1}',
        '{"items": [{"key": "a", "value": 1, "offset": 1}], "end_offset": 1}',
        '{"items": [], "end_offset": Infinity}',
    ],
)
def test_an_answer_of_an_unexpected_form_is_an_error_and_no_exception(answer):
    """Guards against a task that ends by an exception and is not started again."""

    async def main():
        async def answered(_):
            return web.Response(text=answer)

        app = web.Application()
        app.router.add_get("/log-newest", answered)
        app.router.add_post("/log-append", answered)
        async with TestServer(app) as server:
            store = MetadataStore(str(server.make_url("")), 1.0)
            newest = await store.newest(TOPIC)
            written = await store.append(TOPIC, "k", b"v")
            await store.close()
        assert isinstance(newest.unwrap_err(), StoreUnavailable)
        assert isinstance(written.unwrap_err(), StoreUnavailable)

    asyncio.run(main())


def with_endless_store(behaviour, timeout_seconds, check):
    async def main():
        standin = UpstreamStandIn()
        standin.behaviour = behaviour
        await standin.start()
        store = MetadataStore(f"http://{standin.address}", timeout_seconds)
        try:
            with traced_peak() as peak:
                async with asyncio.timeout(20.0):
                    await check(store)
                    await until(lambda: not standin.connections)
        finally:
            await store.close()
            standin.stop()
        return peak.bytes

    return asyncio.run(main())


@pytest.mark.parametrize("behaviour", ENDLESS_BODIES)
def test_an_endless_body_is_cut_off_at_a_bound(behaviour):
    """Guards against a process killed for the memory of an answer of the store."""

    async def check(store):
        newest = await store.newest(TOPIC)
        assert "larger than" in str(newest.unwrap_err())
        written = (await store.append(TOPIC, "k", b"v")).unwrap_err()
        assert "larger than" in str(written) and written.may_be_done

    # Far more time than it takes, so that the bound alone ends the calls. A copy of the
    # bytes may be made while they grow.
    assert with_endless_store(behaviour, 60.0, check) < 3 * MAX_ANSWER_BYTES


@pytest.mark.parametrize("behaviour", [*ENDLESS_HEADS, *ENDLESS_FRAMING])
def test_endless_bytes_that_are_no_answer_end_with_the_time_of_the_call(behaviour):
    """Guards against calls to the store that last and grow for ever."""

    async def check(store):
        read = (await store.read(TOPIC, 0, 0.1)).unwrap_err()
        assert isinstance(read, StoreUnavailable)

    assert with_endless_store(behaviour, 0.1, check) < MAX_ANSWER_BYTES


class TestTail:
    def test_it_continues_after_an_outage_and_dropped_history(self):
        """Guards against a VM that serves an old configuration for ever."""

        async def check(standin, store):
            seen = {}
            tail = KeyedTail(
                store,
                TOPIC,
                lambda records, _: seen.update({r.key: r.value for r in records}),
                SystemClock(),
                random.Random(1),
                0.2,
                lambda: 0.0,
            )
            await standin.put(TOPIC, "a", b"1")
            task = asyncio.create_task(tail.run())
            await until(lambda: seen == {"a": b"1"})
            standin.status = 503
            await until(lambda: not tail.is_up)
            await standin.put(TOPIC, "a", b"2")
            await standin.put(TOPIC, "b", b"1")
            standin.drop_history(TOPIC)
            standin.status = 0
            await until(lambda: seen == {"a": b"2", "b": b"1"})
            assert tail.is_up
            await standin.put(TOPIC, "b", b"2")
            await until(lambda: seen["b"] == b"2")
            task.cancel()

        with_store(check)

    def test_an_older_record_of_a_key_is_not_delivered(self):
        delivered = []
        tail = KeyedTail(
            None,
            TOPIC,
            lambda found, _: delivered.extend(found),
            SystemClock(),
            None,
            1.0,
            lambda: 0.0,
        )
        tail._deliver(KeyedPage((KeyedRecord("a", b"2", 7),), 8, 8), 0.0)
        records = (KeyedRecord("a", b"1", 6), KeyedRecord("", b"?", 8))
        tail._deliver(KeyedPage(records, 9, 9), 0.0)
        assert delivered == [KeyedRecord("a", b"2", 7)]


def test_an_opening_packet_that_is_lost_is_given_up_soon():
    """Guards against a VM that learns nothing for seconds after a cut has healed."""

    async def main():
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            address = listener.getsockname()
            # The queue of new connections is full, so further ones get no answer.
            queued = [socket.socket() for _ in range(3)]
            for sock in queued:
                sock.setblocking(False)
                sock.connect_ex(address)
            store = MetadataStore(f"http://127.0.0.1:{address[1]}", 2.0)
            started = time.monotonic()
            page = await store.read(TOPIC, 0, 20.0)
            elapsed = time.monotonic() - started
            await store.close()
            for sock in queued:
                sock.close()
        assert isinstance(page.err_value, StoreUnavailable)
        assert elapsed < 2.0

    asyncio.run(main())
