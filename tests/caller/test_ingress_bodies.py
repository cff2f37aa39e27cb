"""Uploads: bodies that are many, slow, broken off or too long."""

import asyncio
import contextlib
import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lacewingstair.caller.connections.connection_budget import Stage
from lacewingstair.caller.ingress import Ingress
from lacewingstair.caller.messages.body_budget import BodyBudget
from lacewingstair.metadata.configuration import ConfigurationStore
from lacewingstair.runtime import SystemClock
from tests.caller.test_ingress import ANSWER, FakeGate, configuration_store

LIMIT_BYTES = 100_000
BODY = b"x" * 40_000
LIMIT_SECONDS = 20.0


class HoldingForwarder:
    """Answers calls once it is told to."""

    def __init__(self):
        self.calls = []
        self.released = asyncio.Event()

    async def forward(self, call):
        self.calls.append(call)
        await self.released.wait()
        return ANSWER


class Caller:
    """Connection to the ingress."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    def send_head(self, request_id, *fields, timeout_ms=5000, path="/load/1"):
        lines = [
            f"POST {path} HTTP/1.1",
            "Host: a.example",
            f"Request-Id: {request_id}",
            f"Timeout-Ms: {timeout_ms}",
            *fields,
        ]
        self.writer.write("\r\n".join([*lines, "", ""]).encode())

    def upload(self, request_id, body=BODY):
        self.send_head(request_id, f"Content-Length: {len(body)}")
        self.writer.write(body)

    async def answer(self):
        """Return the status of the next answer and its header lines."""
        async with asyncio.timeout(LIMIT_SECONDS):
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
            length = int(head.split("Content-Length: ")[1].split("\r\n")[0])
            await self.reader.readexactly(length)
        return int(head.split()[1]), head


def store_that_allows_uploads():
    document_of_tests = configuration_store().current
    limits = attrs.evolve(document_of_tests.limits, max_body_bytes=1 << 20)
    configurations = ConfigurationStore()
    configurations.adopt(attrs.evolve(document_of_tests, limits=limits))
    return configurations


def with_ingress(check):
    async def main():
        forwarder = HoldingForwarder()
        ingress = Ingress(
            "book",
            store_that_allows_uploads(),
            forwarder,
            FakeGate(),
            SystemClock(),
            random.Random(1),
        )
        ingress._body_budget = BodyBudget(LIMIT_BYTES)
        http = ingress.http_server(8190, 100, 65536)
        loop = asyncio.get_running_loop()
        listening = await loop.create_server(http, "127.0.0.1", 0)
        port = listening.sockets[0].getsockname()[1]
        writers = []

        async def connect():
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writers.append(writer)
            return Caller(reader, writer)

        await check(ingress, forwarder, connect)
        for writer in writers:
            writer.close()
        async with asyncio.timeout(LIMIT_SECONDS):
            while ingress._body_budget.held_bytes:  # noqa: ASYNC110 - plain state
                await asyncio.sleep(0.01)
        listening.close()
        await http.shutdown(0.1)

    asyncio.run(main())


async def until(condition):
    async with asyncio.timeout(LIMIT_SECONDS):
        while not condition():  # noqa: ASYNC110 - plain state
            await asyncio.sleep(0.005)


def test_an_upload_beyond_the_memory_for_bodies_is_refused_before_it_is_read():
    """Guards against a process that ends for its memory with all its calls."""

    async def check(ingress, forwarder, connect):
        callers = [await connect() for _ in range(3)]
        for number, caller in enumerate(callers[:2]):
            caller.upload(f"q{number}")
        await until(lambda: len(forwarder.calls) == 2)
        callers[2].send_head("q2", f"Content-Length: {len(BODY)}")
        status, head = await callers[2].answer()
        assert status == 503
        assert "Retry-After: " in head and "Connection: close" in head
        assert len(forwarder.calls) == 2
        forwarder.released.set()
        assert [(await caller.answer())[0] for caller in callers[:2]] == [200, 200]
        later = await connect()
        later.upload("q3")
        assert (await later.answer())[0] == 200

    with_ingress(check)


def test_a_chunked_body_counts_as_it_grows():
    """Guards against bodies without a length that fill the memory."""

    async def check(ingress, forwarder, connect):
        caller = await connect()
        caller.send_head("q", "Transfer-Encoding: chunked")
        with contextlib.suppress(ConnectionError):
            for _ in range(2 * LIMIT_BYTES // 4096):
                caller.writer.write(b"1000\r\n" + b"x" * 4096 + b"\r\n")
                await asyncio.sleep(0)
        assert (await caller.answer())[0] == 503
        assert forwarder.calls == []

    with_ingress(check)


def test_a_caller_that_stops_in_mid_body_is_told_that_the_call_did_not_run():
    """Guards against calls that wait for a body for ever, or run with a part."""

    async def check(ingress, forwarder, connect):
        for fields, sent in (
            ("Content-Length: 9", b"part"),
            ("Transfer-Encoding: chunked", b"4\r\npart\r\n"),
        ):
            caller = await connect()
            caller.send_head("q", fields, timeout_ms=200)
            caller.writer.write(sent)
            status, head = await caller.answer()
            assert status == 408
            assert "Connection: close" in head
        assert forwarder.calls == []

    with_ingress(check)


def test_a_caller_that_leaves_in_mid_body_leaves_nothing_behind():
    async def check(ingress, forwarder, connect):
        caller = await connect()
        caller.send_head("q", f"Content-Length: {len(BODY)}")
        caller.writer.write(BODY[:9000])
        await until(lambda: ingress._body_budget.held_bytes)
        caller.writer.close()
        await until(lambda: not ingress.open_calls)
        assert forwarder.calls == []

    with_ingress(check)


@pytest.mark.parametrize("pause_seconds", [0.0, 0.1])
def test_bytes_behind_a_body_are_no_part_of_it(pause_seconds):
    """Guards against a body that is longer than its length says."""

    async def check(ingress, forwarder, connect):
        forwarder.released.set()
        caller = await connect()
        caller.upload("q", b"body")
        await asyncio.sleep(pause_seconds)
        caller.writer.write(b"and more\r\n\r\n")
        async with asyncio.timeout(LIMIT_SECONDS):
            answers = await caller.reader.read()
        assert {call.body for call in forwarder.calls} <= {b"body"}
        assert answers.count(b"HTTP/1.1 200") == len(forwarder.calls)
        assert answers.count(b" 400 Bad Request\r\n") == 1

    with_ingress(check)


def test_a_call_without_a_route_is_answered_before_its_body_arrives():
    """Guards against callers that send a long body for nothing."""

    async def check(ingress, forwarder, connect):
        caller = await connect()
        caller.send_head("q", "Content-Length: 900000", path="/none/1")
        status, head = await caller.answer()
        assert status == 404
        assert "Connection: close" in head
        assert ingress._body_budget.held_bytes == 0

    with_ingress(check)


def test_a_body_that_must_make_room_is_refused_and_its_call_not_run():
    """Guards against an upload that is cut without a true answer."""

    async def check(ingress, forwarder, connect):
        caller = await connect()
        caller.send_head("q", f"Content-Length: {len(BODY)}")
        caller.writer.write(BODY[:9000])
        await until(lambda: ingress._body_budget.held_bytes == 9000)
        (connection,) = ingress._server.connections
        holding = connection.holding()
        assert holding.stage is Stage.UNFINISHED and holding.size > 9000
        assert connection.give_up()
        # What is about to be released does not count.
        assert connection.holding().size < holding.size - 9000 + 1
        status, head = await caller.answer()
        assert status == 503
        assert "Retry-After: " in head and "Connection: close" in head
        assert ingress._body_budget.held_bytes == 0
        assert forwarder.calls == []

    with_ingress(check)


@pytest.mark.parametrize("mark", [b"\xff", "é".encode()])
def test_an_id_that_is_no_text_is_refused_before_its_body_is_read(mark):
    """Guards against ids that cannot be passed on, logged or echoed."""

    async def check(ingress, forwarder, connect):
        caller = await connect()
        head = b"POST /load/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: q%b\r\n"
        caller.writer.write(head % mark + b"Content-Length: 900000\r\n\r\n")
        status, head = await caller.answer()
        assert status == 400
        assert "Request-Id" not in head and "Connection: close" in head
        assert forwarder.calls == []

    with_ingress(check)


@given(
    sizes=st.lists(
        st.tuples(st.integers(0, 5), st.integers(0, 60)), min_size=1, max_size=40
    )
)
def test_reservations_never_exceed_the_limit_and_are_given_back_whole(sizes):
    budget = BodyBudget(100)
    reservations = [budget.reserve() for _ in range(6)]
    for index, size in sizes:
        if size == 0:
            reservations[index].release()
            continue
        held = budget.held_bytes
        if not reservations[index].grow_to(size):
            assert budget.held_bytes == held
        assert 0 <= budget.held_bytes <= 100
    for reservation in reservations:
        reservation.release()
    assert budget.held_bytes == 0
