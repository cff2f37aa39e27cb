"""Streams for calls between VMs: msgpack messages over TCP."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import msgpack
from result import Err, Ok, Result

from lacewingstair import events
from lacewingstair.addresses import split_address
from lacewingstair.errors import ConnectError
from lacewingstair.sockets import detect_silence
from lacewingstair.vm import call_messages, distances
from lacewingstair.vm.decoder_pool import DecoderPool, StreamDecoder
from lacewingstair.vm.receive_budget import ReceiveBudget
from lacewingstair.vm.stream_traffic import RECEIVED, SENT, StreamTraffic

READ_BYTES = 256 << 10
CONNECT_TIMEOUT_SECONDS = 1.0
# A peer that reads too slowly is disconnected when its write buffer exceeds this.
MAX_QUEUED_BYTES = 96 << 20

_decoder_pool = DecoderPool(call_messages.unpacker)


class CallStream:
    """Messages to and from one peer over one connection.

    Parameters
    ----------
    reader, writer
        Both halves of the connection.
    traffic : StreamTraffic, optional
        Counts the bytes of messages.
    budget : ReceiveBudget, optional
        Bounds the bytes that all streams hold.

    Attributes
    ----------
    distance : str
        Distance to the peer as in `vm.distances`, once it is known.
    bytes_received : int
        Bytes received since the stream was opened.
    peer_bandwidth_kbps : int
        Bandwidth of the peer's link in kilobits per second; 0 when it is unknown.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        traffic: StreamTraffic | None = None,
        budget: ReceiveBudget | None = None,
    ) -> None:
        self._budget = budget or ReceiveBudget()
        self._reader = reader
        self._writer = writer
        self._traffic = traffic or StreamTraffic()
        self._decoder = StreamDecoder(_decoder_pool)
        self.bytes_received = 0
        self.distance = distances.UNKNOWN
        self.peer_bandwidth_kbps = 0
        detect_silence(writer.get_extra_info("socket"))

    @property
    def queued_bytes(self) -> int:
        """Bytes in the write buffer."""
        return self._writer.transport.get_write_buffer_size()

    @property
    def incomplete_bytes(self) -> int:
        """Bytes received of an incomplete message."""
        return self._decoder.incomplete_bytes

    @property
    def is_closing(self) -> bool:
        """Whether the connection is closing, so that nothing more can be sent."""
        return self._writer.transport.is_closing()

    async def drain(self) -> None:
        """Wait until the write buffer has drained, or the connection is lost."""
        with contextlib.suppress(OSError):
            await self._writer.drain()

    def send(self, message: Any) -> None:
        """Queue a message, or drop it if the stream is closing."""
        transport = self._writer.transport
        if transport.is_closing():
            return
        data = call_messages.encode(message)
        self._count(message, SENT, len(data))
        transport.write(data)
        if transport.get_write_buffer_size() > MAX_QUEUED_BYTES:
            transport.abort()

    async def messages(self) -> AsyncIterator[Any]:
        """Yield messages until the stream ends, fails or cannot be decoded."""
        try:
            while arrays := await self._receive():
                while arrays:
                    array, size = arrays.pop(0)
                    message = call_messages.decode(array)
                    if isinstance(message, Err):
                        events.warning("stream_unreadable", error=message.err_value)
                        return
                    self._count(message.ok_value, RECEIVED, size)
                    yield message.ok_value
                    # A large message must not stay here until the next one arrives.
                    del array, message
        finally:
            self._budget.set_incomplete(self, 0)

    async def _receive(self) -> list[tuple[Any, int]]:
        """Return the next arrays with their sizes, none at the end of the stream."""
        while True:
            await self._budget.wait_for_room(self)
            try:
                data = await self._reader.read(READ_BYTES)
                self.bytes_received += len(data)
                arrays = self._decoder.feed(data)
            except OSError as error:
                events.info("stream_broken", error=error)
                return []
            except (msgpack.UnpackException, ValueError) as error:
                events.warning("stream_unreadable", error=error)
                return []
            self._budget.set_incomplete(self, self._decoder.incomplete_bytes)
            if arrays or not data:
                return arrays

    def _count(self, message: Any, direction: str, size: int) -> None:
        kind = type(message).__name__
        self._traffic.count(kind, self.distance, direction, size)

    def close(self) -> None:
        """Close the stream after the write buffer has been sent."""
        self._writer.close()

    def abort(self) -> None:
        """Close the stream at once and discard the write buffer."""
        self._writer.transport.abort()


async def connect(
    address: str, traffic: StreamTraffic | None = None
) -> Result[CallStream, ConnectError]:
    """Open a stream to an address ``ip:port``."""
    try:
        host, port = split_address(address)
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError, ValueError) as error:
        return Err(ConnectError(address, str(error) or type(error).__name__))
    return Ok(CallStream(reader, writer, traffic))
