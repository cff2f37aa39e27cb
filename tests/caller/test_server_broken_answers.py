"""Responses of faulty backend servers, as seen by callers of the daemon."""

import asyncio
import contextlib

import pytest

from tests.caller.test_server import LoopbackProxy, get

HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 40\r\n\r\n",
    "empty": b"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 0\r\n\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "no content": b"HTTP/1.1 204 No Content\r\nA: b\r\n\r\n",
}
REFUSAL = (
    b"HTTP/1.1 503 X\r\nLacewingstair-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"
)
ANSWER = b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok"


@pytest.mark.parametrize("name", HEADS)
def test_a_truncated_head_is_no_response(name):
    """Guards against a 200 with an empty body for a response that never arrived."""
    part = b""

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(part)
            await writer.drain()
            writer.write_eof()
            await reader.read()
        writer.transport.abort()

    async def main():
        nonlocal part
        found = set()
        async with LoopbackProxy().running(serve) as site:
            for size in range(1, len(HEADS[name])):
                part = HEADS[name][:size]
                found.add((await site.exchange(get("/read/x")))[:12])
        return found

    assert asyncio.run(main()) == {b"HTTP/1.1 502"}


@pytest.mark.parametrize("pause_seconds", [0.0, 0.1])
def test_a_duplicate_refusal_refuses_no_later_call(pause_seconds):
    """Guards against a running call reported as not run after a duplicate refusal."""
    runs = []

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            has_refused = False
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"/read/refused" in head:
                    has_refused = True
                    writer.write(REFUSAL)
                    continue
                runs.append(head)
                if has_refused:
                    writer.write(REFUSAL)
                await asyncio.sleep(pause_seconds)
                writer.write(ANSWER)
        writer.transport.abort()

    async def main():
        async with LoopbackProxy().running(serve) as site:
            refused = await site.exchange(get("/read/refused", method="POST"))
            return refused, await site.exchange(get("/read/run", method="POST"))

    refused, answered = asyncio.run(main())
    assert refused.startswith(b"HTTP/1.1 503")
    assert answered.startswith(b"HTTP/1.1 200") and len(runs) == 1
