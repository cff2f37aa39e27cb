"""Calling side of a stream: one link to each VM that gets calls from this one."""

import asyncio
import itertools
from collections.abc import Callable
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
    ConfigurationDocument,
    ConfigurationRequest,
    EntryChanged,
    EvidenceChanged,
    Hello,
    LoadChanged,
    LoadReport,
    MarkChanged,
    Ping,
    Pong,
    RefusalReason,
)
from lacewingstair.vm.call_streams import CallStream, connect
from lacewingstair.vm.entries import VmEntry, entry_distance
from lacewingstair.vm.stream_traffic import StreamTraffic

# A peer that has open calls and was silent for this long is asked whether it runs.
PING_AFTER_SECONDS = 0.5
PONG_SECONDS = 1.0
# A call waits this long for a stream that is being opened.
OPENING_SECONDS = 0.25
# After a failed connect the VM is left out of the choice for this long.
RECONNECT_SECONDS = 0.5
NO_LOAD = LoadReport()


@attrs.define(eq=False)
class _Pending:
    """A call that waits for its outcome."""

    call: CallRequest
    outcome: "asyncio.Future[CallOutcome]"


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
    on_configuration : callable
        Takes a document of the peer's configuration.
    on_greeting : callable
        Takes the id of the VM that was expected and the entry of the one that answers.
    on_rollout : callable
        Takes what the peer says about a rollout.
    configuration_number : callable
        Returns the configuration in force here.
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
        on_configuration: Callable[[ConfigurationDocument], None],
        on_greeting: Callable[[str, VmEntry], None],
        on_rollout: Callable[[EvidenceChanged | MarkChanged], None],
        configuration_number: Callable[[], int],
        traffic: StreamTraffic | None = None,
    ) -> None:
        self._traffic = traffic
        self._on_greeting = on_greeting
        self._on_rollout = on_rollout
        self.entry = entry
        self._own_entry = own_entry
        self._clock = clock
        self._on_entry = on_entry
        self._on_configuration = on_configuration
        self._configuration_number = configuration_number
        self._numbers = itertools.count(1)
        self._pending_by_call_id: dict[int, _Pending] = {}
        self._stream: CallStream | None = None
        self._opening: asyncio.Task[None] | None = None
        self._reading: asyncio.Task[None] | None = None
        self._heard_at = 0.0
        self._is_watching = False
        self._pinged_at: float | None = None
        self._check_due_at = 0.0
        self._asked_number = 0
        self._sent_since_load = 0
        self.load = NO_LOAD
        self.load_at = 0.0
        self.failed_at: float | None = None

    @property
    def in_flight(self) -> int:
        """Calls of this VM that the peer has."""
        return len(self._pending_by_call_id)

    @property
    def unreported(self) -> int:
        """Calls sent since the newest load report, which does not contain them."""
        return self._sent_since_load

    @property
    def is_connected(self) -> bool:
        """Whether the stream is open."""
        return self._stream is not None

    def is_usable(self, now: float) -> bool:
        """Return whether calls may be placed there, as far as this VM knows."""
        return self.failed_at is None or now - self.failed_at >= RECONNECT_SECONDS

    async def run(self, call: CallRequest) -> CallOutcome:
        """Send a call and wait for its outcome; cancellation is passed on."""
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
        pending = _Pending(call, loop.create_future())
        self._pending_by_call_id[call_id] = pending
        self._sent_since_load += 1
        stream.send(call)
        self._watch()
        try:
            return await pending.outcome
        except asyncio.CancelledError:
            stream.send(CallCancel(call_id))
            raise
        finally:
            self._pending_by_call_id.pop(call_id, None)

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
        for task in (self._opening, self._reading):
            if task is not None:
                task.cancel()
        if self._stream is not None:
            self._stream.close()
            self._fail_calls("the link was closed")

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
        self._heard()
        self._stream = stream
        stream.send(Hello(self._own_entry(), self._configuration_number()))
        self._reading = asyncio.create_task(self._read(stream))

    async def _read(self, stream: CallStream) -> None:
        """Take the messages of the peer until the stream ends."""
        try:
            async for message in stream.messages():
                self._heard()
                self._handle(message)
        finally:
            stream.close()
            if self._stream is stream:
                self._lost("the stream has ended")

    def _handle(self, message: Any) -> None:
        match message:
            case CallAnswer() | CallRefused() | CallFailed():
                self._set_load(message.load)
                pending = self._pending_by_call_id.get(message.call_id)
                if pending is not None and not pending.outcome.done():
                    pending.outcome.set_result(message)
            case LoadChanged(load) | Pong(_, load):
                self._set_load(load)
            case Hello(entry):
                if self.failed_at is not None:
                    events.info("vm_regained", vm=self.entry.vm_id)
                self.failed_at = None
                self._on_greeting(self.entry.vm_id, entry)
            case EntryChanged(entry):
                self._on_entry(entry)
            case ConfigurationDocument():
                self._on_configuration(message)
            case EvidenceChanged() | MarkChanged():
                self._on_rollout(message)
            case _:
                events.warning("message_unexpected", kind=type(message).__name__)

    def _set_load(self, load: LoadReport) -> None:
        self.load = load
        self.load_at = self._clock.monotonic()
        self._sent_since_load = 0
        number = load.configuration_number
        if number > self._configuration_number() and number > self._asked_number:
            self._asked_number = number
            self.send(ConfigurationRequest(self._configuration_number()))

    def _lost(self, reason: str) -> None:
        """Note that the stream is gone, and fail all calls on it."""
        events.warning(
            "vm_lost", vm=self.entry.vm_id, error=reason, calls=self.in_flight
        )
        self._fail_calls(reason)

    def _fail_calls(self, reason: str) -> None:
        """End the use of a stream; the calls on it may have run."""
        self._stream = None
        self.load = NO_LOAD
        self.failed_at = self._clock.monotonic()
        for pending in list(self._pending_by_call_id.values()):
            if not pending.outcome.done():
                failed = CallFailed(pending.call.call_id, reason, False, NO_LOAD)
                pending.outcome.set_result(failed)

    def _heard(self) -> None:
        self._heard_at = self._clock.monotonic()

    def _watch(self) -> None:
        """Look after the peer while it has calls of this VM."""
        if not self._is_watching:
            self._is_watching = True
            self._check_due_at = self._clock.monotonic() + PING_AFTER_SECONDS
            loop = asyncio.get_running_loop()
            loop.call_later(PING_AFTER_SECONDS, self._check_silence)

    def _log_silence(self, stream: CallStream, now: float) -> None:
        """Log what tells a silent peer from a full link and from a late check."""
        events.warning(
            "vm_silent",
            vm=self.entry.vm_id,
            calls=self.in_flight,
            incomplete_bytes=stream.incomplete_bytes,
            bytes_ms_ago=round((now - stream.received_at) * 1000),
            queued_bytes=stream.queued_bytes,
            check_late_ms=round((now - self._check_due_at) * 1000),
        )

    def _check_silence(self) -> None:
        self._is_watching = False
        stream = self._stream
        if stream is None or not self._pending_by_call_id:
            self._pinged_at = None
            return
        now = self._clock.monotonic()
        pinged_at = self._pinged_at
        if pinged_at is not None and self._heard_at < pinged_at:
            if now - pinged_at >= PONG_SECONDS:
                self._log_silence(stream, now)
                stream.abort()
                self._lost(f"no message for {now - self._heard_at:.1f} s")
                return
        elif now - self._heard_at >= PING_AFTER_SECONDS:
            self._pinged_at = now
            stream.send(Ping(0))
        self._watch()
