import asyncio
import select

from result import Err

from lacewingstair.backend_server.pool import ConnectionPool
from lacewingstair.errors import ConnectError, ConnectionsBusy
from lacewingstair.runtime import SystemClock
from lacewingstair.standins.memory_server import MemoryServer
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual

ADDRESS = "10.0.0.1:80"


def test_a_vm_holds_only_its_share_of_the_connections_of_an_upstream():
    """Guards against one VM that takes the connections of all others."""

    async def main():
        pool = ConnectionPool(VirtualClock(), MemoryServer().connect)
        held = [(await pool.acquire(ADDRESS, 24)).unwrap() for _ in range(3)]
        refused = await pool.acquire(ADDRESS, 24)
        assert isinstance(refused, Err)
        assert isinstance(refused.err_value, ConnectionsBusy)
        pool.release(ADDRESS, held[0])
        assert (await pool.acquire(ADDRESS, 24)).unwrap() is held[0]

    run_virtual(main())


def test_the_share_falls_when_the_upstream_refuses_further_connections():
    """Guards against VMs that insist on connections that are used up."""

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


def test_the_share_does_not_fall_below_the_connections_that_work():
    """Guards against calls refused for seconds after some connects have failed."""

    async def main():
        server = MemoryServer()
        pool = ConnectionPool(VirtualClock(), server.connect, sharing_vms=1)
        held = [(await pool.acquire(ADDRESS, 16)).unwrap() for _ in range(8)]

        async def refuse(address):
            await asyncio.sleep(0.01)
            raise ConnectionResetError

        pool._connect = refuse
        await asyncio.gather(*(pool.acquire(ADDRESS, 16) for _ in range(4)))
        pool._connect = server.connect
        pool.discard(ADDRESS, held.pop())
        assert (await pool.acquire(ADDRESS, 16)).unwrap().is_connected()
        assert isinstance((await pool.acquire(ADDRESS, 16)).err_value, ConnectionsBusy)

    run_virtual(main())


def test_idle_connections_are_closed_after_their_time_and_when_an_endpoint_leaves():
    """Guards against connections that are held for nothing."""

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


def test_a_connection_whose_socket_has_input_is_not_reused():
    """Guards against bytes that the loop has not seen being taken as an answer."""

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
        connection.transport.pause_reading()  # the loop sees nothing of what arrives
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        await writer.drain()
        select.select([connection.transport.get_extra_info("socket")], [], [])
        assert (await pool.acquire(address, 24)).unwrap() is not connection
        pool.close()
        for opened in (writer, await accepted.get()):
            opened.transport.abort()
        listener.close()

    asyncio.run(main())
