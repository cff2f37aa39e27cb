import asyncio

from lacewingstair.backend_server.pool import ConnectionPool
from lacewingstair.runtime import SystemClock

# Exceeds the kernel's socket buffers, so that the receive window of the reader closes.
BODY_BYTES = 16 << 20
# Longer than TCP_USER_TIMEOUT.
PAUSE_SECONDS = 2.5


def test_a_connection_between_vms_outlives_a_reader_that_pauses():
    """Guards against dropping a call with a long body whose peer is alive.

    TCP_USER_TIMEOUT also expires while the peer acknowledges data but reads none.
    """

    async def serve(reader, writer):
        try:
            await asyncio.sleep(PAUSE_SECONDS)
            await reader.readexactly(BODY_BYTES)
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
        finally:
            # pytest fails if an open writer is collected while it parses source.
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
