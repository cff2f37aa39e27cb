"""Calls that are sent before earlier ones of their connection are answered."""

import asyncio
import contextlib
import itertools

from aiohttp import web
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingstair.caller.connections.pipelining import (
    MAX_CALLS_AHEAD,
    MAX_WAITING_RESPONSE_BYTES,
)
from lacewingstair.caller.messages.raw_response import RawResponse
from lacewingstair.http_server import call_server, listen
from lacewingstair.standins.local import free_ports

LIMIT_SECONDS = 20.0


class Handler:
    """Answers calls when it is told to.

    Attributes
    ----------
    begun, ended, cancelled : list of str
        Names of calls, in order.
    """

    def __init__(self):
        self.begun = []
        self.ended = []
        self.cancelled = []
        self.waited_by_name = {}
        self.is_leaving = False
        self._allowed = set()
        self._changed = asyncio.Condition()

    async def handle(self, request):
        name, _, size = request.path[1:].partition("/")
        self.begun.append(name)
        self.waited_by_name[name] = request.waited_seconds
        await request.content.read()
        try:
            async with self._changed:
                await self._changed.wait_for(lambda: name in self._allowed)
        except asyncio.CancelledError:
            self.cancelled.append(name)
            raise
        self.ended.append(name)
        body = name.encode() + b"x" * int(size or 0)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % len(body)
        return RawResponse(200, head, body)

    async def allow(self, *names):
        async with self._changed:
            self._allowed.update(names)
            self._changed.notify_all()

    async def until(self, condition):
        async with asyncio.timeout(LIMIT_SECONDS):
            while not condition():  # noqa: ASYNC110 - plain state
                await asyncio.sleep(0.001)


def may_run_ahead(request):
    return request.method == "GET"


@contextlib.asynccontextmanager
async def serving(handler):
    (port,) = free_ports(1)
    server = call_server(
        handler.handle, lambda: handler.is_leaving, 8190, may_run_ahead=may_run_ahead
    )
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    (await listen(runner, f"127.0.0.1:{port}")).unwrap()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        yield server, reader, writer
    finally:
        writer.close()
        await runner.cleanup()


def request_of(name, method="GET", size=0):
    body = b"body" if method == "POST" else b""
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (
        f"{method} /{name}/{size} HTTP/1.1\r\nHost: a.example\r\n{length}\r\n".encode()
        + body
    )


async def next_answer(reader):
    """Return the name in the next answer and whether it closes the connection."""
    async with asyncio.timeout(LIMIT_SECONDS):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        length = int(head.split("Content-Length: ")[1].split("\r\n")[0])
        body = await reader.readexactly(length)
    return body.decode().rstrip("x"), "Connection: close" in head


def test_calls_that_may_be_repeated_do_not_wait_for_earlier_ones():
    """Guards against calls that are late since a slow one was sent before them."""

    async def main():
        handler = Handler()
        async with serving(handler) as (_, reader, writer):
            writer.write(request_of("a") + request_of("b"))
            await handler.until(lambda: handler.begun == ["a", "b"])
            writer.write(request_of("c"))
            await handler.until(lambda: handler.begun == ["a", "b", "c"])
            await handler.allow("c", "b")
            await handler.until(lambda: len(handler.ended) == 2)
            await handler.allow("a")
            assert [(await next_answer(reader))[0] for _ in "abc"] == ["a", "b", "c"]

    asyncio.run(main())


def test_a_call_that_may_not_be_repeated_waits_for_its_turn():
    """Guards against a call that runs although the caller gives up the one before."""

    async def main():
        handler = Handler()
        async with serving(handler) as (_, reader, writer):
            writer.write(request_of("a") + request_of("b", "POST") + request_of("c"))
            await asyncio.sleep(0.05)
            assert handler.begun == ["a"]
            await handler.allow("a")
            assert (await next_answer(reader))[0] == "a"
            await handler.until(lambda: handler.begun == ["a", "b"])
            await asyncio.sleep(0.05)
            assert handler.begun == ["a", "b"]
            await handler.allow("b", "c")
            assert [(await next_answer(reader))[0] for _ in "bc"] == ["b", "c"]
            # The time in which it waited counts for its deadline.
            assert handler.waited_by_name["b"] >= 0.05

    asyncio.run(main())


