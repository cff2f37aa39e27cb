"""Server side of the streams between VMs: one task for each connection."""

import asyncio
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from lacewingstair import events
from lacewingstair.accounts.quota_messages import QuotaGrant, QuotaReport
from lacewingstair.addresses import split_address
from lacewingstair.backend_server.admission_proxy import AdmissionProxy
from lacewingstair.errors import ListenError
from lacewingstair.runtime import Clock, SystemClock
from lacewingstair.vm import distances
from lacewingstair.vm.call_messages import (
    CallCancel,
    CallRequest,
    EntryChanged,
    Hello,
    LoadChanged,
    LoadReport,
    Ping,
    Pong,
    RecordsRequest,
)
from lacewingstair.vm.call_streams import CallStream
from lacewingstair.vm.entries import MeshView, VmEntry, entry_distance
from lacewingstair.vm.receive_budget import ReceiveBudget
from lacewingstair.vm.record_sender import RecordSender
from lacewingstair.vm.stream_traffic import StreamTraffic


class CallStreamServer:
    """Accepts streams of other VMs and runs their calls at the gate.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on.
    gate : AdmissionProxy
        Runs the calls.
    own_entry : callable
        Returns this VM's entry.
    view : MeshView
        Entries of all VMs.
    record_sender : RecordSender
        Answers requests for records of the operators.
    initial_messages : callable
        Returns the messages that a new connection gets after `Hello` and the load.
    traffic : StreamTraffic, optional
        Counts the bytes of messages.
    budget : ReceiveBudget, optional
        Bounds the bytes of messages that are held.
    clock : Clock, optional
        Source of time.
    on_quota_message : callable, optional
        Called with each message about quotas. A VM sends its own ones, reports as well
        as grants, on the stream on which it makes calls.
    """

    def __init__(
        self,
        address: str,
        gate: AdmissionProxy,
        own_entry: Callable[[], VmEntry],
        view: MeshView,
        record_sender: RecordSender,
        initial_messages: Callable[[], list[Any]] = list,
        traffic: StreamTraffic | None = None,
        budget: ReceiveBudget | None = None,
        clock: Clock | None = None,
        on_quota_message: Callable[[QuotaReport | QuotaGrant], None] = lambda _: None,
    ) -> None:
        self._clock = clock or SystemClock()
        self._on_quota_message = on_quota_message
        self._traffic = traffic
        self._budget = budget or ReceiveBudget()
        self._initial_messages = initial_messages
        self._address = address
        self._gate = gate
        self._own_entry = own_entry
        self._view = view
        self._record_sender = record_sender
        self._streams: set[CallStream] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        gate.subscribe(self._broadcast_load)

    @property
    def open_calls(self) -> int:
        """Calls of other VMs that have no answer yet."""
        return len(self._tasks)

    @property
    def unsent_bytes(self) -> int:
        """Bytes in the write buffers of all streams."""
        return sum(stream.queued_bytes for stream in self._streams)

    async def listen(self) -> Result[None, ListenError]:
        """Start to accept connections."""
        try:
            host, port = split_address(self._address)
            self._server = await asyncio.start_server(self._accept, host, port)
        except OSError as error:
            return Err(ListenError(self._address, error.strerror or str(error)))
        return Ok(None)

    def close(self) -> None:
        """Stop accepting connections and close all streams."""
        if self._server is not None:
            self._server.close()
        self._record_sender.close()
        for stream in list(self._streams):
            stream.close()

    def announce_load(self) -> None:
        """Send a load report, with the position of the operators' records.

        A VM that reads the store sends it to all VMs. Other VMs send it only within
        their zone, since messages between all pairs grow with the square of the number
        of VMs.
        """
        load = self._gate.load()
        if load.reads_store:
            self._broadcast_load(load)
            return
        for stream in self._streams:
            if stream.distance == distances.ZONE:
                stream.send(LoadChanged(load))

    def announce_load_to_all(self) -> None:
        """Send a load report to all VMs, as they rely on its `reads_store`."""
        self._broadcast_load(self._gate.load())

    def broadcast(self, message: Any) -> None:
        """Send a message to all connected VMs."""
        for stream in self._streams:
            stream.send(message)

    def _broadcast_load(self, load: LoadReport) -> None:
        self.broadcast(LoadChanged(load))

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        stream = CallStream(reader, writer, self._traffic, self._budget)
        tasks_by_call_id: dict[int, asyncio.Task[None]] = {}
        self._streams.add(stream)
        stream.send(Hello(self._own_entry()))
        stream.send(LoadChanged(self._gate.load()))
        for message in self._initial_messages():
            stream.send(message)
        try:
            async for message in stream.messages():
                self._handle(stream, message, tasks_by_call_id)
                del message
        except asyncio.CancelledError:
            # The process is stopping. CPython 3.11 logs a cancelled connection handler
            # as an error, so that the exception is not propagated.
            return
        finally:
            self._streams.discard(stream)
            # The calling VM has disconnected, and nobody else waits for the answers.
            for task in tasks_by_call_id.values():
                task.cancel()
            stream.close()

    def _handle(
        self,
        stream: CallStream,
        message: Any,
        tasks_by_call_id: dict[int, asyncio.Task[None]],
    ) -> None:
        match message:
            case CallRequest():
                self._gate.link_queue.record(len(message.body), self._clock.monotonic())
                task = asyncio.create_task(self._run(stream, message))
                tasks_by_call_id[message.call_id] = task
                self._tasks.add(task)
                task.add_done_callback(
                    lambda done: self._handle_call_end(
                        message.call_id, done, tasks_by_call_id
                    )
                )
            case CallCancel(call_id):
                task = tasks_by_call_id.get(call_id)
                if task is not None:
                    task.cancel()
            case Ping(number):
                stream.send(Pong(number, self._gate.load()))
            case Hello(entry):
                stream.distance = entry_distance(self._own_entry(), entry)
                stream.peer_bandwidth_kbps = entry.bandwidth_kbps
                self._view.merge(entry)
            case EntryChanged(entry):
                self._view.merge(entry)
            case RecordsRequest():
                self._record_sender.answer(stream, message, stream.peer_bandwidth_kbps)
            case QuotaReport() | QuotaGrant():
                self._on_quota_message(message)
            case _:
                events.warning("message_unexpected", kind=type(message).__name__)

    async def _run(self, stream: CallStream, call: CallRequest) -> None:
        with self._budget.holding(len(call.body)):
            stream.send(await self._gate.run(call))

    def _handle_call_end(
        self,
        call_id: int,
        task: asyncio.Task[None],
        tasks_by_call_id: dict[int, asyncio.Task[None]],
    ) -> None:
        tasks_by_call_id.pop(call_id, None)
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            events.error("call_crashed", error=repr(task.exception()))
