"""Message streams between VMs over TCP."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from result import Err, Ok, Result

from lacewingstair import events
from lacewingstair.addresses import split_address
from lacewingstair.errors import ConnectError, FrameError, ListenError
from lacewingstair.vm.frames import (
    HEADER_BYTES,
    MAX_FRAME_BYTES,
    FrameEncoder,
    decode_frame,
    parse_header,
)

MAX_SEND_BUFFER_BYTES = 8 << 20
CONNECT_TIMEOUT_SECONDS = 2.0
# A closing connection is aborted after this time, since a peer that has gone silent
# never acknowledges the data that is still queued.
FLUSH_TIMEOUT_SECONDS = 2.0


class MessageStream(Protocol):
    """Ordered, bidirectional stream of messages between this VM and one peer.

    Attributes
    ----------
    bytes_received, bytes_sent : int
        Total size of the frames received and sent.
    queued_bytes : int
        Bytes queued for sending.
    """

    bytes_received: int
    bytes_sent: int

    @property
    def queued_bytes(self) -> int:
        """Bytes queued for sending."""
        ...

    async def receive(self) -> Result[Any, FrameError]:
        """Return the next message, or an error if the stream has ended or failed."""
        ...

    def send(self, body: Any) -> None:
        """Queue a message; disconnect the peer if it does not read."""
        ...

    async def drain(self) -> None:
        """Wait until most of the queued bytes have been sent."""
        ...

    def close(self) -> None:
        """Close the stream."""
        ...


class Listener(Protocol):
    """Listening socket that accepts streams."""

    async def close(self) -> None:
        """Stop accepting."""
        ...


StreamHandler = Callable[[MessageStream], Awaitable[None]]


class Transport(Protocol):
    """Interface for opening and accepting streams."""

    async def connect(self, address: str) -> Result[MessageStream, ConnectError]:
        """Open a stream to ``ip:port``."""
        ...

    async def listen(
        self, address: str, on_stream: StreamHandler
    ) -> Result[Listener, ListenError]:
        """Accept streams on ``ip:port``; each one is handled in its own task."""
        ...


class TcpStream:
    """Message stream over one TCP connection.

    Attributes
    ----------
    bytes_received, bytes_sent : int
        Total size of the frames received and sent.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        encoder: FrameEncoder,
        max_queued_bytes: int = MAX_SEND_BUFFER_BYTES,
    ) -> None:
        self._max_queued_bytes = max_queued_bytes
        self._reader = reader
        self._writer = writer
        self._encoder = encoder
        self.bytes_received = 0
        self.bytes_sent = 0

    @property
    def queued_bytes(self) -> int:
        """Bytes queued for sending."""
        return self._writer.transport.get_write_buffer_size()

    async def receive(self) -> Result[Any, FrameError]:
        """Return the next message, or an error if the stream has ended or failed."""
        try:
            header = await self._reader.readexactly(HEADER_BYTES)
            parsed = parse_header(header)
            if isinstance(parsed, Err):
                return parsed
            length, flag = parsed.ok_value
            data = await self._reader.readexactly(length)
        except asyncio.IncompleteReadError as error:
            # The end of the stream loses data within a frame, but not between frames.
            is_clean = not error.partial and error.expected == HEADER_BYTES
            return Err(FrameError("closed" if is_clean else "truncated"))
        except OSError as error:
            return Err(FrameError(str(error)))
        self.bytes_received += HEADER_BYTES + length
        return decode_frame(flag, data)

    def send(self, body: Any) -> None:
        """Queue a message; disconnect the peer if it does not read."""
        if self._writer.is_closing():
            return
        frame = self._encoder.encode(body)
        if len(frame) > MAX_FRAME_BYTES + HEADER_BYTES:
            message_type = type(body).__name__
            events.error("frame_too_large", message=message_type, bytes=len(frame))
            return
        self.bytes_sent += len(frame)
        self._writer.write(frame)
        if self.queued_bytes > self._max_queued_bytes:
            self._writer.transport.abort()

    async def drain(self) -> None:
        """Wait until most of the queued bytes have been sent."""
        try:
            await self._writer.drain()
        except OSError:
            self.close()

    def close(self) -> None:
        """Close the stream."""
        if self._writer.is_closing():
            return
        self._writer.close()
        loop = asyncio.get_running_loop()
        loop.call_later(FLUSH_TIMEOUT_SECONDS, self._writer.transport.abort)


class TcpListener:
    """Listening socket of a `TcpTransport`."""

    def __init__(self, server: asyncio.Server) -> None:
        self._server = server

    async def close(self) -> None:
        """Stop accepting."""
        self._server.close()


class TcpTransport:
    """Transport over TCP.

    Parameters
    ----------
    connect_timeout_seconds : float
        Timeout for opening a connection.
    max_queued_bytes : int
        Bytes that may be queued on one stream; the connection is aborted beyond that.
    """

    def __init__(
        self,
        connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
        max_queued_bytes: int = MAX_SEND_BUFFER_BYTES,
    ) -> None:
        self.connect_timeout_seconds = connect_timeout_seconds
        self.max_queued_bytes = max_queued_bytes
        self._encoder = FrameEncoder()

    async def connect(self, address: str) -> Result[MessageStream, ConnectError]:
        """Open a stream to ``ip:port``."""
        try:
            host, port = split_address(address)
            async with asyncio.timeout(self.connect_timeout_seconds):
                reader, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError, ValueError) as error:
            return Err(ConnectError(address, str(error) or type(error).__name__))
        return Ok(TcpStream(reader, writer, self._encoder, self.max_queued_bytes))

    async def listen(
        self, address: str, on_stream: StreamHandler
    ) -> Result[Listener, ListenError]:
        """Accept streams on ``ip:port``; each one is handled in its own task."""

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            stream = TcpStream(reader, writer, self._encoder, self.max_queued_bytes)
            try:
                await on_stream(stream)
            except asyncio.CancelledError:
                # The process is shutting down. The cancellation is not raised again,
                # since CPython 3.11 logs a traceback for a cancelled connection task.
                return
            finally:
                stream.close()

        try:
            host, port = split_address(address)
            server = await asyncio.start_server(accept, host, port)
        except (OSError, ValueError) as error:
            return Err(ListenError(address, str(error)))
        return Ok(TcpListener(server))
