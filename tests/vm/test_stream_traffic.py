import asyncio

from lacewingstair.vm import call_messages
from lacewingstair.vm.call_messages import Ping, RecordsPart
from lacewingstair.vm.call_streams import CallStream, connect
from lacewingstair.vm.stream_traffic import StreamTraffic


def test_bytes_are_counted_by_kind_distance_and_direction():
    """Guards against byte counts that hide which type of message fills a link."""
    messages = [Ping(1), RecordsPart(3, True, b"x" * 70_000), Ping(2)]

    async def main():
        sent, received = StreamTraffic(), StreamTraffic()
        done = asyncio.Event()

        async def accept(reader, writer):
            stream = CallStream(reader, writer, received)
            stream.distance = "region"
            found = [message async for message in stream.messages()]
            assert found == messages
            assert stream.incomplete_bytes == 0
            done.set()
            stream.close()

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        stream = (await connect(f"{host}:{port}", sent)).unwrap()
        stream.distance = "zone"
        for message in messages:
            stream.send(message)
        stream.close()
        await asyncio.wait_for(done.wait(), 5)
        server.close()
        return sent.bytes_by_labels, received.bytes_by_labels

    sent, received = asyncio.run(main())
    sizes = [len(call_messages.encode(message)) for message in messages]
    assert sent == {
        ("Ping", "zone", "sent"): sizes[0] + sizes[2],
        ("RecordsPart", "zone", "sent"): sizes[1],
    }
    assert received == {
        ("Ping", "region", "received"): sizes[0] + sizes[2],
        ("RecordsPart", "region", "received"): sizes[1],
    }
