"""Responses that other VMs take more slowly than the backend server sends them."""

import asyncio

from lacewingstair.backend_server.admission_proxy import AdmissionProxy
from lacewingstair.backend_server.response_memory import MAX_UNSENT_BYTES
from lacewingstair.runtime import SystemClock
from lacewingstair.vm.call_messages import CallAnswer
from tests.backend_server.harness import identity, request

BODY_BYTES = 8 << 20
SMALL_BYTES = 1000


async def _serve(reader, writer):
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            size = SMALL_BYTES if b"small" in head else BODY_BYTES
            writer.write(
                b"HTTP/1.1 200 X\r\nRequest-Id: a\r\nResponse-Signature: s\r\n"
                b"Content-Length: %d\r\n\r\n" % size
            )
            writer.write(bytes(size))
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.transport.abort()


def test_large_responses_wait_until_other_vms_have_taken_earlier_ones():
    """Guards against responses that gather in a process whose callers read slowly."""

    async def main():
        server = await asyncio.start_server(_serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        proxy = AdmissionProxy("board", f"{host}:{port}", SystemClock())
        proxy.set_identity(identity())
        unsent = MAX_UNSENT_BYTES + 1
        proxy.count_unsent(lambda: unsent)
        large = asyncio.create_task(proxy.run(request(remaining_ms=20_000.0)))
        small = request(target="/small", remaining_ms=20_000.0)
        outcome = await proxy.run(small)
        assert isinstance(outcome, CallAnswer) and len(outcome.body) == SMALL_BYTES
        await asyncio.sleep(0.3)
        assert not large.done()
        assert proxy.buffered_response_bytes < BODY_BYTES / 8
        unsent = MAX_UNSENT_BYTES
        outcome = await large
        assert isinstance(outcome, CallAnswer) and len(outcome.body) == BODY_BYTES
        proxy.close()
        server.close()
        # The ends of the connections are handled.
        await asyncio.sleep(0.05)

    asyncio.run(main())