def test_the_number_of_calls_that_run_ahead_is_bounded():
    async def main():
        handler = Handler()
        names = [str(number) for number in range(MAX_CALLS_AHEAD + 4)]
        async with serving(handler) as (server, reader, writer):
            writer.write(b"".join(map(request_of, names)))
            await handler.until(lambda: len(handler.begun) == 1 + MAX_CALLS_AHEAD)
            await asyncio.sleep(0.05)
            assert len(handler.begun) == 1 + MAX_CALLS_AHEAD
            assert server.queued_calls == len(names) - 1
            await handler.allow(*names)
            assert [(await next_answer(reader))[0] for _ in names] == names
            assert server.queued_calls == 0

    asyncio.run(main())


def test_no_call_runs_ahead_while_large_responses_wait():
    """Guards against memory that a caller fills behind a slow call."""

    async def main():
        handler = Handler()
        size = MAX_WAITING_RESPONSE_BYTES
        async with serving(handler) as (_, reader, writer):
            writer.write(request_of("a") + request_of("b", size=size))
            await handler.allow("b")
            await handler.until(lambda: handler.ended == ["b"])
            writer.write(request_of("c"))
            await asyncio.sleep(0.05)
            assert handler.begun == ["a", "b"]
            await handler.allow("a", "c")
            assert [(await next_answer(reader))[0] for _ in "abc"] == ["a", "b", "c"]

    asyncio.run(main())


def test_all_calls_of_a_caller_that_leaves_are_cancelled():
    """Guards against backend servers that work for nobody."""

    async def main():
        handler = Handler()
        async with serving(handler) as (_, _, writer):
            writer.write(request_of("a") + request_of("b") + request_of("c"))
            await handler.until(lambda: len(handler.begun) == 3)
            writer.transport.abort()
            await handler.until(lambda: sorted(handler.cancelled) == ["a", "b", "c"])

    asyncio.run(main())


def test_a_connection_closes_behind_the_last_call_that_was_begun():
    """Guards against calls that are passed on and cut by an earlier response."""

    async def main():
        handler = Handler()
        async with serving(handler) as (_, reader, writer):
            writer.write(request_of("a") + request_of("b"))
            await handler.until(lambda: len(handler.begun) == 2)
            await handler.allow("b")
            await handler.until(lambda: handler.ended == ["b"])
            handler.is_leaving = True
            await handler.allow("a")
            assert await next_answer(reader) == ("a", False)
            assert await next_answer(reader) == ("b", True)
            writer.write(request_of("c"))
            assert await reader.read() == b""
            assert handler.begun == ["a", "b"]

    asyncio.run(main())


def test_input_that_is_no_request_is_answered_behind_the_calls_before_it():
    """Guards against a connection that ends without a word."""

    async def main():
        handler = Handler()
        async with serving(handler) as (_, reader, writer):
            writer.write(request_of("a"))
            await handler.until(lambda: handler.begun == ["a"])
            writer.write(b"no request\r\n\r\n")
            await handler.allow("a")
            assert (await next_answer(reader))[0] == "a"
            async with asyncio.timeout(LIMIT_SECONDS):
                assert b" 400 Bad Request\r\n" in await reader.read()

    asyncio.run(main())


CALLS = st.lists(
    st.tuples(st.sampled_from(["GET", "GET", "POST"]), st.sampled_from([0, 300_000])),
    min_size=1,
    max_size=9,
)


@settings(max_examples=40, deadline=None)
@given(
    calls=CALLS,
    order=st.randoms(use_true_random=False),
    cuts=st.lists(st.integers(0, 900), max_size=4),
    leaves_after=st.integers(0, 12),
)
def test_each_call_that_begins_is_answered_once_and_in_order(
    calls, order, cuts, leaves_after
):
    """Guards against answers that are crossed, lost or doubled on one connection."""

    async def main():
        handler = Handler()
        names = [str(number) for number in range(len(calls))]
        data = b"".join(
            request_of(name, method, size)
            for name, (method, size) in zip(names, calls, strict=True)
        )
        shuffled = list(names)
        order.shuffle(shuffled)

        async def answer_all():
            for number, name in enumerate(shuffled):
                handler.is_leaving = handler.is_leaving or number >= leaves_after
                await handler.allow(name)
                await asyncio.sleep(0)

        async with serving(handler) as (_, reader, writer):
            answering = asyncio.create_task(answer_all())
            bounds = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
            for start, end in itertools.pairwise(bounds):
                writer.write(data[start:end])
                await asyncio.sleep(0.001)
            answers = []
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while len(answers) < len(names):
                    answers.append(await next_answer(reader))
            await answering
        answered = [name for name, _ in answers]
        assert answered == names[: len(answered)]
        assert sorted(handler.begun, key=int) == answered
        closes = [closes for _, closes in answers]
        assert not any(closes[:-1])
        assert closes[-1] or len(answered) == len(names)

    asyncio.run(main())
