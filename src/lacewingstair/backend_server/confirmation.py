"""Asks the backend server beside this process whether it takes calls, at the start.

What an earlier process has acknowledged is not known here, so the backend server itself
has to say that it does not leave before calls are sent to it. The entry that the
earlier process wrote to the store tells its version, and whether it reported that it
leaves.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from result import Ok, Result

from lacewingstair import events
from lacewingstair.backend_server.upstream_tracker import UpstreamTracker
from lacewingstair.errors import ConnectError
from lacewingstair.platform.health import HealthAnswer
from lacewingstair.runtime import Clock
from lacewingstair.vm.entries import UpstreamState, VmEntry

# One that is full rejects health checks like calls, so it is health again.
RECHECK_SECONDS = 0.5
# Without a report for so many checks, there may be no backend server at all.
MAX_RESTORE_CHECKS = 4

HealthCheck = Callable[[], Awaitable[Result[HealthAnswer, ConnectError]]]


class UpstreamConfirmation:
    """Confirms the first backend server that a process knows.

    Parameters
    ----------
    tracker : UpstreamTracker
        What is believed of the backend server.
    check_health : callable
        Makes a health check; waits until it can be made.
    previous_entry : callable
        Returns the entry that an earlier process has written, or None.
    needs_version : callable
        Returns whether calls are sent by version.
    on_change : callable
        Called when the backend server counts.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        tracker: UpstreamTracker,
        check_health: HealthCheck,
        previous_entry: Callable[[], VmEntry | None],
        needs_version: Callable[[], bool],
        on_change: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._tracker = tracker
        self._check_health = check_health
        self._previous_entry = previous_entry
        self._needs_version = needs_version
        self._on_change = on_change
        self._clock = clock
        self._is_reported = asyncio.Event()

    def notify_report(self) -> None:
        """Note that the backend server has reported itself."""
        self._is_reported.set()

    async def run(self) -> None:
        """Restore or confirm the backend server, until cancelled."""
        for _ in range(MAX_RESTORE_CHECKS):
            if self._tracker.is_reported or await self._restore():
                break
            await self._wait_for_report(RECHECK_SECONDS)
        while True:
            await self._is_reported.wait()
            self._is_reported.clear()
            while self._tracker.needs_confirmation and not await self._confirm():
                await self._clock.sleep(RECHECK_SECONDS)

    async def _wait_for_report(self, seconds: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._is_reported.wait()

    async def _restore(self) -> bool:
        """Let a healthy backend server count without waiting for its next report.

        Returns whether it is of no use to check again.
        """
        health = await self._check_health()
        is_restored = isinstance(health, Ok) and self._restore_healthy(health.ok_value)
        events.info("upstream_asked", outcome=str(health), is_restored=is_restored)
        if is_restored:
            self._on_change()
        return isinstance(health, Ok)

    def _restore_healthy(self, answer: HealthAnswer) -> bool:
        previous = self._previous_entry_of(answer.upstream_id)
        version = "" if previous is None else previous.version
        if not answer.slots or self._was_draining(previous):
            return False
        if self._needs_version() and not version:
            return False
        now = self._clock.monotonic()
        return self._tracker.restore(answer.upstream_id, answer.slots, now, version)

    async def _confirm(self) -> bool:
        health = await self._check_health()
        is_confirmed = (
            isinstance(health, Ok)
            and not self._was_draining(
                self._previous_entry_of(health.ok_value.upstream_id)
            )
            and self._tracker.confirm(health.ok_value.upstream_id)
        )
        events.info("upstream_asked", outcome=str(health), is_confirmed=is_confirmed)
        if is_confirmed:
            self._on_change()
        return is_confirmed

    def _previous_entry_of(self, upstream_id: str) -> VmEntry | None:
        previous = self._previous_entry()
        if previous is None or previous.upstream_id != upstream_id:
            return None
        return previous

    def _was_draining(self, previous: VmEntry | None) -> bool:
        return previous is not None and previous.state is UpstreamState.DRAINING
