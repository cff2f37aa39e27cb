import asyncio
import select

from result import Err

from lacewingstair.backend_server.pool import ConnectionPool
from lacewingstair.errors import ConnectError, ConnectionsBusy
from lacewingstair.runtime import SystemClock
from lacewingstair.standins.memory_server import MemoryServer
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual

ADDRESS = "10.0.0.1:80"


def test_pool_opens_only_its_share_of_the_connections_of_an_upstream():
    """Guards against one VM that uses the connections of all others."""

    async def main():
        pool = ConnectionPool(VirtualClock(), MemoryServer().connect)
        acquired = [(await pool.acquire(ADDRESS, 24)).unwrap() for _ in range(3)]
        refused = await pool.acquire(ADDRESS, 24)
        assert isinstance(refused, Err)
        assert isinstance(refused.err_value, ConnectionsBusy)
        pool.release(ADDRESS, acquired[0])
        assert (await pool.acquire(ADDRESS, 24)).unwrap() is acquired[0]

    run_virtual(main())


def test_share_shrinks_when_the_upstream_refuses_connections():
    """Guards against connecting again and again beyond the accept limit."""

    async def main():
        server = MemoryServer()
        pool = ConnectionPool(VirtualClock(), server.connect)
        for _ in range(4):
            (await pool.acquire(ADDRESS, 64)).unwrap()

        async def refuse(address):
            raise ConnectionRefusedError

        pool._connect = refuse
        first = await pool.acquire(ADDRESS, 64)
        assert isinstance(first.err_value, ConnectError)
        pool._connect = server.connect
        second = await pool.acquire(ADDRESS, 64)
        assert isinstance(second.err_value, ConnectionsBusy)

    run_virtual(main())


def test_share_does_not_shrink_below_established_connections():
    """Guards against refusing calls for seconds after a burst of failed connects."""

    async def main():
        server = MemoryServer()
        pool = ConnectionPool(VirtualClock(), server.connect, sharing_vms=1)
        acquired = [(await pool.acquire(ADDRESS, 16)).unwrap() for _ in range(8)]

        async def refuse(address):
            await asyncio.sleep(0.01)
            raise ConnectionResetError

        pool._connect = refuse
        await asyncio.gather(*(pool.acquire(ADDRESS, 16) for _ in range(4)))
        pool._connect = server.connect
        pool.discard(ADDRESS, acquired.pop())
        assert (await pool.acquire(ADDRESS, 16)).unwrap().is_connected()
        assert isinstance((await pool.acquire(ADDRESS, 16)).err_value, ConnectionsBusy)

    run_virtual(main())


def test_idle_connections_are_closed_on_timeout_and_when_an_endpoint_is_removed():
    """Guards against keeping unused connections open."""

    async def main():
        server = MemoryServer()
        pool = ConnectionPool(VirtualClock(), server.connect)
        pool.release(ADDRESS, (await pool.acquire(ADDRESS, 24)).unwrap())
        await asyncio.sleep(10)
        pool.sweep()
        assert not server.transports[0].is_closing()
        await asyncio.sleep(10)
        pool.sweep()
        assert server.transports[0].is_closing()
        pool.release(ADDRESS, (await pool.acquire(ADDRESS, 24)).unwrap())
        pool.close_idle(ADDRESS)
        assert server.transports[1].is_closing()

    run_virtual(main())


def test_connection_with_readable_socket_is_not_reused():
    """Guards against taking unread bytes for the response to the next call."""

    async def main():
        accepted = asyncio.Queue()

        async def accept(reader, writer):
            await accepted.put(writer)

        listener = await asyncio.start_server(accept, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()
        address = f"{host}:{port}"
        pool = ConnectionPool(SystemClock())
        connection = (await pool.acquire(address, 24)).unwrap()
        writer = await accepted.get()
        pool.release(address, connection)
        assert connection.is_reusable()
        connection.transport.pause_reading()  # the event loop must not see the data
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        await writer.drain()
        select.select([connection.transport.get_extra_info("socket")], [], [])
        assert (await pool.acquire(address, 24)).unwrap() is not connection
        pool.close()
        for opened in (writer, await accepted.get()):
            opened.transport.abort()
        listener.close()

    asyncio.run(main())
