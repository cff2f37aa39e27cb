"""Framed streams between VMs over TCP.

A frame is a 4-byte big-endian length, a flag byte and the message. Flag 1 marks a
message compressed with zstd.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import zstandard
from result import Err, Ok, Result

from lacewingstair.errors import ConnectError, FrameError, ListenError
from lacewingstair.vm import messages

MAX_FRAME_BYTES = 1 << 20
COMPRESS_ABOVE_BYTES = 512
MAX_SEND_BUFFER_BYTES = 8 << 20
CONNECT_TIMEOUT_SECONDS = 2.0
_LENGTH_BYTES = 4


class MessageStream(Protocol):
    """Ordered stream of messages to one peer."""

    async def receive(self) -> Result[Any, FrameError]:
        """Return the next message; an error when the stream has ended or is broken."""
        ...

    def send(self, body: Any) -> None:
        """Queue a message; a peer that does not read is disconnected."""
        ...

    def close(self) -> None:
        """End the stream."""
        ...


class Listener(Protocol):
    """An address that accepts streams."""

    async def close(self) -> None:
        """Stop accepting."""
        ...


OnStream = Callable[[MessageStream], Awaitable[None]]


class Transport(Protocol):
    """Way to open and accept streams."""

    async def connect(self, address: str) -> Result[MessageStream, ConnectError]:
        """Open a stream to ``ip:port``."""
        ...

    async def listen(
        self, address: str, on_stream: OnStream
    ) -> Result[Listener, ListenError]:
        """Accept streams on ``ip:port``, each handled by a task of its own."""
        ...


def encode_frame(body: Any) -> bytes:
    """Return a message as a frame."""
    data = messages.encode(body)
    flag = 0
    if len(data) > COMPRESS_ABOVE_BYTES:
        data = zstandard.compress(data)
        flag = 1
    return len(data).to_bytes(_LENGTH_BYTES, "big") + bytes([flag]) + data


def decode_frame(flag: int, data: bytes) -> Result[Any, FrameError]:
    """Return the message of a frame without its length."""
    if flag == 0:
        return messages.decode(data)
    if flag != 1:
        return Err(FrameError(f"unknown flag {flag}"))
    try:
        plain = zstandard.ZstdDecompressor().decompress(
            data, max_output_size=8 * MAX_FRAME_BYTES
        )
    except zstandard.ZstdError as error:
        return Err(FrameError(f"not zstd: {error}"))
    return messages.decode(plain)


class TcpStream:
    """Message stream over one TCP connection.

    Attributes
    ----------
    bytes_received, bytes_sent : int
        Bytes of frames so far.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self.bytes_received = 0
        self.bytes_sent = 0

    async def receive(self) -> Result[Any, FrameError]:
        """Return the next message; an error when the stream has ended or is broken."""
        try:
            header = await self._reader.readexactly(_LENGTH_BYTES + 1)
            length = int.from_bytes(header[:_LENGTH_BYTES], "big")
            if length > MAX_FRAME_BYTES:
                reason = f"{length} bytes, at most {MAX_FRAME_BYTES} are allowed"
                return Err(FrameError(reason))
            data = await self._reader.readexactly(length)
        except asyncio.IncompleteReadError as error:
            reason = "closed" if not error.partial else "truncated"
            return Err(FrameError(reason))
        except OSError as error:
            return Err(FrameError(str(error)))
        self.bytes_received += len(header) + len(data)
        return decode_frame(header[_LENGTH_BYTES], data)

    def send(self, body: Any) -> None:
        """Queue a message; a peer that does not read is disconnected."""
        if self._writer.is_closing():
            return
        frame = encode_frame(body)
        self.bytes_sent += len(frame)
        self._writer.write(frame)
        if self._writer.transport.get_write_buffer_size() > MAX_SEND_BUFFER_BYTES:
            self._writer.transport.abort()

    def close(self) -> None:
        """End the stream."""
        if not self._writer.is_closing():
            self._writer.close()


class TcpListener:
    """Accepting side of `TcpTransport`."""

    def __init__(self, server: asyncio.Server) -> None:
        self._server = server

    async def close(self) -> None:
        """Stop accepting."""
        self._server.close()


class TcpTransport:
    """Streams over TCP."""

    async def connect(self, address: str) -> Result[MessageStream, ConnectError]:
        """Open a stream to ``ip:port``."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError, ValueError) as error:
            return Err(ConnectError(address, str(error) or type(error).__name__))
        return Ok(TcpStream(reader, writer))

    async def listen(
        self, address: str, on_stream: OnStream
    ) -> Result[Listener, ListenError]:
        """Accept streams on ``ip:port``, each handled by a task of its own."""

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            stream = TcpStream(reader, writer)
            try:
                await on_stream(stream)
            except asyncio.CancelledError:
                # The stop of the process. CPython 3.11 logs a traceback when the task
                # of a connection ends as cancelled.
                return
            finally:
                stream.close()

        host, _, port = address.rpartition(":")
        try:
            server = await asyncio.start_server(accept, host, int(port))
        except (OSError, ValueError) as error:
            return Err(ListenError(address, str(error)))
        return Ok(TcpListener(server))
