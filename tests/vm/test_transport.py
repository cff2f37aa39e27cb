import asyncio
import socket

import pytest
from result import Err

from lacewingstair.vm import messages, transport
from lacewingstair.vm.transport import TcpTransport

GUARD_SECONDS = 20


def on_loopback(scenario):
    """Run a scenario with a transport and a socket that accepts and never reads."""

    async def main():
        with socket.create_server(("127.0.0.1", 0)) as server:
            address = f"127.0.0.1:{server.getsockname()[1]}"
            stream = (await TcpTransport().connect(address)).unwrap()
            async with asyncio.timeout(GUARD_SECONDS):
                await scenario(stream)

    asyncio.run(main())


def test_closing_ends_a_connection_whose_peer_takes_nothing(monkeypatch):
    monkeypatch.setattr(transport, "FLUSH_SECONDS", 0.0)

    async def scenario(stream):
        # More than the buffers of the sockets hold.
        for index in range(100):
            data = bytes(60_000)
            stream.send(messages.SnapshotChunk(index, 0, 1, "", data))
        stream.close()
        assert isinstance(await stream.receive(), Err)

    on_loopback(scenario)


def test_a_peer_that_does_not_read_is_disconnected():
    async def scenario(stream):
        for index in range(1000):
            data = bytes(60_000)
            stream.send(messages.SnapshotChunk(index, 0, 1, "", data))
        assert isinstance(await stream.receive(), Err)

    on_loopback(scenario)


@pytest.mark.parametrize("address", ["127.0.0.1:1", "nonsense", "127.0.0.1:x"])
def test_an_address_that_cannot_be_reached_is_an_error(address):
    connected = asyncio.run(TcpTransport().connect(address))
    assert isinstance(connected, Err)
    assert connected.err_value.address == address
