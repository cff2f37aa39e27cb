"""Calls that run at the local backend server, and the slots that they take.

A call whose response is missing for longer than others explain (`silent_calls`) keeps
its slot until its deadline, since the backend server may still be working on it and
could not queue another one in its place. The slot is released earlier only if the load
that the backend server states shows that it runs fewer calls than it was sent.
"""

import asyncio

import attrs
from aiohttp import ClientPayloadError

from lacewingstair import events
from lacewingstair.backend_server.admission import AdmissionController
from lacewingstair.backend_server.connection import UpstreamConnection
from lacewingstair.backend_server.scheduled_call import ScheduledCall
from lacewingstair.backend_server.silent_calls import SilenceMonitor, WatchedCall
from lacewingstair.platform.headers import UpstreamLoad
from lacewingstair.runtime import Clock
from lacewingstair.vm.call_messages import CallRequest

# A call that was sent within this time may be missing in the load that is stated.
STATED_LOAD_DELAY_SECONDS = 0.05
# A stated load may also lack calls whose responses are on their way. It counts once so
# many answers in a row lack a call.
MIN_ANSWERS_WITH_MISSING = 3


class SilentCallError(ClientPayloadError):
    """The response of a call is missing for longer than other calls explain."""


@attrs.define(eq=False)
class RunningCall:
    """A call that is running at the backend server.

    Parameters
    ----------
    call : CallRequest
        The call.
    scheduled : ScheduledCall
        Its slot.
    deadline : float
        Monotonic seconds.
    watched : WatchedCall
        How its age compares with that of others.
    connection : UpstreamConnection or None
        Connection on which it was sent.
    has_unserved_call : bool
        Whether a call that the backend server made while running it was not served.
    has_failed_call : bool
        Whether backend servers refused or failed such a nested call.
    has_slot : bool
        Whether it still takes a slot.
    """

    call: CallRequest
    scheduled: ScheduledCall
    deadline: float
    watched: WatchedCall
    connection: UpstreamConnection | None = None
    has_unserved_call: bool = False
    has_failed_call: bool = False
    has_slot: bool = True


class RunningCalls:
    """Calls that run at one backend server.

    Parameters
    ----------
    admission : AdmissionController
        Gives and takes back the slots.
    clock : Clock
        Source of time.

    Attributes
    ----------
    silent : int
        Calls since the start that counted as silent.
    """

    def __init__(self, admission: AdmissionController, clock: Clock) -> None:
        self._admission = admission
        self._clock = clock
        self._monitor = SilenceMonitor()
        self._by_request_id: dict[str, RunningCall] = {}
        # Silent calls that take a slot, the longest silent first; some have ended.
        self._silent: list[RunningCall] = []
        # Consecutive answers whose stated load lacks a call.
        self._answers_with_missing = 0
        self.silent = 0

    def get(self, request_id: str) -> RunningCall | None:
        """Return the running call with an id, if there is one."""
        return self._by_request_id.get(request_id)

    def start(
        self, call: CallRequest, scheduled: ScheduledCall, deadline: float
    ) -> RunningCall:
        """Add a call that has a slot."""
        watched = self._monitor.start(scheduled.service_ms, scheduled.started_at)
        run = RunningCall(call, scheduled, deadline, watched)
        self._by_request_id[call.request_id] = run
        return run

    def answer(self, run: RunningCall, load: UpstreamLoad | None) -> None:
        """Take note of the response of a call, and of the load stated with it."""
        if not self._admission.prefers_nested:
            return
        now = self._clock.monotonic()
        found = self._monitor.answer(run.watched, now, self._admission.slots)
        for other in list(self._by_request_id.values()) if found else ():
            if other.watched not in found:
                continue
            if other.connection is None or other.connection.has_received:
                # It is not sent yet, or its response is arriving.
                other.watched.is_silent = False
                continue
            self._handle_silence(other, now)
        if load is not None and self._silent:
            self._release_missing(run, load, now)

    def end(self, run: RunningCall, *, has_response: bool, has_run: bool) -> None:
        """Remove a call, and release its slot unless it may still be running."""
        self._monitor.end(run.watched)
        request_id = run.call.request_id
        if self._by_request_id.get(request_id) is run:
            del self._by_request_id[request_id]
        if not run.has_slot:
            return
        now = self._clock.monotonic()
        is_missing = run in self._silent and not has_response
        if is_missing and now < run.deadline:
            loop = asyncio.get_running_loop()
            loop.call_later(run.deadline - now, self._release, run)
            return
        self._release(run, is_representative=has_run and not is_missing)

    def _handle_silence(self, run: RunningCall, now: float) -> None:
        """Give up a call that may be repeated; others are waited for."""
        self.silent += 1
        self._silent.append(run)
        age_ms = round((now - run.scheduled.started_at) * 1000)
        is_given_up = run.call.allows_repeat
        events.warning(
            "call_silent",
            call=run.call.request_id,
            route=run.call.route,
            age_ms=age_ms,
            expected_ms=round(run.watched.service_ms),
            later_answers=run.watched.later_answers,
            is_given_up=is_given_up,
        )
        if is_given_up:
            answers = run.watched.later_answers
            reason = f"no answer for {age_ms} ms while {answers} later calls had theirs"
            run.connection.abort_with(SilentCallError(reason))

    def _release_missing(
        self, answered: RunningCall, load: UpstreamLoad, now: float
    ) -> None:
        """Release the slot of a silent call that is not among those stated."""
        newest = now - STATED_LOAD_DELAY_SECONDS
        recent = sum(
            run.scheduled.started_at > newest
            for run in self._by_request_id.values()
            if run is not answered
        )
        sent = self._admission.running - 1 - recent
        if sent <= load.running + load.waiting:
            self._answers_with_missing = 0
            return
        self._answers_with_missing += 1
        if self._answers_with_missing >= MIN_ANSWERS_WITH_MISSING:
            self._answers_with_missing = 0
            self._release(self._silent[0])

    def _release(self, run: RunningCall, *, is_representative: bool = False) -> None:
        if not run.has_slot:
            return
        run.has_slot = False
        if run in self._silent:
            self._silent.remove(run)
        self._admission.finish(
            run.scheduled,
            self._clock.monotonic(),
            is_representative=is_representative,
        )
