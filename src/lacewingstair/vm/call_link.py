"""Client side of the streams between VMs: one link to each VM that receives calls."""

import asyncio
import functools
import itertools
from collections.abc import Callable, Iterable
from typing import Any

import attrs
from result import Err

from lacewingstair import events
from lacewingstair.runtime import Clock
from lacewingstair.vm.call_messages import (
    CallAnswer,
    CallCancel,
    CallFailed,
    CallOutcome,
    CallRefused,
    CallRequest,
    EntryChanged,
    EvidenceChanged,
    Hello,
    LoadChanged,
    LoadReport,
    MarkChanged,
    Ping,
    Pong,
    RecordsPart,
    RefusalReason,
    StoreChecked,
    StoreTopic,
)
from lacewingstair.vm.call_streams import CallStream, connect
from lacewingstair.vm.distances import REGION, UNKNOWN, ZONE
from lacewingstair.vm.entries import VmEntry, entry_distance
from lacewingstair.vm.link_delay import LinkDelay
from lacewingstair.vm.record_fetcher import RecordSource
from lacewingstair.vm.stream_traffic import StreamTraffic

# With calls in flight, a peer that has sent nothing for this long is pinged.
PING_AFTER_SECONDS = 0.5
PONG_TIMEOUT_SECONDS = 1.0
# Without calls in flight, a peer whose liveness matters to this VM is pinged after a
# silence that is longer by this factor.
IDLE_PING_FACTOR = 4
# A check that runs later than this shows that the event loop of this process was
# blocked, and does not count as silence of the peer.
LATE_CHECK_THRESHOLD_SECONDS = 0.2
# How long a call waits for a stream that is being opened.
CONNECT_WAIT_SECONDS = 0.25
# How long a VM gets no calls after a failed connect or a lost stream.
RECONNECT_DELAY_SECONDS = 0.5
EMPTY_LOAD_REPORT = LoadReport()

OnStoreChecked = Callable[[str, StoreChecked, float], None]


@attrs.define(eq=False)
class SuspendedCall:
    """A call at a VM that stopped responding; it may still run and yield an outcome.

    Parameters
    ----------
    late_outcome : Future
        Resolves to the outcome if it arrives.
    cancel : callable
        Cancels the call at the VM.
    """

    late_outcome: "asyncio.Future[CallOutcome]"
    cancel: Callable[[], None]


