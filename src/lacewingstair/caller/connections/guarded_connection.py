"""Connections of clients that keep to limits on heads, framing and time.

Received bytes are passed to aiohttp's parser message by message, so that the state of
its input is known: within a head, within a body, or between requests.
"""

import asyncio
import contextlib
import itertools
import time

from aiohttp import EMPTY_PAYLOAD, ClientPayloadError, StreamReader, hdrs, web
from aiohttp.http import HttpProcessingError, RawRequestMessage
from aiohttp.web_protocol import RequestPayloadError, _ErrInfo
from result import Err

from lacewingstair.caller.connections.answer_progress import AnswerProgress
from lacewingstair.caller.connections.client_limits import (
    FRAMING_PER_BODY_BYTE,
    STATUS_BY_REASON,
    CloseReason,
)
from lacewingstair.caller.connections.connection_guard import ConnectionGuard
from lacewingstair.caller.connections.measured_connection import MeasuredConnection
from lacewingstair.caller.messages.head_limits import HEAD_END, HeadLimits
from lacewingstair.caller.messages.raw_response import RawResponse

# A client may send on behind a response that closes the connection. Its data is read
# and dropped for this long, as a reset could destroy the response.
LINGER_SECONDS = 1.0
# Beyond this, a refused client is no longer read.
MAX_DROPPED_BYTES = 1 << 20
# Bytes of a chunked body that are parsed before its framing is checked again, with
# small chunks and with others.
MAX_CHUNKED_PART = 4 << 10
MAX_LARGE_CHUNKS_PART = 64 << 10
# Framing is at most this part of the bytes of large chunks.
LARGE_CHUNKS_FRAMING = 1 / 16
# Requests that arrive whole are parsed at once up to this size.
MAX_WHOLE_REQUEST = 16 << 10
# The guard does not look at all connections for smaller responses; it does so once a
# second anyway.
UNCOUNTED_RESPONSE_BYTES = 4 << 10
# Memory of the requests of one connection that wait for their turn; no further one is
# parsed above it.
MAX_QUEUED_BYTES = 64 << 10
MAX_ERROR_CHARACTERS = 200


class RefusedInputError(HttpProcessingError):
    """Input beyond a limit on clients."""


class BadBodyError(ClientPayloadError):
    """Body of a request that is malformed, or whose framing is beyond its limit."""


_BAD_INPUT = (HttpProcessingError, RequestPayloadError, BadBodyError)


