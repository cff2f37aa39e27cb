"""Connections of callers that send calls before the earlier ones are answered.

Calls that may be repeated are run while the calls before them on the connection are
still open, and their responses wait for their turn. Other calls begin when all before
them have been answered. What waits is bounded: a call is run ahead only while few are,
and while the responses that are ready are small.
"""

import asyncio
from collections.abc import Callable

import attrs
from aiohttp import EMPTY_PAYLOAD, StreamReader, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage, StreamWriter
from multidict import CIMultiDictProxy

from lacewingstair.caller.connections.connection_budget import (
    SMALL_BYTES,
    Holding,
    Stage,
)
from lacewingstair.caller.connections.connection_guard import ConnectionGuard
from lacewingstair.caller.connections.guarded_connection import GuardedConnection
from lacewingstair.caller.connections.measured_connection import stream_memory
from lacewingstair.caller.messages.body_refusal import BodyRefusedError
from lacewingstair.caller.messages.head_memory import CALL_BYTES
from lacewingstair.caller.messages.raw_response import RawResponse

# Calls of one connection that are run ahead of their turn.
MAX_CALLS_AHEAD = 4
# Responses of one connection that wait for their turn; no call is begun above it.
MAX_WAITING_RESPONSE_BYTES = 256 << 10

MayRunAhead = Callable[[web.BaseRequest], bool]


def waited_seconds(request: web.BaseRequest) -> float:
    """Return how long a request has waited for earlier ones of its connection."""
    return getattr(request, "waited_seconds", 0.0)


@attrs.define(eq=False)
class _CallAhead:
    """Call that was begun before its turn."""

    request: web.BaseRequest
    task: asyncio.Task[web.StreamResponse]

    @property
    def waiting_bytes(self) -> int:
        """Bytes of its response, once there is one."""
        if not self.task.done() or self.task.cancelled() or self.task.exception():
            return 0
        response = self.task.result()
        return response.size if isinstance(response, RawResponse) else 0


