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

# One that is full rejects health checks like calls, so it is asked again.
ASK_AGAIN_SECONDS = 0.5
# Without a report for so many checks, there may be no backend server at all.
MAX_RESTORE_CHECKS = 4

Ask = Callable[[], Awaitable[Result[HealthAnswer, ConnectError]]]


class UpstreamConfirmation:
    """Confirms the first backend server that a process knows.

    Parameters
    ----------
    register : UpstreamTracker
        What is believed of the backend server.
    ask : callable
        Makes a health check; waits until it can be made.
    former_entry : callable
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
        register: UpstreamTracker,
        ask: Ask,
        former_entry: Callable[[], VmEntry | None],
        needs_version: Callable[[], bool],
        on_change: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._register = register
        self._ask = ask
        self._former_entry = former_entry
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
            if self._register.is_reported or await self._restore():
                break
            await self._wait_for_report(ASK_AGAIN_SECONDS)
        while True:
            await self._is_reported.wait()
            self._is_reported.clear()
            while self._register.needs_confirmation and not await self._confirm():
                await self._clock.sleep(ASK_AGAIN_SECONDS)

    async def _wait_for_report(self, seconds: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._is_reported.wait()

    async def _restore(self) -> bool:
        """Let a healthy backend server count without waiting for its next report.

        Returns whether it is of no use to ask again.
        """
        asked = await self._ask()
        is_restored = isinstance(asked, Ok) and self._take_healthy(asked.ok_value)
        events.info("upstream_asked", outcome=str(asked), is_restored=is_restored)
        if is_restored:
            self._on_change()
        return isinstance(asked, Ok)

    def _take_healthy(self, answer: HealthAnswer) -> bool:
        former = self._former_of(answer.upstream_id)
        version = "" if former is None else former.version
        if not answer.slots or self._has_left(former):
            return False
        if self._needs_version() and not version:
            return False
        now = self._clock.monotonic()
        return self._register.restore(answer.upstream_id, answer.slots, now, version)

    async def _confirm(self) -> bool:
        asked = await self._ask()
        is_confirmed = (
            isinstance(asked, Ok)
            and not self._has_left(self._former_of(asked.ok_value.upstream_id))
            and self._register.confirm(asked.ok_value.upstream_id)
        )
        events.info("upstream_asked", outcome=str(asked), is_confirmed=is_confirmed)
        if is_confirmed:
            self._on_change()
        return is_confirmed

    def _former_of(self, upstream_id: str) -> VmEntry | None:
        former = self._former_entry()
        if former is None or former.upstream_id != upstream_id:
            return None
        return former

    def _has_left(self, former: VmEntry | None) -> bool:
        return former is not None and former.state is UpstreamState.DRAINING
