import asyncio
import socket

import pytest
from result import Err

from lacewingstair.vm import messages, transport
from lacewingstair.vm.transport import TcpTransport

TIMEOUT_SECONDS = 20


def run_with_unread_stream(scenario):
    """Run `scenario` with a stream to a socket that accepts but never reads."""

    async def main():
        with socket.create_server(("127.0.0.1", 0)) as server:
            address = f"127.0.0.1:{server.getsockname()[1]}"
            stream = (await TcpTransport().connect(address)).unwrap()
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await scenario(stream)

    asyncio.run(main())


def test_close_aborts_a_connection_whose_peer_does_not_read(monkeypatch):
    monkeypatch.setattr(transport, "FLUSH_TIMEOUT_SECONDS", 0.0)

    async def scenario(stream):
        # Exceeds the socket buffers, so that data is still queued when closing.
        for index in range(100):
            data = bytes(60_000)
            stream.send(messages.SnapshotChunk(index, 0, 1, "", data))
        stream.close()
        assert isinstance(await stream.receive(), Err)

    run_with_unread_stream(scenario)


def test_a_peer_that_does_not_read_is_disconnected():
    async def scenario(stream):
        for index in range(1000):
            data = bytes(60_000)
            stream.send(messages.SnapshotChunk(index, 0, 1, "", data))
        assert isinstance(await stream.receive(), Err)

    run_with_unread_stream(scenario)


@pytest.mark.parametrize("address", ["127.0.0.1:1", "nonsense", "127.0.0.1:x"])
def test_connecting_to_an_invalid_or_unreachable_address_is_an_error(address):
    connected = asyncio.run(TcpTransport().connect(address))
    assert isinstance(connected, Err)
    assert connected.err_value.address == address
