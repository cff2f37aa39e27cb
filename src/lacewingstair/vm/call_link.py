"""Calling side of a stream: one link to each VM that gets calls from this one."""

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
)
from lacewingstair.vm.call_streams import CallStream, connect
from lacewingstair.vm.distances import REGION, UNKNOWN, ZONE
from lacewingstair.vm.entries import VmEntry, entry_distance
from lacewingstair.vm.record_fetcher import Source
from lacewingstair.vm.stream_traffic import StreamTraffic

# A peer that has open calls and was silent for this long is asked whether it runs.
PING_AFTER_SECONDS = 0.5
PONG_SECONDS = 1.0
# Without calls a peer is asked this many times later, if its silence matters here.
IDLE_PING_FACTOR = 4
# A check that runs this late says more about this process than about the peer.
LATE_CHECK_SECONDS = 0.2
# A call waits this long for a stream that is being opened.
OPENING_SECONDS = 0.25
# After a failed connect the VM is left out of the choice for this long.
RECONNECT_SECONDS = 0.5
NO_LOAD = LoadReport()


@attrs.define(eq=False)
class SuspendedCall:
    """A call at a VM that is silent; it may run there, and its outcome may come.

    Parameters
    ----------
    late : Future
        Its outcome, when it comes.
    cancel : callable
        Gives the call up.
    """

    late_outcome: "asyncio.Future[CallOutcome]"
    cancel: Callable[[], None]


