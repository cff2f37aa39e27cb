"""Connections with limits on their clients, without a network."""

import asyncio

import attrs
import pytest
from aiohttp import web
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingstair.caller.connections import parsing_pace
from lacewingstair.caller.connections.client_limits import DEFAULT_LIMITS, CloseReason
from lacewingstair.caller.connections.connection_guard import ConnectionGuard
from lacewingstair.caller.connections.guarded_connection import MAX_CHUNKED_PART
from lacewingstair.caller.messages.raw_response import RawResponse
from lacewingstair.http_server import call_server

LIMITS = attrs.evolve(
    DEFAULT_LIMITS, max_head_bytes=300, max_empty_line_bytes=64, max_framing_bytes=200
)
GET = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nb\r\n\r\nb\r\n\r"
CHUNKED = (
    b"POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"4;x=y\r\n\r\n\r\n\r\n05\r\nhello\r\n0\r\nT: u\r\n\r\n"
)
BODIES = {b"/a": b"", b"/b": b"b\r\n\r\nb\r\n\r", b"/c": b"\r\n\r\nhello"}


class Transport(asyncio.Transport):
    def __init__(self):
        super().__init__()
        self.written = b""
        self.is_aborted = False
        self.is_ended = False
        self.is_paused = False

    def write(self, data):
        self.written += data

    def write_eof(self):
        self.is_ended = True

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return self.is_aborted or self.is_ended

    def abort(self):
        self.is_aborted = True

    def close(self):
        self.is_ended = True

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False


async def echo(request):
    body = await request.read()
    text = request.path.encode() + b" " + body
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % len(text)
    return RawResponse(200, head, text)


def with_connection(check, handle=echo, limits=LIMITS):
    async def main():
        guard = ConnectionGuard(limits)
        server = call_server(handle, lambda: False, 8190, guard=guard)
        connection, transport = server(), Transport()
        connection.connection_made(transport)
        await settle()
        await check(guard, connection, transport)
        connection.connection_lost(None)
        await settle()

    asyncio.run(main())


async def settle():
    for _ in range(300):
        await asyncio.sleep(0)


@given(
    st.lists(st.sampled_from([GET, POST, CHUNKED, b"\r\n" + GET]), max_size=9),
    st.lists(st.integers(1, 900), max_size=9),
)
@settings(max_examples=200)
def test_calls_are_answered_however_their_bytes_are_cut(requests, cuts):
    """Guards against a client inside the limits that is refused, or waits for ever."""
    data = b"".join(requests)

    async def check(guard, connection, transport):
        sent = 0
        for end in sorted({*(cut for cut in cuts if cut < len(data)), len(data)}):
            connection.data_received(data[sent:end])
            sent = end
            await asyncio.sleep(0)
        await settle()
        paths = [request.strip().split()[1] for request in requests]
        expected = [path + b" " + BODIES[path] for path in paths]
        parts = transport.written.split(b"HTTP/1.1 200 OK\r\n")[1:]
        assert [part.partition(b"\r\n\r\n")[2] for part in parts] == expected
        # The time of a head runs for none that has not begun.
        for _ in range(10):
            guard.sweep()
        assert not guard.closed_by_reason

    with_connection(check)


@pytest.mark.parametrize(
    ("sent", "status", "reason"),
    [
        (b"GET /a HTTP/1.1\r\nA: " + b"a" * 300, 431, CloseReason.HEAD_TOO_LARGE),
        (GET[:-2] + b"A: b\r\n" * 60 + b"\r\n", 431, CloseReason.HEAD_TOO_LARGE),
        (b"\r\n" * 50, 400, CloseReason.EMPTY_LINES),
        (CHUNKED[:66] + b"a" * 400, 400, CloseReason.FRAMING),
        (b"\x00\xff", 400, CloseReason.MALFORMED),
    ],
)
def test_input_beyond_a_limit_is_refused_behind_earlier_calls(sent, status, reason):
    """Guards against a refusal that is taken for the answer of an earlier call."""

    async def check(guard, connection, transport):
        connection.data_received(GET)
        connection.data_received(sent)
        connection.data_received(GET)
        await settle()
        first, _, rest = transport.written.partition(b"/a ")
        assert first.startswith(b"HTTP/1.1 200 ")
        # aiohttp answers input that is no request as HTTP/1.0, which ends with it.
        assert rest[:8] in (b"HTTP/1.0", b"HTTP/1.1")
        assert rest[8:].startswith(b" %d " % status)
        assert rest.count(b"HTTP/1.") == 1
        assert transport.is_ended and not transport.is_aborted
        assert guard.closed_by_reason[reason] == 1

    with_connection(check, refuse_body)


async def refuse_body(request):
    try:
        return await echo(request)
    except Exception:
        lines = b"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n"
        return RawResponse(400, lines, b"", may_keep_connection=False)


def test_a_head_that_takes_too_long_is_refused():
    async def check(guard, connection, transport):
        for second in range(int(LIMITS.head_seconds)):
            connection.data_received(b"GET /" if not second else b"x")
            guard.sweep()
        await settle()
        assert not transport.written
        guard.sweep()
        await settle()
        assert transport.written.startswith(b"HTTP/1.0 408 ")

    with_connection(check)


def test_no_call_begins_while_a_client_takes_no_answers():
    """Guards against responses that gather in the memory of the process."""

    async def check(guard, connection, transport):
        connection.pause_writing()
        connection.data_received(GET * 5)
        await settle()
        assert transport.written.count(b"HTTP/1.1") == 1
        connection.resume_writing()
        await settle()
        assert transport.written.count(b"HTTP/1.1") == 5

    with_connection(check)


