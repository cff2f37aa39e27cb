import asyncio

from lacewingstair.backend_server.pool import ConnectionPool
from lacewingstair.runtime import SystemClock

# More than the buffers of the kernel hold, so that the window of the reader is closed.
BODY_BYTES = 16 << 20
# Longer than the kernel waits for acknowledgements.
PAUSE_SECONDS = 2.5


def test_a_connection_between_vms_outlives_a_reader_that_pauses():
    """Guards against calls with a long body that are cut while their peer lives."""

    async def serve(reader, writer):
        try:
            await asyncio.sleep(PAUSE_SECONDS)
            await reader.readexactly(BODY_BYTES)
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
        finally:
            # An open writer that is collected while pytest parses source ends the run.
            writer.transport.abort()

    async def main():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        pool = ConnectionPool(SystemClock())
        connection = (await pool.acquire(f"{host}:{port}", 64)).unwrap()
        connection.begin_call(is_head=False)
        connection.write(b"x" * BODY_BYTES)
        message, _ = await connection.read_response_head()
        assert message.code == 200
        server.close()

    asyncio.run(main())