@attrs.define(eq=False)
class _Pending:
    """A call that waits for its outcome on a stream."""

    call: CallRequest
    stream: CallStream
    outcome: "asyncio.Future[CallOutcome | SuspendedCall]"
    late: "asyncio.Future[CallOutcome]"

    def resolve(self, outcome: CallOutcome) -> None:
        """Take the outcome, late when the call was suspended."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)
        elif not self.late.done():
            self.late.set_result(outcome)


class CallLink:
    """Stream to one VM, opened when it is needed.

    Parameters
    ----------
    entry : VmEntry
        The VM.
    own_entry : callable
        Returns the entry of this VM, for the greeting.
    clock : Clock
        Time.
    on_entry : callable
        Takes entries that the peer sends.
    on_offer : callable
        Takes the peer as a source of operators' records after each load report.
    on_part : callable
        Takes the id of the VM and a part of the records that it sends.
    on_greeting : callable
        Takes the id of the VM that was expected and the entry of the one that answers.
    on_rollout : callable
        Takes what the peer says about a rollout.
    traffic : StreamTraffic, optional
        Counts the bytes of messages.

    Attributes
    ----------
    load : LoadReport
        Newest load that the peer has stated.
    load_at : float
        When it was received, monotonic seconds.
    in_flight : int
        Calls of this VM that the peer has.
    failed_at : float or None
        When the last connect failed or the stream broke; None while it works.
    """

    def __init__(
        self,
        entry: VmEntry,
        own_entry: Callable[[], VmEntry],
        clock: Clock,
        *,
        on_entry: Callable[[VmEntry], None],
        on_offer: Callable[[Source], None],
        on_part: Callable[[str, RecordsPart], None],
        on_greeting: Callable[[str, VmEntry], None],
        on_rollout: Callable[[EvidenceChanged | MarkChanged], None],
        traffic: StreamTraffic | None = None,
    ) -> None:
        self._traffic = traffic
        self._on_greeting = on_greeting
        self._on_rollout = on_rollout
        self.entry = entry
        self._own_entry = own_entry
        self._clock = clock
        self._on_entry = on_entry
        self._on_offer = on_offer
        self._on_part = on_part
        self._source = Source(
            entry.vm_id, UNKNOWN, self.send, lambda: self.is_connected
        )
        self._numbers = itertools.count(1)
        self._pending_by_call_id: dict[int, _Pending] = {}
        self._stream: CallStream | None = None
        self._opening: asyncio.Task[None] | None = None
        self._reading: set[asyncio.Task[None]] = set()
        self._heard_at = 0.0
        self._is_watching = False
        self._pinged_at: float | None = None
        self._check_due_at = 0.0
        self._bytes_seen = 0
        self._sent_since_load = 0
        self.load = NO_LOAD
        self.load_received_at = 0.0
        self.failed_at: float | None = None

    @property
    def in_flight(self) -> int:
        """Calls of this VM that the peer has."""
        return len(self._pending_by_call_id)

    @property
    def calls_since_load_report(self) -> int:
        """Calls sent since the newest load report, which does not contain them."""
        return self._sent_since_load

    @property
    def is_connected(self) -> bool:
        """Whether the stream is open."""
        return self._stream is not None

    def is_usable(self, now: float) -> bool:
        """Return whether calls may be placed there, as far as this VM knows."""
        return self.failed_at is None or now - self.failed_at >= RECONNECT_SECONDS

    async def run(self, call: CallRequest) -> CallOutcome | SuspendedCall:
        """Send a call and wait for its outcome; cancellation is passed on.

        A call that may run twice is returned as suspended when the VM is silent, so
        that it can be tried elsewhere meanwhile. The others go on waiting: ending them
        would gain nothing, as they may run.
        """
        if self._stream is None:
            await self._connect()
        stream = self._stream
        if stream is None:
            return CallRefused(
                call.call_id, RefusalReason.UNREACHABLE, 0.0, False, NO_LOAD
            )
        call_id = next(self._numbers)
        call = attrs.evolve(call, call_id=call_id)
        loop = asyncio.get_running_loop()
        pending = _Pending(call, stream, loop.create_future(), loop.create_future())
        self._pending_by_call_id[call_id] = pending
        self._sent_since_load += 1
        stream.send(call)
        self._watch()
        try:
            outcome = await pending.outcome
        except asyncio.CancelledError:
            self._give_up(pending)
            raise
        if not isinstance(outcome, SuspendedCall):
            self._forget(pending)
        return outcome

    def _give_up(self, pending: _Pending) -> None:
        pending.stream.send(CallCancel(pending.call.call_id))
        self._forget(pending)

    def _forget(self, pending: _Pending) -> None:
        """End the wait for a call; a stream that was given up ends with its last."""
        self._pending_by_call_id.pop(pending.call.call_id, None)
        self._close_if_unused(pending.stream)

    def _close_if_unused(self, stream: CallStream) -> None:
        if stream is self._stream:
            return
        if all(p.stream is not stream for p in self._pending_by_call_id.values()):
            stream.close()

    def send(self, message: Any) -> None:
        """Send a message if the stream is open."""
        if self._stream is not None:
            self._stream.send(message)

    def open(self) -> None:
        """Open the stream in the background if it is not open."""
        if self._stream is None and self._opening is None:
            self._opening = asyncio.create_task(self._open())

    def close(self) -> None:
        """End the stream; calls on it fail."""
        for task in (self._opening, *self._reading):
            if task is not None:
                task.cancel()
        if self._stream is not None:
            self._stream.close()
        self._detach()
        self._fail_calls("the link was closed", self._pending_by_call_id.values())

    async def _connect(self) -> None:
        self.open()
        if self._opening is not None:
            await asyncio.wait((self._opening,), timeout=OPENING_SECONDS)

    async def _open(self) -> None:
        try:
            opened = await connect(self.entry.address, self._traffic)
        finally:
            self._opening = None
        if isinstance(opened, Err):
            if self.failed_at is None:
                vm = self.entry.vm_id
                events.warning("vm_lost", vm=vm, error=opened.err_value)
            self.failed_at = self._clock.monotonic()
            return
        stream = opened.ok_value
        stream.distance = entry_distance(self._own_entry(), self.entry)
        self._source.distance = stream.distance
        self._heard()
        self._bytes_seen = 0
        self._pinged_at = None
        self._stream = stream
        stream.send(Hello(self._own_entry()))
        reading = asyncio.create_task(self._read(stream))
        self._reading.add(reading)
        reading.add_done_callback(self._reading.discard)

    async def _read(self, stream: CallStream) -> None:
        """Take the messages of the peer until the stream ends."""
        try:
            async for message in stream.messages():
                if stream is self._stream:
                    self._heard()
                self._handle(message, is_current=stream is self._stream)
        finally:
            stream.close()
            self._ended(stream)

    def _handle(self, message: Any, is_current: bool) -> None:
        match message:
            case CallAnswer() | CallRefused() | CallFailed():
                if is_current:
                    self._set_load(message.load)
                pending = self._pending_by_call_id.get(message.call_id)
                if pending is not None:
                    pending.resolve(message)
            case LoadChanged(load) | Pong(_, load):
                if is_current:
                    self._set_load(load)
            case Hello(entry):
                if self.failed_at is not None:
                    events.info("vm_regained", vm=self.entry.vm_id)
                self.failed_at = None
                self._on_greeting(self.entry.vm_id, entry)
            case EntryChanged(entry):
                self._on_entry(entry)
            case RecordsPart():
                self._on_part(self.entry.vm_id, message)
            case EvidenceChanged() | MarkChanged():
                self._on_rollout(message)
            case _:
                events.warning("message_unexpected", kind=type(message).__name__)

    def _set_load(self, load: LoadReport) -> None:
        self.load = load
        self.load_received_at = self._clock.monotonic()
        self._sent_since_load = 0
        self._source.position = load.records_position
        self._on_offer(self._source)
        if load.reads_store and self._is_watched():
            self._watch()

    def _ended(self, stream: CallStream) -> None:
        """Note that a stream is gone, and fail the calls on it: they may have run."""
        reason = "the stream has ended"
        pendings = self._pending_by_call_id.values()
        calls = [pending for pending in pendings if pending.stream is stream]
        if stream is self._stream:
            vm_id = self.entry.vm_id
            events.warning("vm_lost", vm=vm_id, error=reason, calls=len(calls))
            self._detach()
        self._fail_calls(reason, calls)

    def _fail_calls(self, reason: str, pendings: Iterable[_Pending]) -> None:
        for pending in list(pendings):
            call_id = pending.call.call_id
            pending.resolve(CallFailed(call_id, reason, False, NO_LOAD))

    def _detach(self) -> None:
        """Use the stream for no further calls; a new one is opened later."""
        self._stream = None
        self.load = NO_LOAD
        self.failed_at = self._clock.monotonic()

    def _heard(self) -> None:
        self._heard_at = self._clock.monotonic()

    def _watch(self) -> None:
        """Look after the peer while it has calls of this VM."""
        if not self._is_watching:
            self._is_watching = True
            self._check_due_at = self._clock.monotonic() + PING_AFTER_SECONDS
            loop = asyncio.get_running_loop()
            loop.call_later(PING_AFTER_SECONDS, self._check_silence)

    def _is_watched(self) -> bool:
        """Return whether the silence of the peer matters here.

        It has calls of this VM, or reads the store for the VMs of this region.
        """
        is_near = self._source.distance in (ZONE, REGION)
        return bool(self._pending_by_call_id) or (is_near and self.load.reads_store)

    def _ping_after_seconds(self) -> float:
        if self._pending_by_call_id:
            return PING_AFTER_SECONDS
        return IDLE_PING_FACTOR * PING_AFTER_SECONDS

    def _log_silence(self, stream: CallStream, now: float) -> None:
        """Log what tells a silent peer from a full link and from a late check."""
        events.warning(
            "vm_silent",
            vm=self.entry.vm_id,
            calls=self.in_flight,
            incomplete_bytes=stream.incomplete_bytes,
            silent_ms=round((now - self._heard_at) * 1000),
            queued_bytes=stream.queued_bytes,
            check_late_ms=round((now - self._check_due_at) * 1000),
        )

    def _check_silence(self) -> None:
        self._is_watching = False
        stream = self._stream
        if stream is None or not self._is_watched():
            self._pinged_at = None
            return
        now = self._clock.monotonic()
        if stream.bytes_received != self._bytes_seen:
            # Part of a large message shows as well as a whole one that the peer runs.
            self._bytes_seen = stream.bytes_received
            self._heard()
        pinged_at = self._pinged_at
        if pinged_at is None or self._heard_at >= pinged_at:
            if now - self._heard_at >= self._ping_after_seconds():
                self._pinged_at = now
                stream.send(Ping(0))
        elif stream.queued_bytes or now - self._check_due_at >= LATE_CHECK_SECONDS:
            # The ping has not left yet, or its answer may have come while this process
            # was busy, and is read after this check.
            self._pinged_at = now
        elif now - pinged_at >= PONG_SECONDS:
            self._suspend(stream, now)
            return
        self._watch()

    def _suspend(self, stream: CallStream, now: float) -> None:
        """Send no more calls to a silent peer, and end none that it has.

        It may be slow or its link full. If it is gone, the kernel ends the stream.
        """
        self._log_silence(stream, now)
        self._detach()
        for pending in list(self._pending_by_call_id.values()):
            if pending.stream is not stream or not pending.call.allows_repeat:
                continue
            if not pending.outcome.done():
                give_up = functools.partial(self._give_up, pending)
                pending.outcome.set_result(SuspendedCall(pending.late, give_up))
        self._close_if_unused(stream)