def test_an_idle_connection_makes_room_for_a_new_one():
    """Guards against clients that keep all connections and send nothing."""

    async def check(guard, connection, transport):
        server = connection._manager
        server.max_connections = 1
        connection.data_received(GET)
        await settle()
        assert not isinstance(server(), type(connection))
        for _ in range(int(LIMITS.idle_seconds) + 2):
            guard.sweep()
        assert isinstance(server(), type(connection))
        assert transport.is_aborted
        reasons = (CloseReason.CONNECTIONS, CloseReason.IDLE)
        assert [guard.closed_by_reason[reason] for reason in reasons] == [1, 1]

    with_connection(check)


def test_a_connection_that_sends_takes_the_place_of_one_that_has_not():
    """Guards against clients that keep all connections and send nothing."""

    async def check(guard, connection, transport):
        server = connection._manager
        server.max_connections = 1
        waiting, other = server(), Transport()
        other.get_protocol = lambda: other.protocol
        other.set_protocol = lambda found: setattr(other, "protocol", found)
        other.protocol = waiting
        waiting.connection_made(other)
        assert not transport.is_aborted
        waiting.data_received(GET)
        await settle()
        assert transport.is_aborted and guard.closed_by_reason[CloseReason.IDLE] == 1
        assert other.written.startswith(b"HTTP/1.1 200 ")
        # The other one has sent something, and keeps its place.
        connection.connection_lost(None)
        assert not server.silent_connections
        assert not isinstance(server(), type(connection))
        assert guard.closed_by_reason[CloseReason.CONNECTIONS] == 1
        other.protocol.connection_lost(None)

    with_connection(check)


def test_a_body_of_small_chunks_arrives_whole_at_its_pace(monkeypatch):
    """Guards against a body that waits for ever, and timers that multiply."""
    monkeypatch.setattr(parsing_pace, "BURST_SECONDS", 0.0)
    monkeypatch.setattr(parsing_pace, "SHARE", 0.9)
    body = bytes(range(256)) * 40
    chunked = b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"

    async def check(guard, connection, transport):
        loop, timers = asyncio.get_running_loop(), []
        call_later = loop.call_later

        def count_timer(delay, callback, *arguments):
            # The pauses of this test are timers, too.
            if callback == guard._parse_next:
                timers.append(delay)
            return call_later(delay, callback, *arguments)

        monkeypatch.setattr(loop, "call_later", count_timer)
        connection.data_received(CHUNKED.partition(b"4;")[0] + chunked)
        async with asyncio.timeout(60):
            while body not in transport.written:  # noqa: ASYNC110 - plain state
                await asyncio.sleep(0.001)
        parts = len(chunked) / MAX_CHUNKED_PART
        assert 0 < len(timers) <= 2 * parts + 2

    with_connection(check, limits=attrs.evolve(LIMITS, max_framing_bytes=1 << 20))


@pytest.mark.parametrize("burst_seconds", [0.0, 60.0])
@pytest.mark.parametrize("piece_bytes", [3000, 30_000, 100_000])
@pytest.mark.parametrize("is_chunked", [True, False])
def test_a_client_that_sends_only_when_it_may_is_not_forgotten(
    monkeypatch, burst_seconds, piece_bytes, is_chunked
):
    """Guards against a pause of reading that nothing ends."""
    monkeypatch.setattr(parsing_pace, "BURST_SECONDS", burst_seconds)
    monkeypatch.setattr(parsing_pace, "SHARE", 0.9)
    if is_chunked:
        body = bytes(range(256)) * 60
        chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body)
        data = CHUNKED.partition(b"4;")[0] + chunks + b"0\r\n\r\n" + GET
    else:
        body = bytes(range(256)) * 3000
        data = POST.partition(b"9\r\n")[0] + b"%d\r\n\r\n" % len(body) + body + GET

    async def check(guard, connection, transport):
        sent = 0
        async with asyncio.timeout(60):
            while transport.written.count(b"HTTP/1.1 200") < 2:
                await asyncio.sleep(0.0005)
                while not transport.is_paused and sent < len(data):
                    connection.data_received(data[sent : sent + piece_bytes])
                    sent += piece_bytes
        assert body in transport.written

    with_connection(check, slow_echo, attrs.evolve(LIMITS, max_framing_bytes=1 << 20))


async def slow_echo(request):
    parts = []
    while part := await request.content.readany():
        parts.append(part)
        await asyncio.sleep(0.002)
    text = request.path.encode() + b" " + b"".join(parts)
    return RawResponse(
        200, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % len(text), text
    )


def test_a_response_that_is_written_in_parts_is_not_cut_off():
    """Guards against a long download that is closed although its client reads."""

    async def stream(request):
        response = web.StreamResponse()
        await response.prepare(request)
        for _ in range(4 * int(LIMITS.answer_seconds)):
            await response.write(bytes(int(LIMITS.min_answer_rate)))
            await asyncio.sleep(0)
        return response

    async def check(guard, connection, transport):
        transport.get_write_buffer_size = lambda: 100
        connection.data_received(GET)
        for _ in range(4 * int(LIMITS.answer_seconds)):
            await asyncio.sleep(0)
            guard.sweep()
        assert transport.written and not transport.is_aborted
        # The client has stopped.
        for _ in range(int(LIMITS.answer_seconds) + 3):
            guard.sweep()
        assert transport.is_aborted

    with_connection(check, stream)


def test_a_connection_that_is_closed_releases_what_waits_at_once():
    """Guards against many heads that are held until the next event of the loop."""

    async def check(guard, connection, transport):
        connection.data_received(GET * 9)
        connection.data_received(b"GET /" + b"a" * 200)
        assert connection.holding().size > 9 * 320
        connection.abort()
        assert connection.holding().size == 0
        assert transport.is_aborted

    with_connection(check, limits=attrs.evolve(LIMITS, max_head_bytes=400))