class PipelinedConnection(GuardedConnection):
    """Connection of a caller.

    Parameters
    ----------
    manager : web.Server
        Server of the connection; its `handle_call` handles one call.
    guard : ConnectionGuard
        Watches the connections of the process.
    may_run_ahead : callable
        Returns whether a call may be run before the earlier ones are answered.
    **options
        Options of aiohttp's handler.
    """

    def __init__(
        self,
        manager: web.Server,
        guard: ConnectionGuard,
        may_run_ahead: MayRunAhead,
        **options,
    ) -> None:
        super().__init__(manager, guard, **options)
        self._may_run_ahead = may_run_ahead
        # Keys are ids of messages that are queued, or being handled.
        self._ahead_by_message_id: dict[int, _CallAhead] = {}
        self._arrived_at_by_message_id: dict[int, float] = {}
        self._allows_ahead = False

    @property
    def queued_calls(self) -> int:
        """Calls that were read and have not had their turn."""
        return len(self._messages)

    def open_calls(self) -> int:
        """Return the number of calls that have begun and have no response."""
        return super().open_calls() + len(self._ahead_by_message_id)

    def holding(self) -> Holding:
        """Return what the client makes the process hold."""
        found = super().holding()
        ahead = self._ahead_by_message_id.values()
        if not ahead:
            return found
        calls = CALL_BYTES * len(ahead)
        waiting = sum(call.waiting_bytes for call in ahead)
        is_queued = found.stage is Stage.RUNNING and waiting > SMALL_BYTES
        return attrs.evolve(
            found,
            stage=Stage.QUEUED if is_queued else found.stage,
            size=found.size + calls + waiting,
            running_size=found.running_size + calls,
        )

    def give_up(self) -> bool:
        """Refuse a request whose body is arriving, else close the connection."""
        request, body = self._current_request, self._body
        is_arriving = request is not None and request._payload is body
        if self._is_refused or body is None or not is_arriving:
            return super().give_up()
        self._is_refused = True
        self._unparsed = b""
        body.set_exception(BodyRefusedError("memory for request bodies is full"))
        return True

    def _body_bytes(self) -> int:
        """Return the bytes of a body that wait for its handler, or that it keeps."""
        request = self._current_request
        if request is None:
            return super()._body_bytes()
        buffered = stream_memory(request._payload)
        # A body that was refused is released at once.
        return buffered if self._is_refused else buffered + request.kept_body_bytes

    def data_received(self, data: bytes) -> None:
        """Queue calls that were read, and begin those that may run ahead."""
        super().data_received(data)
        # Without a call in progress, the first one in the queue has its turn anyway.
        if self._request_in_progress:
            self._run_ahead()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel what was begun, as nobody waits for the responses."""
        super().connection_lost(exc)
        for ahead in self._ahead_by_message_id.values():
            ahead.task.cancel()
        # Breaks reference cycles that would keep responses until a full collection.
        self._ahead_by_message_id.clear()
        self._arrived_at_by_message_id.clear()

    def begin(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        """Return the request of a message whose turn has come."""
        ahead = self._ahead_by_message_id.get(id(message))
        request = (
            self._make(message, payload, writer, task)
            if ahead is None
            else ahead.request
        )
        request._task = task
        self._allows_ahead = self._is_repeatable(request, payload)
        # Deferred, so that the call whose turn has come begins first.
        self._loop.call_soon(self._run_ahead)
        return request

    async def respond(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the response to a request whose turn has come."""
        ahead = self._ahead_by_message_id.pop(id(request._message), None)
        if ahead is None:
            if self._manager is None:
                # The connection was lost; the call may have been begun ahead.
                raise asyncio.CancelledError
            return await self._manager.handle_call(request)
        return await ahead.task

    def _note_message(self, message, payload: StreamReader) -> None:
        super()._note_message(message, payload)
        self._arrived_at_by_message_id[id(message)] = self._loop.time()

    def _make(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        request = self._manager.request_class(
            message, payload, self, writer, task, self._loop
        )
        arrived_at = self._arrived_at_by_message_id.pop(id(message), None)
        if arrived_at is not None:
            request.waited_seconds = max(0.0, self._loop.time() - arrived_at)
        return request

    def _is_repeatable(self, request: web.BaseRequest, payload: StreamReader) -> bool:
        # aiohttp makes a request with plain headers for input that is no request.
        if not isinstance(request.headers, CIMultiDictProxy):
            return False
        return payload is EMPTY_PAYLOAD and self._may_run_ahead(request)

    def _run_ahead(self) -> None:
        """Begin the queued calls that need not wait for their turn."""
        if not self._allows_ahead or self._request_factory is None:
            return
        for message, payload in self._messages:
            if id(message) in self._ahead_by_message_id:
                continue
            if not isinstance(message, RawRequestMessage) or not self._has_room():
                return
            writer = StreamWriter(self, self._loop)
            request = self._make(message, payload, writer, self._task_handler)
            if not self._is_repeatable(request, payload):
                self._arrived_at_by_message_id[id(message)] = (
                    self._loop.time() - request.waited_seconds
                )
                return
            task = self._loop.create_task(self._manager.handle_call(request))
            ahead = _CallAhead(request, task)
            self._ahead_by_message_id[id(message)] = ahead
            task.add_done_callback(lambda _, ahead=ahead: self._note_ahead(ahead))

    def _note_ahead(self, ahead: _CallAhead) -> None:
        """Count a response that waits for its turn."""
        self._guard.note(ahead.waiting_bytes)

    def _has_room(self) -> bool:
        found = self._ahead_by_message_id.values()
        waiting_bytes = sum(ahead.waiting_bytes for ahead in found)
        return len(found) < MAX_CALLS_AHEAD and (
            waiting_bytes <= MAX_WAITING_RESPONSE_BYTES
        )
