import asyncio

import pytest

from lacewingstair.backend_server.admission_proxy import AdmissionProxy
from lacewingstair.runtime import SystemClock
from lacewingstair.vm.call_messages import CallAnswer, CallFailed
from tests.backend_server.harness import identity, request

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: b\r\nResponse-Signature: s\r\n"
FRAMINGS = {
    "length": b"Content-Length: 40\r\n\r\n",
    "empty": b"Content-Length: 0\r\n\r\n",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n",
    "none": b"X: y\r\n\r\n",
    "close": b"Connection: close\r\n\r\n",
}
COMPLETE = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Signature: s\r\n"
COMPLETE += b"Content-Length: 2\r\n\r\nok"


class BrokenUpstream:
    """Sends a complete response to the first call and a partial head to the second."""

    def __init__(self, part):
        self.part = part

    async def serve(self, reader, writer):
        try:
            if self.part is not None:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(COMPLETE)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.part)
            await writer.drain()
            writer.write_eof()
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.transport.abort()


@pytest.mark.parametrize("framing", FRAMINGS)
def test_truncated_response_head_fails_the_call(framing):
    """Guards against a 200 with an empty body after a truncated response head."""
    response = HEAD + FRAMINGS[framing]

    async def outcome_of(upstream, server):
        host, port = server.sockets[0].getsockname()
        proxy = AdmissionProxy("board", f"{host}:{port}", SystemClock())
        proxy.set_identity(identity())
        assert isinstance(await proxy.run(request("a")), CallAnswer)
        outcome = await proxy.run(request("b"))
        proxy.close()
        return outcome

    async def main():
        upstream = BrokenUpstream(b"")
        server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
        for size in range(1, len(response)):
            upstream.part = response[:size]
            outcome = await outcome_of(upstream, server)
            assert isinstance(outcome, CallFailed), (response[:size], outcome)
        server.close()

    asyncio.run(main())
