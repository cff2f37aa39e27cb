import asyncio
import contextlib
import json
import math
import random

import pytest
from aiohttp import web

from lacewingstair.caller.server import CallServer
from lacewingstair.tickets.acceptance import TicketRecord
from lacewingstair.tickets.state_store import StateStore
from lacewingstair.vm.directory import Directory, Endpoint, VmRecord
from tests.memory import traced_peak
from tests.platform.upstream_standin import (
    ENDLESS_FRAMING,
    ENDLESS_HEADS,
    UpstreamStandIn,
)

TICKET = {
    "number": 1,
    "services": {"board": {"versions": ["v1"], "current": "v1"}},
    "routes": {
        "read": {
            "service": "board",
            "path_prefix": "/read",
            "max_body_bytes": 500000,
            "timeout_ms": 60000,
        },
        "short": {"service": "board", "path_prefix": "/short", "timeout_ms": 50},
    },
}
ANSWERS = {
    "/read/no-content": b"HTTP/1.1 204 No Content\r\n\r\n",
    "/read/not-modified": b'HTTP/1.1 304 Not Modified\r\nETag: "a"\r\n\r\n',
    "/read/early": b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "/read/chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    b"Trailer: Sum\r\n\r\n2\r\nok\r\n0\r\nSum: 1\r\n\r\n",
    "/read/cut-length": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok",
    "/read/cut-chunk": b"HTTP/1.1 200 OK\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
    "/read/no-length": b"HTTP/1.1 200 OK\r\n\r\nok",
    "/read/both": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "/read/switch": b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
    "/read/stray": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: b\rC: d\r\n\r\nok",
    "/read/fold": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: b\r\n C: d\r\n\r\nok",
    "/read/line-feed": b"HTTP/1.1 200 OK\nContent-Length: 2\nA: b\n\nok",
    "/read/garbage": b"hello\r\n\r\n",
}


def closing_handler(handler):
    """Return a handler that closes its connection however it ends."""

    async def serve(reader, writer):
        try:
            await handler(reader, writer)
        finally:
            writer.close()

    return serve


