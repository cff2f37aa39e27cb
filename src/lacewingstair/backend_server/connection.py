"""HTTP/1.1 connection to a backend server, used by one call at a time."""

import asyncio
import select
import socket
from typing import Any

from aiohttp import ClientPayloadError
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

BUFFER_BYTES = 64 << 10
MAX_LINE_BYTES = 8190
MAX_HEADERS = 128
# Limit on consecutive bytes that are not part of a body: response heads, interim
# (1xx) responses and chunk extensions.
MAX_NON_BODY_BYTES = 128 << 10
# Responses parsed but not read yet, including interim and unexpected ones.
MAX_QUEUED_RESPONSES = 32
# Outside a body, input is fed to the parser in pieces of this size, since a few bytes
# can be parsed into a response object of about a kilobyte.
PARSE_CHUNK_BYTES = 8 << 10
# The kernel drops a connection whose data stays unacknowledged for this long, so that
# calls on a dead connection fail before most deadlines. It also drops a connection
# whose peer acknowledges data but keeps its receive window closed.
TCP_USER_TIMEOUT_MS = 1500


class UnboundedResponseError(ClientPayloadError):
    """The peer keeps sending bytes that do not complete a response."""


class UpstreamConnection(ResponseHandler):
    """Connection that records whether the current call was sent and has a response.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Event loop of the connection.
    now : float
        Current time in monotonic seconds.
    buffer_bytes : int
        Buffer size in each direction.
    tcp_user_timeout_ms : int
        Value of TCP_USER_TIMEOUT: time for which sent data may stay unacknowledged
        before the kernel drops the connection; 0 keeps the default of the kernel.

    Attributes
    ----------
    last_used_at : float
        When the last call on the connection ended, in monotonic seconds.
    calls : int
        Number of calls started on the connection.
    has_written : bool
        Whether any byte of the current call was passed to the transport.
    is_idle : bool
        Whether no call uses the connection; data received while idle closes it.
    was_reset : bool
        Whether the connection was lost with an error. A response that is delimited by
        the end of the connection is then incomplete.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        now: float,
        buffer_bytes: int = BUFFER_BYTES,
        tcp_user_timeout_ms: int = TCP_USER_TIMEOUT_MS,
    ) -> None:
        super().__init__(loop)
        self._tcp_user_timeout_ms = tcp_user_timeout_ms
        self._buffer_bytes = buffer_bytes
        self.last_used_at = now
        self.calls = 0
        self.has_written = False
        self.has_received = False
        self.is_idle = True
        self.was_reset = False
        self._poll: select.poll | None = None
        self._non_body_bytes = 0
        self._last_payload: StreamReader | None = None
        self._last_body_bytes = 0

    def connection_made(self, transport: Any) -> None:
        """Limit the write buffer, and set TCP_USER_TIMEOUT to detect a dead peer."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=self._buffer_bytes)
        sock = transport.get_extra_info("socket")
        if sock is None:
            return
        self._poll = select.poll()
        self._poll.register(sock.fileno(), select.POLLIN)
        option = getattr(socket, "TCP_USER_TIMEOUT", None)
        if option is not None:
            timeout_ms = self._tcp_user_timeout_ms
            sock.setsockopt(socket.IPPROTO_TCP, option, timeout_ms)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record a loss with an error before the response body sees the end."""
        self.was_reset = exc is not None
        super().connection_lost(exc)
        if self.is_idle:
            self._clear_errors()

    def is_reusable(self) -> bool:
        """Return whether an idle connection can take another call.

        A readable socket was closed by the peer or has received data that belongs to no
        call, even if the event loop has not processed it yet.
        """
        if not self.is_connected() or self.should_close:
            return False
        return self._poll is None or not self._poll.poll(0)

    def data_received(self, data: bytes) -> None:
        """Parse data of the current call; close the connection on any other data."""
        if self.is_idle:
            # Data received between calls could be taken for the next response.
            if data:
                self.abort()
            return
        self.has_received = True
        rest = data
        while True:
            size = len(rest) if self._is_reading_body() else PARSE_CHUNK_BYTES
            part, rest = rest[:size], rest[size:]
            super().data_received(part)
            self._check_received_bytes(len(part))
            if not rest or not self.is_connected():
                return

    def abort_with(self, error: ClientPayloadError) -> None:
        """Abort the connection, and raise the error in the reader of the response."""
        payload = self._payload
        self.abort()
        self.set_exception(error)
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)

    def begin_call(self, *, is_head: bool) -> None:
        """Reset the parser and the flags for a new call."""
        self.calls += 1
        self.has_written = False
        self.has_received = False
        self.is_idle = False
        self._non_body_bytes = 0
        self._last_payload = self._payload = None
        self._last_body_bytes = 0
        self.set_response_params(
            skip_payload=is_head,
            # A response without a length is delimited by the end of the connection, so
            # a truncated one looks complete. It is read here; callers can reject it by
            # its head.
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=self._buffer_bytes,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            max_headers=MAX_HEADERS,
        )

    def write(self, data: bytes) -> bool:
        """Write data of the current call; return False if the connection is closed."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return False
        self.has_written = True
        transport.write(data)
        return True

    def write_call(self, head: bytes, body: bytes) -> bool:
        """Write a call; return False if the connection is closed.

        A large body is passed on without a copy.
        """
        if len(body) <= self._buffer_bytes:
            return self.write(head + body)
        return self.write(head) and self.write(body)

    async def drain(self) -> None:
        """Wait until the write buffer is below its limit."""
        await self._drain_helper()

    async def read_response_head(self) -> tuple[RawResponseMessage, StreamReader]:
        """Return the head and body of the final response; skip interim responses."""
        while True:
            message, payload = await self.read()
            if not 100 <= message.code < 200 or message.code == 101:
                return message, payload

    def end_call(self, now: float) -> bool:
        """End the call; return whether the connection can be reused."""
        self.is_idle = True
        self.last_used_at = now
        self._drop_timeout()
        is_reusable = self.is_connected() and not self.should_close
        self._clear_errors()
        return is_reusable

    def _clear_errors(self) -> None:
        """Drop the errors of an ended call and their tracebacks.

        Tracebacks refer to frames, which refer to received data and to the connection,
        and so to the errors. These cycles would live until the next garbage collection.
        """
        errors = [self._exception]
        if self._last_payload is not None:
            errors.append(self._last_payload.exception())
        self._exception = self._last_payload = None
        for error in errors:
            _clear_tracebacks(error)

    def _is_reading_body(self) -> bool:
        return self._payload is not None and not self._payload.is_eof()

    def _check_received_bytes(self, size: int) -> None:
        """Fail the call if the peer keeps sending neither a body nor a final response.

        The parser limits only what it stores. Blank lines, spaces before a value, chunk
        extensions, leading zeros of a chunk size and interim responses are unlimited.
        """
        if not self.is_connected():
            return
        if self._has_body_grown():
            self._non_body_bytes = 0
        else:
            self._non_body_bytes += size
        if self._non_body_bytes > MAX_NON_BODY_BYTES:
            received = self._non_body_bytes
            self.abort_with(
                UnboundedResponseError(f"the last {received} bytes hold no body")
            )
        elif len(self._buffer) > MAX_QUEUED_RESPONSES:
            queued = len(self._buffer)
            self.abort_with(
                UnboundedResponseError(f"{queued} answers came to one call")
            )

    def _has_body_grown(self) -> bool:
        payload = self._payload
        body_bytes = 0 if payload is None else payload.total_bytes
        if payload is not self._last_payload:
            self._last_payload = payload
            self._last_body_bytes = 0
        has_grown = body_bytes > self._last_body_bytes
        self._last_body_bytes = body_bytes
        return has_grown


def _clear_tracebacks(error: BaseException | None) -> None:
    seen: list[BaseException] = []
    while error is not None and error not in seen:
        seen.append(error)
        error.__traceback__ = None
        error = error.__cause__ or error.__context__
