"""One HTTP/1.1 connection to a backend server, one call at a time."""

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
# Bytes in a row that are not part of a body: heads, interim answers, chunk extensions.
MAX_NON_BODY_BYTES = 128 << 10
# Answers parsed and not read yet; interim (1xx) answers and strays count too.
MAX_QUEUED_RESPONSES = 32
# Outside of a body the parser gets this much at a time, since each few bytes can
# become an answer of a kilobyte.
PARSE_CHUNK_BYTES = 8 << 10
# The kernel drops a connection whose bytes stay unacknowledged for this long, so that
# one that went silent fails before the deadline of most calls. It also drops one whose
# peer acknowledges but reads nothing of a long body.
TCP_USER_TIMEOUT_MS = 1500


class UnboundedResponseError(ClientPayloadError):
    """The peer sends bytes that do not become an answer."""


class UpstreamConnection(ResponseHandler):
    """Connection that knows whether any byte of the present call was written.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Loop of the connection.
    now : float
        Time in monotonic seconds.
    buffer_bytes : int
        Bytes buffered in each direction.
    tcp_user_timeout_ms : int
        Time after which the kernel drops the connection while bytes that were sent are
        not acknowledged; 0 leaves it to the kernel.

    Attributes
    ----------
    last_used_at : float
        When the last answer on it ended, in monotonic seconds.
    calls : int
        Calls begun on it.
    has_written : bool
        Whether a byte of the present call was given to the transport.
    is_idle : bool
        Whether no call uses it; anything received then closes it.
    was_reset : bool
        Whether the connection ended with an error. An answer without a length, which
        ends with its connection, is not whole then.
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
        """Bound the write buffer and let the kernel detect a silent peer."""
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
        """Note an end with an error before the body of an answer ends with it."""
        self.was_reset = exc is not None
        super().connection_lost(exc)
        if self.is_idle:
            self._clear_errors()

    def is_reusable(self) -> bool:
        """Return whether an idle connection can take another call.

        One that has something to read was closed by the peer or has received bytes that
        belong to no call, although the loop has not seen it yet.
        """
        if not self.is_connected() or self.should_close:
            return False
        return self._poll is None or not self._poll.poll(0)

    def data_received(self, data: bytes) -> None:
        """Parse what belongs to the present call; close on anything else."""
        if self.is_idle:
            # Bytes outside a call could be taken for the answer to the next one.
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
        """Close the connection; whoever reads the present answer gets the error."""
        payload = self._payload
        self.abort()
        self.set_exception(error)
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)

    def begin_call(self, *, is_head: bool) -> None:
        """Prepare for the answer of a new call."""
        self.calls += 1
        self.has_written = False
        self.has_received = False
        self.is_idle = False
        self._non_body_bytes = 0
        self._last_payload = self._payload = None
        self._last_body_bytes = 0
        self.set_response_params(
            skip_payload=is_head,
            # An answer without a length ends with the connection, so that a truncated
            # one looks complete; it is read here and refused by its head.
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=self._buffer_bytes,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            max_headers=MAX_HEADERS,
        )

    def write(self, data: bytes) -> bool:
        """Write bytes of the call; return False when the connection is closed."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return False
        self.has_written = True
        transport.write(data)
        return True

    async def drain(self) -> None:
        """Wait until the write buffer is below its bound."""
        await self._drain_helper()

    async def read_response_head(self) -> tuple[RawResponseMessage, StreamReader]:
        """Return the head of the final answer and its body; skip 1xx answers."""
        while True:
            message, payload = await self.read()
            if not 100 <= message.code < 200 or message.code == 101:
                return message, payload

    def end_call(self, now: float) -> bool:
        """End the call; return whether the connection can take another one."""
        self.is_idle = True
        self.last_used_at = now
        self._drop_timeout()
        is_reusable = self.is_connected() and not self.should_close
        self._clear_errors()
        return is_reusable

    def _clear_errors(self) -> None:
        """Drop what the errors of an ended call refer to.

        Their tracebacks hold frames, with received bytes, that refer to the connection
        and so to the errors. Such cycles would stay until the next collection.
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
        """Fail the call when the peer goes on without a body or a final answer.

        The parser bounds only what it keeps: blank lines, spaces before a value, chunk
        extensions, zeros before a chunk size and interim answers may go on for ever.
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
