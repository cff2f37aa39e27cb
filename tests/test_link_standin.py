"""The stand-in for narrow links does what the tests over it assume."""

import asyncio

import pytest

from tests.link_standin import Link, LinkProxy
from tests.test_sidecar import until

BITS_PER_SECOND = 2e6
SIZE = 100_000


class Peers:
    """A server that echoes behind a proxy, and clients of it."""

    async def start(self, link):
        self._server = await asyncio.start_server(self._echo, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self._proxy = LinkProxy(f"{host}:{port}", link, {})
        await self._proxy.start()

    async def connect(self):
        host, _, port = self._proxy.address.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def stop(self):
        self._server.close()
        await self._proxy.stop()

    async def _echo(self, reader, writer):
        while data := await reader.read(65536):
            writer.write(data)
        writer.close()


def with_link(check):
    async def main():
        link, peers = Link(BITS_PER_SECOND, 0.05), Peers()
        await peers.start(link)
        try:
            async with asyncio.timeout(20):
                await check(link, peers)
        finally:
            await peers.stop()

    asyncio.run(main())


def test_all_connections_share_the_rate_and_keep_their_bytes_in_order():
    async def check(link, peers):
        async def echo(letter):
            reader, writer = await peers.connect()
            data = bytes(range(letter, letter + 100)) * (SIZE // 100)
            writer.write(data)
            writer.write_eof()
            assert await reader.read(-1) == data
            writer.close()

        loop = asyncio.get_running_loop()
        started = loop.time()
        await asyncio.gather(*(echo(number) for number in range(3)))
        assert loop.time() - started >= 3 * SIZE * 8 / BITS_PER_SECOND
        assert link.outward.sent_bytes >= 3 * SIZE

    with_link(check)


def test_a_writer_to_a_full_link_is_blocked():
    async def check(link, peers):
        _, writer = await peers.connect()
        link.silence()
        writer.transport.set_write_buffer_limits(high=0)
        writer.write(bytes(10_000_000))
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await writer.drain()
        writer.transport.abort()

    with_link(check)


def test_a_silenced_link_forwards_nothing_until_it_is_healed():
    async def check(link, peers):
        reader, writer = await peers.connect()
        link.silence()
        writer.write(b"late")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.5):
                await reader.read(4)
        link.heal()
        assert await reader.readexactly(4) == b"late"
        writer.close()

    with_link(check)


def test_a_cut_link_resets_connections_until_it_is_healed():
    async def check(link, peers):
        reader, writer = await peers.connect()
        writer.write(b"a")
        assert await reader.readexactly(1) == b"a"
        link.cut()
        with pytest.raises(ConnectionError):
            await reader.read(1)
        reader, writer = await peers.connect()
        with pytest.raises(ConnectionError):
            await reader.read(1)
        link.heal()
        reader, writer = await peers.connect()
        writer.write(b"b")
        assert await reader.readexactly(1) == b"b"
        writer.close()
        await until(lambda: not link.connections)

    with_link(check)
