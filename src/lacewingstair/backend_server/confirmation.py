"""Asks the backend server beside this process whether it takes calls, at the start.

What an earlier process has acknowledged is not known here, so the backend server itself
has to say that it does not leave before calls are sent to it.
"""

import asyncio
from collections.abc import Awaitable, Callable

from result import Err, Result

from lacewingstair import events
from lacewingstair.backend_server.register import UpstreamRegister
from lacewingstair.errors import ConnectError
from lacewingstair.platform.health import HealthAnswer
from lacewingstair.runtime import Clock

# One that is full rejects health checks like calls, so it is asked again.
ASK_AGAIN_SECONDS = 0.5

Ask = Callable[[], Awaitable[Result[HealthAnswer, ConnectError]]]


class UpstreamConfirmation:
    """Confirms the first backend server that a process knows.

    Parameters
    ----------
    register : UpstreamRegister
        What is believed of the backend server.
    ask : callable
        Makes a health check; waits until it can be made.
    may_restore : callable
        Returns whether a health check alone tells enough to send calls.
    on_change : callable
        Called when the backend server counts.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        register: UpstreamRegister,
        ask: Ask,
        may_restore: Callable[[], bool],
        on_change: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._register = register
        self._ask = ask
        self._may_restore = may_restore
        self._on_change = on_change
        self._clock = clock
        self._is_reported = asyncio.Event()

    def reported(self) -> None:
        """Note that the backend server has reported itself."""
        self._is_reported.set()

    async def run(self) -> None:
        """Restore or confirm the backend server, until cancelled."""
        if not self._register.is_reported:
            await self._restore()
        while True:
            await self._is_reported.wait()
            self._is_reported.clear()
            while self._register.needs_confirmation and not await self._confirm():
                await self._clock.sleep(ASK_AGAIN_SECONDS)

    async def _restore(self) -> None:
        """Let a healthy backend server count without waiting for its next report."""
        asked = await self._ask()
        is_restored = False
        if not isinstance(asked, Err) and asked.ok_value.slots > 0:
            is_restored = self._may_restore() and self._register.restore(
                asked.ok_value.upstream_id,
                asked.ok_value.slots,
                self._clock.monotonic(),
            )
        events.info("upstream_asked", outcome=str(asked), is_restored=is_restored)
        if is_restored:
            self._on_change()

    async def _confirm(self) -> bool:
        asked = await self._ask()
        is_confirmed = not isinstance(asked, Err) and self._register.confirm(
            asked.ok_value.upstream_id
        )
        events.info("upstream_asked", outcome=str(asked), is_confirmed=is_confirmed)
        if is_confirmed:
            self._on_change()
        return is_confirmed