class LoopbackProxy:
    """Call server and scripted backend servers on loopback sockets."""

    def __init__(self):
        self.requests = []

    @contextlib.asynccontextmanager
    async def running(self, handler=None, upstreams=1, ticket=TICKET):
        store = StateStore()
        store.apply([TicketRecord(0, json.dumps(ticket))])
        self.directory = directory = Directory()
        backends = []
        answer = closing_handler(handler or self.script)
        for number in range(upstreams):
            backend = await asyncio.start_server(answer, "127.0.0.1", 0)
            backends.append(backend)
            address = f"127.0.0.1:{backend.sockets[0].getsockname()[1]}"
            endpoints = (Endpoint("board", "v1", address),)
            directory.merge(
                VmRecord(str(number), "r", "z", "-", 1, endpoints=endpoints)
            )
        self.calls = CallServer(store, directory, random.Random(1))
        server = self.calls.http_server()
        self.runner = web.ServerRunner(server, shutdown_timeout=5.0)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]
        try:
            yield self
        finally:
            await self.calls.close()
            await self.runner.cleanup()
            for backend in backends:
                backend.close()

    async def script(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ")[1].decode()
                body = await read_body(reader, head)
                self.requests.append((head, body))
                if path == "/short/silent":
                    continue
                echo = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
                is_head = head.startswith(b"HEAD")
                writer.write(ANSWERS.get(path, echo + (b"" if is_head else body)))
                if "cut" in path:
                    break
        writer.close()

    async def exchange(self, *parts, until_eof=True):
        """Send bytes, and return what is received until the connection closes."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        for part in parts:
            writer.write(part)
        received = b""
        with contextlib.suppress(ConnectionError):
            received = await (reader.read() if until_eof else reader.read(65536))
        writer.close()
        return received


async def read_body(reader, head):
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return await reader.readexactly(int(line.partition(b":")[2]))
        if line == b"transfer-encoding: chunked":
            body = b""
            while size := int(await reader.readline(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
            return body
    return b""


def get(path, *lines, method="GET"):
    head = [f"{method} {path} HTTP/1.1", "Host: a", "Connection: close", *lines]
    return "\r\n".join(head).encode() + b"\r\n\r\n"


def exchange(*parts):
    async def main():
        async with LoopbackProxy().running() as site:
            return await site.exchange(*parts), site.requests

    return asyncio.run(main())


@pytest.mark.parametrize(
    ("path", "method", "status", "body"),
    [
        ("/read/no-content", "GET", b"204", b""),
        ("/read/not-modified", "GET", b"304", b""),
        ("/read/early", "GET", b"200", b"ok"),
        ("/read/chunked", "GET", b"200", b"2\r\nok\r\n0\r\n\r\n"),
        ("/read/echo", "HEAD", b"200", b""),
        ("/read/no-length", "POST", b"502", None),
        ("/read/both", "POST", b"502", None),
        ("/read/switch", "POST", b"502", None),
        ("/read/garbage", "POST", b"502", None),
    ],
)
def test_each_form_of_answer_arrives_whole_or_as_unknown(path, method, status, body):
    """Guards against responses truncated, extended or forwarded though unusable."""
    received, _ = exchange(get(path, method=method))
    head, _, rest = received.partition(b"\r\n\r\n")
    assert head.split(b" ")[1] == status
    assert (b"Lacewingstair-Outcome: unknown" in head) == (body is None)
    if body is not None:
        assert rest == body


@pytest.mark.parametrize("path", ["/read/cut-length", "/read/cut-chunk"])
def test_a_truncated_answer_never_looks_whole(path):
    """Guards against a partial response that a caller takes for a complete one."""
    received, _ = exchange(get(path))
    assert not received.endswith(b"0\r\n\r\n")
    assert b"Content-Length: 2" not in received


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (get("/read", "Content-Length: 1", "Transfer-Encoding: chunked"), b"400"),
        (get("/read", "Content-Length: 1", "Content-Length: 2"), b"400"),
        (get("/read", "Content-Length: +1"), b"400"),
        (get("/read", "Transfer-Encoding: gzip, chunked"), b"501"),
        (get("/read", "Transfer-Encoding: xchunked"), b"400"),
        (get("/read", "A: b\x00c"), b"400"),
        (get("/read", "A : b"), b"400"),
        (get("/read", " folded"), b"400"),
        (get("/read", "Host: b"), b"400"),
        (get("/read/../admin"), b"400"),
        (get("/read/%2e%2E/admin"), b"400"),
        (get("/read/" + "a" * 9000), b"400"),
        (get("/read", "A: " + "a" * 9000), b"400"),
        (get("/read", *(f"A{i}: {'b' * 250}" for i in range(200))), b"431"),
        (get("/read", "Expect: magic"), b"417"),
        (get("/read", "Upgrade: websocket"), b"501"),
        (get("/read", "Lacewingstair-Deadline-Ms: soon"), b"400"),
        (get("/read", "Lacewingstair-Deadline-Ms: 0"), b"504"),
        (get("/read", "Content-Length: 500001", method="POST"), b"413"),
        (get("/other"), b"404"),
    ],
)
def test_an_ambiguous_request_is_refused_before_dispatch(request_bytes, status):
    """Guards against request smuggling and unbounded input."""
    received, requests = exchange(request_bytes)
    assert received.split(b" ")[1] == status
    assert not requests


def test_header_lines_are_limited_by_their_bytes_and_not_by_their_number():
    """Guards against a proper request that is refused for its short lines."""
    received, requests = exchange(get("/read", *(f"A{i}: b" for i in range(2000))))
    assert received.split(b" ")[1] == b"200"
    assert len(requests) == 1


@pytest.mark.parametrize("size", [0, 10, 200_000])
@pytest.mark.parametrize("is_chunked", [False, True])
def test_bodies_arrive_whole_in_both_directions(size, is_chunked):
    """Guards against bodies truncated or reframed wrongly, buffered or streamed."""
    body = random.Random(size).randbytes(size)
    if is_chunked:
        chunks = (body[i : i + 30000] for i in range(0, size, 30000))
        framed = b"".join(b"%x\r\n%b\r\n" % (len(c), c) for c in chunks)
        parts = (get("/read", "Transfer-Encoding: chunked", method="PUT"), framed)
        parts = (*parts, b"0\r\n\r\n")
    else:
        parts = (get("/read", f"Content-Length: {size}", method="PUT"), body)
    received, requests = exchange(*parts)
    assert received.partition(b"\r\n\r\n")[2] == body
    assert [got for _, got in requests] == [body]


def test_responses_on_a_kept_alive_connection_match_their_requests():
    """Guards against mixed-up responses of pipelined calls."""

    async def main():
        async with LoopbackProxy().running() as site:
            reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
            bodies = [b"first", b"", b"third" * 5000, b"fourth"]
            for body in bodies:
                lines = f"PUT /read HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}"
                writer.write(lines.encode() + b"\r\n\r\n" + body)
            for body in bodies:
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200")
                assert b"Content-Length: %d\r\n" % len(body) in head
                assert await reader.readexactly(len(body)) == body
            writer.close()

    asyncio.run(main())


@pytest.mark.parametrize("path", ["/read/stray", "/read/fold", "/read/line-feed"])
def test_a_stray_line_end_in_an_answer_adds_no_header(path):
    """Guards against header injection through a lenient response parser."""
    head = get(path).replace(b"Connection: close\r\n", b"")

    async def main():
        async with LoopbackProxy().running() as site:
            return await site.exchange(head, until_eof=False)

    received = asyncio.run(main()).partition(b"\r\n\r\n")[0]
    assert received.startswith((b"HTTP/1.1 200", b"HTTP/1.1 502"))
    assert received.count(b"\r") == received.count(b"\n") == received.count(b"\r\n")
    assert b"\nC: d" not in received


def test_a_streamed_body_over_the_limit_is_refused_and_never_looks_whole():
    """Guards against unbounded uploads, and truncated ones taken for complete."""
    chunk = b"ffff\r\n" + b"x" * 0xFFFF + b"\r\n"
    head = get("/read", "Transfer-Encoding: chunked", method="POST")
    received, requests = exchange(head, chunk * 9, b"0\r\n\r\n")
    assert received.split(b" ")[1] == b"413"
    assert not requests


def test_expect_is_answered_and_hop_by_hop_headers_are_not_forwarded():
    """Guards against callers that wait for 100, and hop-by-hop headers upstream."""

    async def main():
        async with LoopbackProxy().running() as site:
            reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
            lines = ["Expect: 100-continue", "Content-Length: 2", "Keep-Alive: 5"]
            head = get("/read", *lines, "X-A: 1", method="POST")
            writer.write(head.replace(b"close", b"close, x-a"))
            assert await reader.readuntil(b"\r\n\r\n") == (
                b"HTTP/1.1 100 Continue\r\n\r\n"
            )
            writer.write(b"ok")
            assert (await reader.read()).endswith(b"ok")
            writer.close()
            sent = site.requests[0][0].lower()
            for name in (b"expect:", b"connection:", b"x-a:", b"keep-alive:"):
                assert name not in sent

    asyncio.run(main())


def test_a_silent_upstream_ends_the_call_as_unknown_at_its_deadline():
    """Guards against calls that hang, and against a false not-run."""
    received, _ = exchange(get("/short/silent", method="POST"))
    assert received.split(b" ")[1] == b"504"
    assert b"Lacewingstair-Outcome: unknown" in received


def exchange_with_endless_response(behaviour, request_bytes, trickle_seconds=0.0):
    """Return what the caller receives, and the peak memory use until the end."""

    async def main():
        upstream = UpstreamStandIn()
        upstream.behaviour = behaviour
        upstream.trickle_seconds = trickle_seconds
        async with LoopbackProxy().running(upstream.serve) as site:
            with traced_peak() as peak:
                async with asyncio.timeout(10.0):
                    received = await site.exchange(request_bytes)
                    while upstream.connections:  # noqa: ASYNC110 - it is plain state
                        await asyncio.sleep(0.01)
        return received, peak.bytes

    return asyncio.run(main())


MAX_ENDLESS_PEAK_BYTES = 4 << 20


@pytest.mark.parametrize(
    "behaviour",
    # Stray responses cannot be detected here, as calls have no ids.
    [name for name in ENDLESS_HEADS if "stray" not in name],
)
def test_an_endless_head_is_answered_as_unknown_before_the_deadline(behaviour):
    """Guards against calls that wait until the deadline, and a false not-run."""
    received, peak_bytes = exchange_with_endless_response(
        behaviour, get("/read", method="POST")
    )
    assert received.split(b" ")[1] == b"502"
    assert b"Lacewingstair-Outcome: unknown" in received
    assert peak_bytes < MAX_ENDLESS_PEAK_BYTES


@pytest.mark.parametrize("behaviour", ENDLESS_FRAMING)
def test_endless_framing_never_looks_whole_and_ends_before_the_deadline(behaviour):
    """Guards against streams that last until the deadline without body bytes."""
    received, peak_bytes = exchange_with_endless_response(
        behaviour, get("/read", method="POST")
    )
    assert not received.endswith(b"0\r\n\r\n")
    assert peak_bytes < MAX_ENDLESS_PEAK_BYTES


@pytest.mark.parametrize(
    "behaviour", ["endless chunked body", "endless body of a large length"]
)
def test_an_endless_body_ends_with_the_time_of_the_call_and_never_looks_whole(
    behaviour,
):
    """Guards against streams that never end."""
    request = get("/read", "Lacewingstair-Deadline-Ms: 500", method="POST")
    received, _ = exchange_with_endless_response(behaviour, request, 0.01)
    assert received.startswith(b"HTTP/1.1 200")
    assert not received.endswith(b"0\r\n\r\n")


def test_a_caller_that_does_not_read_an_endless_body_costs_no_memory():
    """Guards against bodies that accumulate in memory until the deadline."""

    async def main():
        upstream = UpstreamStandIn()
        upstream.behaviour = "endless chunked body"
        async with LoopbackProxy().running(upstream.serve) as site:
            with traced_peak() as peak:
                _, writer = await asyncio.open_connection("127.0.0.1", site.port)
                writer.write(get("/read"))
                written = -1
                while written != upstream.endless_bytes or written <= 0:
                    written = upstream.endless_bytes
                    await asyncio.sleep(0.1)
            writer.transport.abort()
            async with asyncio.timeout(10.0):
                while upstream.connections:  # noqa: ASYNC110 - it is plain state
                    await asyncio.sleep(0.01)
        return peak.bytes

    assert asyncio.run(main()) < MAX_ENDLESS_PEAK_BYTES


@pytest.mark.parametrize(
    "behaviour", ["endless header line", "endless interim answers"]
)
def test_a_head_that_trickles_in_ends_with_the_time_of_the_call(behaviour):
    """Guards against slow drip responses that hold calls and connections open."""
    request = get("/read", "Lacewingstair-Deadline-Ms: 500", method="POST")
    received, _ = exchange_with_endless_response(behaviour, request, 0.01)
    assert received.split(b" ")[1] == b"504"
    assert b"Lacewingstair-Outcome: unknown" in received


def test_a_stop_finishes_the_call_in_flight_and_closes_kept_alive_connections():
    """Guards against calls that a planned stop aborts."""

    async def main():
        release = asyncio.Event()
        arrived = asyncio.Event()

        async def slow(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            arrived.set()
            await release.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")

        async with LoopbackProxy().running(slow) as site:
            head = b"GET /read HTTP/1.1\r\nHost: a\r\n\r\n"
            call = asyncio.create_task(site.exchange(head))
            await arrived.wait()
            site.calls.start_draining(math.inf)
            stopping = asyncio.create_task(site.runner.cleanup())
            await asyncio.sleep(0)
            release.set()
            received = await call
            await stopping
        assert received.endswith(b"done")
        assert b"Connection: close" in received

    asyncio.run(main())


@pytest.mark.parametrize("inner_status", [b"503 X", b"502 X"])
def test_layers_of_callers_do_not_multiply_attempts(inner_status):
    """Guards against 2 ** 25 calls of a failing inner service by nested retries."""

    async def main():
        heads = []

        async def innermost(reader, writer):
            heads.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(b"HTTP/1.1 " + inner_status + b"\r\nContent-Length: 0\r\n\r\n")
            writer.close()

        def layer_before(site):
            async def forward(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(await site.exchange(get("/read")))
                writer.close()

            return forward

        async with contextlib.AsyncExitStack() as stack:
            handler = innermost
            for _ in range(4):
                running = LoopbackProxy().running(handler, upstreams=2)
                site = await stack.enter_async_context(running)
                handler = layer_before(site)
            received = await site.exchange(get("/read"))
        assert received.startswith(b"HTTP/1.1 " + inner_status[:3])
        assert len(heads) == 2
        assert [b"Lacewingstair-Retry: no" in head for head in heads] == [False, True]

    asyncio.run(main())


def test_a_caller_that_disconnects_closes_the_upstream_connection():
    """Guards against upstream work for disconnected callers."""

    async def main():
        arrived = asyncio.Event()
        closed = asyncio.Event()

        async def hold(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            arrived.set()
            await reader.read()
            closed.set()

        async with LoopbackProxy().running(hold) as site:
            _, writer = await asyncio.open_connection("127.0.0.1", site.port)
            writer.write(get("/read"))
            await arrived.wait()
            writer.close()
            async with asyncio.timeout(5):
                await closed.wait()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("statuses", "fields", "status", "outcome", "attempts"),
    [
        ([418, 503], b"", b"418", b"not-run", 2),
        ([418, 503], b"Lacewingstair-Outcome: unknown\r\n", b"418", b"unknown", 1),
        ([503], b"", b"418", None, 1),
        ([], b"", b"418", None, 1),
    ],
)
def test_not_run_statuses_of_a_service_mark_refusals(
    statuses, fields, status, outcome, attempts
):
    """Guards against configured statuses with no effect, or with too much."""
    board = {**TICKET["services"]["board"], "not_run_statuses": statuses}
    received = []

    async def refuse(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                received.append(await reader.readuntil(b"\r\n\r\n"))
                head = b"HTTP/1.1 418 X\r\n%bContent-Length: 4\r\n\r\n" % fields
                writer.write(head + b"busy")
        writer.close()

    async def main():
        ticket = {**TICKET, "services": {"board": board}}
        kept = b"POST /read/1 HTTP/1.1\r\nHost: a\r\n\r\n"
        async with LoopbackProxy().running(refuse, upstreams=2, ticket=ticket) as site:
            return await site.exchange(kept, get("/read/2", method="POST"))

    answers = asyncio.run(main()).split(b"HTTP/1.1 ")[1:]
    assert len(answers) == 2
    for answer in answers:
        head, _, body = answer.partition(b"\r\n\r\n")
        assert head.startswith(status)
        assert body == b"busy"
        outcomes = [
            line.partition(b": ")[2]
            for line in head.split(b"\r\n")
            if line.startswith(b"Lacewingstair-Outcome")
        ]
        assert outcomes == ([] if outcome is None else [outcome])
    assert len(received) == 2 * attempts
