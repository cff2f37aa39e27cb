import asyncio

from lacewingstair.backend_server.admission_proxy import AdmissionProxy
from lacewingstair.runtime import SystemClock
from lacewingstair.vm.call_messages import CallAnswer
from tests.backend_server.harness import identity, request

# Exceeds the kernel's socket buffers, so that the receive window of the reader closes.
BODY_BYTES = 16 << 20
# Longer than TCP_USER_TIMEOUT on a connection between VMs.
PAUSE_SECONDS = 2.5
RESPONSE = (
    b"HTTP/1.1 200 X\r\nRequest-Id: a\r\nResponse-Signature: s\r\n"
    b"Content-Length: 2\r\n\r\nok"
)


def test_call_survives_backend_server_that_pauses_reading_a_long_body():
    """Guards against dropping a call because its backend server pauses for 2.5 s."""

    async def serve(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(PAUSE_SECONDS)
            await reader.readexactly(BODY_BYTES)
            writer.write(RESPONSE)
            await writer.drain()
        finally:
            writer.transport.abort()

    async def main():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        proxy = AdmissionProxy("board", f"{host}:{port}", SystemClock())
        proxy.set_identity(identity())
        call = request(remaining_ms=20_000.0, method="POST", body=b"x" * BODY_BYTES)
        outcome = await proxy.run(call)
        assert isinstance(outcome, CallAnswer), outcome
        proxy.close()
        server.close()

    asyncio.run(main())