@attrs.define(eq=False)
class _PendingCall:
    """A call that was sent on a stream and has no outcome yet."""

    call: CallRequest
    stream: CallStream
    outcome: "asyncio.Future[CallOutcome | SuspendedCall]"
    late_outcome: "asyncio.Future[CallOutcome]"

    def resolve(self, outcome: CallOutcome) -> None:
        """Set the outcome; that of a suspended call goes to `late_outcome`."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)
        elif not self.late_outcome.done():
            self.late_outcome.set_result(outcome)


class CallLink:
    """Connection to one VM, opened on demand.

    Parameters
    ----------
    entry : VmEntry
        The VM.
    own_entry : callable
        Returns the entry of this VM, which is sent in `Hello`.
    clock : Clock
        Clock for timestamps.
    on_entry : callable
        Called with each entry that the peer sends.
    on_record_source : callable
        Called with the peer as a source of operators' records after each load report.
    on_records_part : callable
        Called with the id of the VM and a part of the records that it sends.
    on_hello : callable
        Called with the id of the expected VM and the entry in the peer's `Hello`.
    on_rollout_message : callable
        Called with each message of the peer about a rollout.
    on_store_checked : callable, optional
        Called with the id of the VM, each message of it about the store, and how many
        seconds later than usual the message has arrived.
    traffic : StreamTraffic, optional
        Counts the bytes of messages.

    Attributes
    ----------
    load : LoadReport
        Newest load report of the peer.
    load_received_at : float
        When that report was received, in monotonic seconds.
    in_flight : int
        Calls that were sent to the peer and have no outcome yet.
    failed_at : float or None
        When the last connect failed or the stream was lost, in monotonic seconds; None
        while the link works.
    """

    def __init__(
        self,
        entry: VmEntry,
        own_entry: Callable[[], VmEntry],
        clock: Clock,
        *,
        on_entry: Callable[[VmEntry], None],
        on_record_source: Callable[[RecordSource], None],
        on_records_part: Callable[[str, RecordsPart], None],
        on_hello: Callable[[str, VmEntry], None],
        on_rollout_message: Callable[[EvidenceChanged | MarkChanged], None],
        on_store_checked: OnStoreChecked = lambda vm_id, message, late_seconds: None,
        traffic: StreamTraffic | None = None,
    ) -> None:
        self._traffic = traffic
        self._on_store_checked = on_store_checked
        self._on_hello = on_hello
        self._on_rollout_message = on_rollout_message
        self.entry = entry
        self._own_entry = own_entry
        self._clock = clock
        self._on_entry = on_entry
        self._on_record_source = on_record_source
        self._on_records_part = on_records_part
        self._record_source = RecordSource(
            entry.vm_id, UNKNOWN, self.send, lambda: self.is_connected
        )
        self._call_ids = itertools.count(1)
        self._pending_calls_by_id: dict[int, _PendingCall] = {}
        self._stream: CallStream | None = None
        self._open_task: asyncio.Task[None] | None = None
        self._read_tasks: set[asyncio.Task[None]] = set()
        self._last_received_at = 0.0
        self._is_check_scheduled = False
        self._pinged_at: float | None = None
        self._check_due_at = 0.0
        self._bytes_at_last_check = 0
        self._calls_since_load_report = 0
        self._delay = LinkDelay()
        self.load = EMPTY_LOAD_REPORT
        self.load_received_at = 0.0
        self.failed_at: float | None = None

    @property
    def in_flight(self) -> int:
        """Calls that were sent to the peer and have no outcome yet."""
        return len(self._pending_calls_by_id)

    @property
    def calls_since_load_report(self) -> int:
        """Calls sent since the newest load report, which does not include them."""
        return self._calls_since_load_report

    @property
    def is_connected(self) -> bool:
        """Whether the stream is open."""
        return self._stream is not None

    @property
    def unsent_bytes(self) -> int:
        """Bytes in the write buffers of the stream, and of those it has replaced."""
        streams = {pending.stream for pending in self._pending_calls_by_id.values()}
        if self._stream is not None:
            streams.add(self._stream)
        return sum(stream.queued_bytes for stream in streams)

    def is_usable(self, now: float) -> bool:
        """Return whether calls may be sent; not soon after the link has failed."""
        return self.failed_at is None or now - self.failed_at >= RECONNECT_DELAY_SECONDS

    async def run(self, call: CallRequest) -> CallOutcome | SuspendedCall:
        """Send a call and wait for its outcome; cancellation is sent to the peer.

        If the VM stops responding, a call that may run twice is returned as suspended,
        so that it can be tried on another VM in the meantime. Other calls keep waiting:
        they may be running, so that they could not be retried after an early failure.
        """
        if self._stream is None:
            await self._connect()
        stream = self._stream
        if stream is None:
            return CallRefused(
                call.call_id, RefusalReason.UNREACHABLE, 0.0, False, EMPTY_LOAD_REPORT
            )
        call_id = next(self._call_ids)
        call = attrs.evolve(call, call_id=call_id)
        loop = asyncio.get_running_loop()
        pending = _PendingCall(call, stream, loop.create_future(), loop.create_future())
        try:
            stream.send(call)
        except (ValueError, TypeError, OverflowError) as error:
            # Nothing of the call was sent, and nothing of it stays here.
            events.warning("call_not_encodable", error=f"{error!r:.100}")
            return CallRefused(
                call_id, RefusalReason.UNREACHABLE, 0.0, False, EMPTY_LOAD_REPORT
            )
        self._pending_calls_by_id[call_id] = pending
        self._calls_since_load_report += 1
        self._schedule_silence_check()
        try:
            outcome = await pending.outcome
        except asyncio.CancelledError:
            self._cancel_call(pending)
            raise
        if not isinstance(outcome, SuspendedCall):
            self._remove_call(pending)
        return outcome

    def _cancel_call(self, pending: _PendingCall) -> None:
        pending.stream.send(CallCancel(pending.call.call_id))
        self._remove_call(pending)

    def _remove_call(self, pending: _PendingCall) -> None:
        """Remove a call; a detached stream is closed after its last call."""
        self._pending_calls_by_id.pop(pending.call.call_id, None)
        self._close_if_unused(pending.stream)

    def _close_if_unused(self, stream: CallStream) -> None:
        if stream is self._stream:
            return
        if all(p.stream is not stream for p in self._pending_calls_by_id.values()):
            stream.close()

    def send(self, message: Any) -> None:
        """Send a message if the stream is open, else drop it."""
        if self._stream is not None:
            self._stream.send(message)

    def open(self) -> None:
        """Start to open the stream unless it is open or being opened."""
        if self._stream is None and self._open_task is None:
            self._open_task = asyncio.create_task(self._open())

    def close(self) -> None:
        """Close the stream and fail the calls in flight."""
        for task in (self._open_task, *self._read_tasks):
            if task is not None:
                task.cancel()
        if self._stream is not None:
            self._stream.close()
        self._detach()
        self._fail_calls("the link was closed", self._pending_calls_by_id.values())

    async def _connect(self) -> None:
        self.open()
        if self._open_task is not None:
            await asyncio.wait((self._open_task,), timeout=CONNECT_WAIT_SECONDS)

    async def _open(self) -> None:
        try:
            opened = await connect(self.entry.address, self._traffic)
        finally:
            self._open_task = None
        if isinstance(opened, Err):
            if self.failed_at is None:
                vm = self.entry.vm_id
                events.warning("vm_lost", vm=vm, error=opened.err_value)
            self.failed_at = self._clock.monotonic()
            return
        stream = opened.ok_value
        stream.distance = entry_distance(self._own_entry(), self.entry)
        self._record_source.distance = stream.distance
        self._record_receipt()
        self._bytes_at_last_check = 0
        self._pinged_at = None
        self._delay = LinkDelay()
        self._stream = stream
        stream.send(Hello(self._own_entry()))
        read_task = asyncio.create_task(self._read(stream))
        self._read_tasks.add(read_task)
        read_task.add_done_callback(self._read_tasks.discard)

    async def _read(self, stream: CallStream) -> None:
        """Handle the messages of the peer until the stream ends."""
        try:
            async for message in stream.messages():
                if stream is self._stream:
                    self._record_receipt()
                self._handle(message, is_current=stream is self._stream)
        finally:
            stream.close()
            self._handle_stream_end(stream)

    def _handle(self, message: Any, is_current: bool) -> None:
        match message:
            case CallAnswer() | CallRefused() | CallFailed():
                if is_current:
                    self._set_load(message.load)
                pending = self._pending_calls_by_id.get(message.call_id)
                if pending is not None:
                    pending.resolve(message)
            case LoadChanged(load) | Pong(_, load):
                if is_current:
                    self._set_load(load)
            case Hello(entry):
                if self.failed_at is not None:
                    events.info("vm_regained", vm=self.entry.vm_id)
                self.failed_at = None
                self._on_hello(self.entry.vm_id, entry)
            case EntryChanged(entry):
                self._on_entry(entry)
            case RecordsPart():
                self._on_records_part(self.entry.vm_id, message)
            case EvidenceChanged() | MarkChanged():
                self._on_rollout_message(message)
            case StoreChecked():
                if is_current:
                    self._take_store_check(message)
            case _:
                events.warning("message_unexpected", kind=type(message).__name__)

    def _set_load(self, load: LoadReport) -> None:
        self.load = load
        self.load_received_at = self._clock.monotonic()
        self._calls_since_load_report = 0
        self._record_source.configuration_number = load.configuration_number
        self._offer_records(load.records_position)
        if load.reads_store and self._needs_silence_check():
            self._schedule_silence_check()

    def _take_store_check(self, message: StoreChecked) -> None:
        now = self._clock.monotonic()
        late_seconds = self._delay.late_seconds(message.sent_at_ms / 1000, now)
        if message.topic is StoreTopic.OPERATORS and message.is_held:
            self._offer_records(message.end_offset - 1)
        self._on_store_checked(self.entry.vm_id, message, late_seconds)

    def _offer_records(self, position: int) -> None:
        """Note that the peer holds the operators' records up to an offset."""
        self._record_source.position = position
        self._on_record_source(self._record_source)

    def _handle_stream_end(self, stream: CallStream) -> None:
        """Detach a stream that has ended and fail its calls, which may have run."""
        reason = "the stream has ended"
        pending_calls = self._pending_calls_by_id.values()
        calls = [pending for pending in pending_calls if pending.stream is stream]
        if stream is self._stream:
            vm_id = self.entry.vm_id
            events.warning("vm_lost", vm=vm_id, error=reason, calls=len(calls))
            self._detach()
        self._fail_calls(reason, calls)

    def _fail_calls(self, reason: str, pending_calls: Iterable[_PendingCall]) -> None:
        for pending in list(pending_calls):
            call_id = pending.call.call_id
            pending.resolve(CallFailed(call_id, reason, False, EMPTY_LOAD_REPORT))

    def _detach(self) -> None:
        """Stop using the current stream; a new one is opened later."""
        self._stream = None
        self.load = EMPTY_LOAD_REPORT
        self.failed_at = self._clock.monotonic()

    def _record_receipt(self) -> None:
        self._last_received_at = self._clock.monotonic()

    def _schedule_silence_check(self) -> None:
        """Schedule the next silence check unless one is scheduled."""
        if not self._is_check_scheduled:
            self._is_check_scheduled = True
            self._check_due_at = self._clock.monotonic() + PING_AFTER_SECONDS
            loop = asyncio.get_running_loop()
            loop.call_later(PING_AFTER_SECONDS, self._check_silence)

    def _needs_silence_check(self) -> bool:
        """Return whether this VM depends on the liveness of the peer.

        It does while calls are in flight, and if the peer is of the same region and
        reads the store for the VMs of that region.
        """
        is_near = self._record_source.distance in (ZONE, REGION)
        return bool(self._pending_calls_by_id) or (is_near and self.load.reads_store)

    def _ping_after_seconds(self) -> float:
        if self._pending_calls_by_id:
            return PING_AFTER_SECONDS
        return IDLE_PING_FACTOR * PING_AFTER_SECONDS

    def _log_silence(self, stream: CallStream, now: float) -> None:
        """Log values that tell a silent peer from a full link or a late check."""
        events.warning(
            "vm_silent",
            vm=self.entry.vm_id,
            calls=self.in_flight,
            incomplete_bytes=stream.incomplete_bytes,
            silent_ms=round((now - self._last_received_at) * 1000),
            queued_bytes=stream.queued_bytes,
            check_late_ms=round((now - self._check_due_at) * 1000),
        )

    def _check_silence(self) -> None:
        self._is_check_scheduled = False
        stream = self._stream
        if stream is None or not self._needs_silence_check():
            self._pinged_at = None
            return
        now = self._clock.monotonic()
        if stream.bytes_received != self._bytes_at_last_check:
            # A part of a large message proves that the peer is alive, too.
            self._bytes_at_last_check = stream.bytes_received
            self._record_receipt()
        pinged_at = self._pinged_at
        if pinged_at is None or self._last_received_at >= pinged_at:
            if now - self._last_received_at >= self._ping_after_seconds():
                self._pinged_at = now
                stream.send(Ping(0))
        elif (
            stream.queued_bytes
            or now - self._check_due_at >= LATE_CHECK_THRESHOLD_SECONDS
        ):
            # The ping is still in the write buffer, or the event loop was blocked and
            # the answer may be unread in the socket.
            self._pinged_at = now
        elif now - pinged_at >= PONG_TIMEOUT_SECONDS:
            self._suspend_calls(stream, now)
            return
        self._schedule_silence_check()

    def _suspend_calls(self, stream: CallStream, now: float) -> None:
        """Detach the stream of a silent peer without failing the calls on it.

        The peer may be slow or its link congested. If it is gone, the kernel closes the
        connection, which fails the calls.
        """
        self._log_silence(stream, now)
        self._detach()
        for pending in list(self._pending_calls_by_id.values()):
            if pending.stream is not stream or not pending.call.allows_repeat:
                continue
            if not pending.outcome.done():
                cancel = functools.partial(self._cancel_call, pending)
                pending.outcome.set_result(SuspendedCall(pending.late_outcome, cancel))
        self._close_if_unused(stream)