class GuardedConnection(MeasuredConnection):
    """Connection of a client, at any address of the process.

    Parameters
    ----------
    manager : web.Server
        Server of the connection.
    guard : ConnectionGuard
        Watches the connections of the process.
    **options
        Options of aiohttp's handler.

    Attributes
    ----------
    idle_seconds : float or None
        Time without a complete request; None while one is being answered.
    has_called : bool
        Whether a complete head has arrived.
    """

    def __init__(self, manager: web.Server, guard: ConnectionGuard, **options) -> None:
        super().__init__(manager, HeadLimits(guard.limits), **options)
        self.idle_seconds: float | None = 0.0
        self.has_called = False
        self._guard = guard
        self._head_seconds = 0.0
        self._progress = AnswerProgress(guard.limits)
        # Bytes of the body, and those that are missing; None for a chunked body.
        self._body_length: int | None = 0
        self._body_left: int | None = None
        self._body_received = 0
        self._chunked_part = MAX_CHUNKED_PART
        # Bytes of the latest body that is complete.
        self._parsed_body_bytes = 0
        self._is_refused = False
        self._dropped_bytes = 0
        self._lingering: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Let the guard watch the connection."""
        super().connection_made(transport)
        self._raw_transport = transport
        self._guard.add(self)
        self._manager.silent_connections[self] = None

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection, and what it holds."""
        if self._manager is not None:
            self._manager.silent_connections.pop(self, None)
        size = self._waiting_bytes() + self._call_bytes()
        self._guard.discard(self, self.open_calls(), size)
        request = self._current_request
        super().connection_lost(exc)
        # Reference cycles keep requests until a full collection, without their bodies.
        payloads = [payload for _, payload in self._messages]
        if request is not None:
            payloads.append(request._payload)
        for payload in payloads:
            if payload is not EMPTY_PAYLOAD:
                payload._buffer.clear()
        self._release_waiting()
        self._body = None

    def abort(self) -> None:
        """Close the connection at once; what is unsent is dropped."""
        self._is_refused = True
        self._release_waiting()
        self._head.begin()
        # It keeps its latest head.
        self._parser = None
        if self._raw_transport is not None:
            self._raw_transport.abort()

    def _release_waiting(self) -> None:
        """Release what has not had its turn, which would stay until the next event.

        Many connections can be closed while the input of one event is read.
        """
        self._unparsed = b""
        if self._messages:
            # aiohttp's task may be about to take one.
            self._messages.clear()
            error = RefusedInputError(code=400, message="the connection is closed")
            self._messages.append((_ErrInfo(400, error, ""), EMPTY_PAYLOAD))
            self._queued_heads.clear()
            self._note_queued(None)

    def open_calls(self) -> int:
        """Return the number of calls that have begun and have no response."""
        return int(self._request_in_progress)

    def give_up(self) -> bool:
        """Close the connection; return whether it stays open for an answer."""
        self.abort()
        return False

    def grow_older(self, seconds: float) -> CloseReason | None:
        """Let time pass; return why the connection has to be cut off, if it has."""
        is_answering = self._request_in_progress and self._body is None
        if is_answering or self._messages:
            self.idle_seconds = None
        else:
            self.idle_seconds = (self.idle_seconds or 0.0) + seconds
        if self._head.head_bytes and not self._is_refused and not self._close:
            self._head_seconds += seconds
            if self._head_seconds > self._guard.limits.head_seconds:
                self._refuse(CloseReason.HEAD_TOO_SLOW)
        unsent = self._note_taken()
        if self._progress.is_overdue(seconds, self._all_written_bytes(), unsent):
            return CloseReason.ANSWER_NOT_TAKEN
        return None

    def data_received(self, data: bytes) -> None:
        """Pass data to the parser as far as it keeps to the limits."""
        if self._is_refused or self._close or self._force_close:
            self._drop(data)
            return
        if not data and not self._unparsed:
            # The parser holds data only behind a full queue, or a body whose reader
            # had no room.
            if self._body is not None or self._buffer_paused:
                self._parse(data)
            return
        if not self._received_bytes and self._manager is not None:
            self._manager.silent_connections.pop(self, None)
        self._guard.note(len(data))
        end = self._end_of_only_head(data)
        if end:
            self._received_bytes += len(data)
            self._parse_at_once(data, end)
            if self._body is not None or self._head.head_bytes:
                self._begin_sending(len(data))
            return
        self._note_sent(len(data))
        start = 0
        if self._unparsed and data:
            data = self._unparsed[self._unparsed_from :] + data
        elif self._unparsed:
            data, start = self._unparsed, self._unparsed_from
        self._unparsed = b""
        while start < len(data) and not self._is_refused:
            is_paced = self._is_paced()
            if is_paced or self._must_wait():
                self._unparsed, self._unparsed_from = data, start
                is_long = len(data) - start >= self._read_bufsize
                is_full = (self._upgraded and is_long) or self._is_queue_full()
                if is_paced or is_full:
                    self._pause_reading_for_buffer()
                return
            start = self._pass_on(data, start)

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write a response; the next call begins once the client has taken most."""
        finished = await super().finish_response(request, resp, start_time)
        size = resp.size if isinstance(resp, RawResponse) else 0
        size = size or request.writer.output_size
        self._written_bytes += size
        if size > UNCOUNTED_RESPONSE_BYTES:
            self._note_taken()
            self._guard.note(size)
        if self._paused:
            # The client has not taken what was written.
            try:
                await self._drain_helper()
            except ConnectionError:
                return resp, True
        if self._unparsed and not self._upgraded:
            self.data_received(b"")
        if self._buffer_paused and not self._upgraded:
            self._resume_reading_if_drained()
        is_closed_here = self._is_refused or not request._message.should_close
        if not resp.keep_alive and is_closed_here:
            await self._linger()
        return finished

    async def shutdown(self, timeout: float | None = 15.0) -> None:
        """End the connection; `timeout` is the time for its call, in seconds."""
        if self._lingering is not None and not self._lingering.done():
            self._lingering.set_result(None)
        await super().shutdown(timeout)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to input that is no request, without a log of it."""
        if not isinstance(exc, _BAD_INPUT):
            return super().handle_error(request, status, exc, message)
        if not isinstance(exc, RefusedInputError):
            self._guard.count(CloseReason.MALFORMED)
        if request.writer.output_size:
            raise ConnectionError("an answer has begun")
        text = str(message or exc)[:MAX_ERROR_CHARACTERS]
        response = web.Response(status=400 if status >= 500 else status, text=text)
        response.force_close()
        return response

    def log_exception(self, *args, **options) -> None:
        """Log a fault of the program; those of the client are counted."""
        if not isinstance(options.get("exc_info"), _BAD_INPUT):
            super().log_exception(*args, **options)

    def _must_wait(self) -> bool:
        return self._upgraded or self._reading_paused or self._is_queue_full()

    def _is_queue_full(self) -> bool:
        """Return whether requests behind one another take what a connection may."""
        if not self._messages:
            return False
        if len(self._messages) >= self._max_msg_queue_size:
            return True
        return self._queued_bytes() > MAX_QUEUED_BYTES

    def _is_paced(self) -> bool:
        """Return whether a chunked body waits until all may be parsed on."""
        is_chunked = self._body is not None and self._body_left is None
        return is_chunked and not self._guard.may_parse(self, self._loop)

    def parse_on(self) -> None:
        """Parse what was received of a chunked body."""
        if self._parser is None or self._is_refused:
            return
        self.data_received(b"")
        if self._buffer_paused:
            self._resume_reading_if_drained()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Let the client send again.

        A stream calls this for each chunk that is read from it, also if it did not
        pause the connection.
        """
        if not self._reading_paused:
            return
        super().resume_reading(resume_parser)
        # What waited for room in the stream was received before another pause.
        if self._buffer_paused and not self._must_wait():
            self._resume_reading_if_drained()

    def _resume_reading_for_buffer(self) -> None:
        """Let the client send again, once all it has sent is with the parser."""
        if not self._unparsed:
            super()._resume_reading_for_buffer()

    def _end_of_only_head(self, data: bytes) -> int:
        """Return where the head of a single request ends; 0 if there may be more.

        Most requests arrive whole. They are parsed in one step, without copies.
        """
        if (
            self._body is not None
            or self._head.head_bytes
            or self._unparsed
            or not data
            or len(data) > min(self._guard.limits.max_head_bytes, MAX_WHOLE_REQUEST)
            or data[0] in HEAD_END
            or self._must_wait()
        ):
            return 0
        found = data.find(HEAD_END)
        end = found + len(HEAD_END)
        return 0 if found < 0 or data.find(HEAD_END, end) >= 0 else end

    def _parse_at_once(self, data: bytes, end: int) -> None:
        """Parse a single head and what follows it."""
        self._head.head_bytes = end
        before = len(self._messages)
        began_at = time.monotonic()
        self._parse(data)
        if self._body_length is None:
            self._note_parsing(began_at)
        rest = len(data) - end
        if not rest or self._is_refused or self._upgraded:
            return
        if self._body is None and self._parsed_body_bytes == rest:
            return
        if len(self._messages) == before:
            self._head.begin(data)
        elif self._body_length is None:
            self._body_received = rest
        elif rest <= self._body_length:
            self._body_left = self._body_length - rest
        elif self._body is None:
            self._head.begin(data[end + self._body_length :])
        else:
            self._body_left = 0

    def _pass_on(self, data: bytes, start: int) -> int:
        """Pass the next part of the data to the parser; return where the rest begins.

        Nothing is left once the client is refused.
        """
        if self._body is not None:
            left = self._chunked_part if self._body_left is None else self._body_left
            end = min(len(data), start + left)
            self._parse_body(data[start:end])
            return end
        skipped = self._head.skip_empty_lines(data, start)
        if isinstance(skipped, Err):
            self._refuse(skipped.err_value)
            return len(data)
        if skipped.ok_value > start:
            # Behind a chunked body they may end a head that has begun unseen.
            self._parse(data[start : skipped.ok_value])
            return skipped.ok_value
        taken = self._head.take(data, start)
        if isinstance(taken, Err):
            self._refuse(taken.err_value)
            return len(data)
        end = taken.ok_value
        # Most requests arrive whole, and are not copied.
        is_whole = start == 0 and end == len(data)
        self._parse(data if is_whole else data[start:end])
        return end

    def _parse_body(self, part: bytes) -> None:
        body = self._body
        self._body_received += len(part)
        if self._body_left is not None:
            self._body_left -= len(part)
            self._parse(part)
            if self._body_left == 0 and not self._reading_paused:
                self._body = None
            return
        before = len(self._messages)
        before_bytes = body.total_bytes
        began_at = time.monotonic()
        self._parse(part)
        self._note_parsing(began_at)
        framing = len(part) - (body.total_bytes - before_bytes)
        has_large_chunks = framing <= LARGE_CHUNKS_FRAMING * len(part)
        self._chunked_part = (
            MAX_LARGE_CHUNKS_PART if has_large_chunks else MAX_CHUNKED_PART
        )
        if body.is_eof():
            # The next head may have begun within the part, behind the trailers.
            if before == len(self._messages):
                self._head.begin(part[part.rfind(HEAD_END) + len(HEAD_END) :])
            return
        framing = self._body_received - body.total_bytes
        allowed = FRAMING_PER_BODY_BYTE * body.total_bytes
        # A parser that waits for its reader holds data that it has not counted.
        is_over = framing > allowed + self._guard.limits.max_framing_bytes
        if is_over and not self._reading_paused:
            body.set_exception(BadBodyError("chunk framing beyond the limit"))
            self._refuse(CloseReason.FRAMING)

    def _note_parsing(self, began_at: float) -> None:
        # The time of the loop stands still while it handles an event.
        now = time.monotonic()
        self._guard.note_parsing(now - began_at, now)

    def _parse(self, part: bytes) -> None:
        """Pass a part to the parser, and note the state of its input."""
        before = len(self._messages)
        super().data_received(part)
        if len(self._messages) > before:
            for message, payload in itertools.islice(self._messages, before, None):
                self._note_message(message, payload)
        body = self._body
        if body is not None and body.is_eof():
            self._parsed_body_bytes = body.total_bytes
            self._body = None
            self._head.begin()

    def _note_message(
        self, message: RawRequestMessage | _ErrInfo, payload: StreamReader
    ) -> None:
        if not isinstance(message, RawRequestMessage):
            self._is_refused = True
            # Its frames refer to the error again, and to the data received.
            message.exc.__traceback__ = None
            self._note_queued(None)
            if self._body is not None:
                # Its call would wait for the rest.
                self._body.set_exception(BadBodyError(message.message))
            return
        self._note_queued(message)
        self._head.begin()
        self._head_seconds = 0.0
        self.idle_seconds = None
        self.has_called = True
        self._parsed_body_bytes = 0
        if payload is EMPTY_PAYLOAD:
            self._body_length = 0
            return
        self._body = payload
        # Within a chunked part, the parser has gone on into the next body.
        self._body_received = payload.total_bytes
        length = None if message.chunked else message.headers.get(hdrs.CONTENT_LENGTH)
        self._body_length = self._body_left = None
        if length is not None:
            self._body_length = int(length)
            self._body_left = self._body_length - payload.total_bytes

    def _refuse(self, reason: CloseReason) -> None:
        """Answer behind the calls in progress that the input is beyond a limit."""
        self._is_refused = True
        self._unparsed = b""
        self._head.begin()
        self._guard.count(reason)
        status = STATUS_BY_REASON[reason]
        error = RefusedInputError(code=status, message=reason.value)
        self._messages.append((_ErrInfo(status, error, reason.value), EMPTY_PAYLOAD))
        self._note_queued(None)
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _drop(self, data: bytes) -> None:
        self._dropped_bytes += len(data)
        if self._dropped_bytes > MAX_DROPPED_BYTES:
            self._pause_transport_reading()

    async def _linger(self) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        self._close = True
        self._unparsed = b""
        transport.write_eof()
        self._lingering = self._loop.create_future()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LINGER_SECONDS):
                await self._lingering
