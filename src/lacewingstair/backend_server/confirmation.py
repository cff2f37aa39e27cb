"""Health-checks the local backend server after a start, before calls are sent to it.

A previous process on this VM may have acknowledged that the backend server shuts down,
which this process cannot know. Calls are therefore sent only once the backend server
has passed a health check, or has kept reporting for some time (`upstream_tracker`). The
entry that the previous process wrote to the metadata store gives the version of the
backend server, and whether it was draining.
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

# A backend server at capacity rejects health checks as it does calls; check again.
RECHECK_SECONDS = 0.5
# Without a report after this many checks, there may be no backend server at all.
MAX_RESTORE_CHECKS = 4

HealthCheck = Callable[[], Awaitable[Result[HealthAnswer, ConnectError]]]


class UpstreamConfirmation:
    """Confirms the first backend server that this process learns of.

    Parameters
    ----------
    tracker : UpstreamTracker
        State of the backend server.
    check_health : callable
        Performs a health check, as soon as one is possible.
    previous_entry : callable
        Returns the entry that a previous process on this VM wrote, or None.
    needs_version : callable
        Returns whether calls are routed by version.
    on_change : callable
        Called when the backend server becomes usable.
    clock : Clock
        Source of time.
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
        """Signal that a report of the backend server has arrived."""
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
        """Use a healthy backend server without waiting for its next report.

        Returns whether the health check succeeded, so that no further one is needed.
        """
        health = await self._check_health()
        is_restored = isinstance(health, Ok) and self._restore_healthy(health.ok_value)
        events.info("upstream_asked", outcome=str(health), is_restored=is_restored)
        if is_restored:
            self._on_change()
        return isinstance(health, Ok)

    def _restore_healthy(self, response: HealthAnswer) -> bool:
        previous = self._previous_entry_of(response.upstream_id)
        version = "" if previous is None else previous.version
        if not response.slots or self._was_draining(previous):
            return False
        if self._needs_version() and not version:
            return False
        now = self._clock.monotonic()
        return self._tracker.restore(response.upstream_id, response.slots, now, version)

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
