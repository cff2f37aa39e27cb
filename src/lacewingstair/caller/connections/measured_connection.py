"""Connections that tell what their clients make the process hold, and their progress.

One account has all of it, from the first byte of a head to the last of an answer.
"""

import asyncio
from collections import deque

from aiohttp import EMPTY_PAYLOAD, StreamReader, web
from aiohttp.http import RawRequestMessage

from lacewingstair.caller.connections.client_progress import ClientProgress
from lacewingstair.caller.connections.connection_budget import (
    SMALL_BYTES,
    Holding,
    Stage,
)
from lacewingstair.caller.messages.head_limits import HeadLimits
from lacewingstair.caller.messages.head_memory import CALL_BYTES, head_memory

# Objects for a chunk that has not been read, beside its bytes.
CHUNK_BYTES = 96


class MeasuredConnection(web.RequestHandler):
    """Connection whose memory is counted.

    Parameters
    ----------
    manager : web.Server
        Server of the connection.
    head : HeadLimits
        Counts the head that is being received.
    **options
        Options of aiohttp's handler.
    """

    def __init__(self, manager: web.Server, head: HeadLimits, **options) -> None:
        super().__init__(manager, **options)
        self._head = head
        self._written_bytes = 0
        self._raw_transport: asyncio.Transport | None = None
        # Received, and not yet passed to the parser.
        self._unparsed = b""
        self._unparsed_from = 0
        # Memory of the heads in the queue, and of the latest one that had its turn.
        self._queued_heads: deque[int] = deque()
        self._turn_head = 0
        self._received_bytes = 0
        self._sending = ClientProgress(self._loop.time())
        self._reading = ClientProgress(self._loop.time())
        self._body: StreamReader | None = None

    def holding(self) -> Holding:
        """Return what the client makes the process hold."""
        unsent = self._note_taken()
        waiting = self._waiting_bytes()
        call = self._call_bytes()
        head = head_memory(self._head.head_bytes, self._head.head_lines)
        size = waiting + call + head + unsent
        now = self._loop.time()
        if unsent:
            rate = self._reading.rate(now)
            return Holding(Stage.UNREAD if rate < 0 else Stage.ANSWERED, size, rate)
        stage = self._stage()
        if stage is Stage.UNFINISHED:
            return Holding(stage, size, self._sending.rate(now))
        if stage is Stage.IDLE:
            return Holding(stage, size)
        stage = Stage.QUEUED if waiting > SMALL_BYTES else stage
        return Holding(stage, size, running_size=call)

    def _stage(self) -> Stage:
        """Return what a connection is doing whose answers have been taken."""
        request = self._current_request
        if request is not None:
            is_arriving = self._body is not None and request._payload is self._body
            return Stage.UNFINISHED if is_arriving else Stage.RUNNING
        if self._head.head_bytes or self._unparsed or self._body is not None:
            return Stage.UNFINISHED
        # Without a waiter, a request was taken whose handler has not begun.
        is_waiting = self._waiter is not None or self._close
        return Stage.IDLE if is_waiting and not self._messages else Stage.RUNNING

    def _note_taken(self) -> int:
        """Note how much of its answers the client has taken; return what is unsent."""
        unsent = self._raw_transport.get_write_buffer_size()
        if not unsent:
            self._reading.end()
            return 0
        now = self._loop.time()
        taken = self._all_written_bytes() - unsent
        if not self._reading.is_active:
            # What the kernel took at once says nothing of the client.
            self._reading.begin(now, taken)
        self._reading.note(taken, now)
        return unsent

    def _all_written_bytes(self) -> int:
        request = self._current_request
        # A handler may write its response in parts.
        parts = 0 if request is None else request.writer.output_size
        return self._written_bytes + parts

    def _queued_bytes(self) -> int:
        """Return the memory of the requests that wait for their turn."""
        while len(self._queued_heads) > len(self._messages):
            self._turn_head = self._queued_heads.popleft()
        bodies = sum(stream_memory(payload) for _, payload in self._messages)
        return sum(self._queued_heads) + bodies

    def _waiting_bytes(self) -> int:
        """Return the memory of what was received behind the request in turn."""
        return self._queued_bytes() + len(self._unparsed)

    def _call_bytes(self) -> int:
        """Return the memory of the request that has its turn, or had it last."""
        call = CALL_BYTES if self._request_in_progress else 0
        return call + self._turn_head + self._body_bytes()

    def _body_bytes(self) -> int:
        """Return the bytes of the body of the request that has its turn."""
        request = self._current_request
        if request is not None:
            return request._payload.total_bytes
        is_behind_answer = self._body is not None and not self._messages
        return stream_memory(self._body) if is_behind_answer else 0

    def _note_sent(self, size: int) -> None:
        """Count bytes that the client has sent."""
        self._received_bytes += size
        is_first = not (self._head.head_bytes or self._unparsed or self._messages)
        if is_first and self._current_request is None:
            self._begin_sending(size)
            return
        self._sending.note(self._received_bytes, self._loop.time())

    def _begin_sending(self, size: int) -> None:
        """Note that the latest bytes begin a request that is not complete."""
        now = self._loop.time()
        self._sending.begin(now, self._received_bytes - size)
        self._sending.note(self._received_bytes, now)

    def _note_queued(self, message: RawRequestMessage | None) -> None:
        """Count a request that waits for its turn; None stands for a refusal."""
        if message is None:
            self._queued_heads.append(0)
            return
        size = self._head.head_bytes or _head_bytes(message)
        self._queued_heads.append(head_memory(size, len(message.raw_headers)))


def _head_bytes(message: RawRequestMessage) -> int:
    fields = sum(len(name) + len(value) for name, value in message.raw_headers)
    return len(message.path) + fields


def stream_memory(payload: StreamReader) -> int:
    """Return the memory of the received bytes that no handler has read."""
    if payload is EMPTY_PAYLOAD:
        return 0
    return payload._size + CHUNK_BYTES * len(payload._buffer)
