"""Lets calls wait shortly while a process that has just started learns the mesh.

Load pattern: many processes are killed at the same moment, and the callers are back
before a new process has read the configuration and reached the gates of other VMs,
which takes a few round trips. A refusal would cost them one of their few attempts and
more time than the wait. After that, or when nothing is learned, calls do not wait.
"""

import asyncio
import contextlib
from collections.abc import Callable

from lacewingstair.runtime import Clock

START_SECONDS = 1.0
MAX_WAIT_SECONDS = 0.25
# Part of the time of a call that it may wait.
WAIT_SHARE = 0.3
CHECK_SECONDS = 0.02


class StartWait:
    """Bounds how long calls wait after the start of the process.

    Parameters
    ----------
    is_informed : callable
        Returns whether enough is known to place calls.
    clock : Clock
        Time.
    """

    def __init__(self, is_informed: Callable[[], bool], clock: Clock) -> None:
        self._is_informed = is_informed
        self._clock = clock
        self._ends_at = clock.monotonic() + START_SECONDS
        self._has_ended = asyncio.Event()

    async def run(self) -> None:
        """Note when enough is known, or the time of the start has passed."""
        while not self._is_informed() and self._clock.monotonic() < self._ends_at:
            await self._clock.sleep(CHECK_SECONDS)
        self._has_ended.set()

    async def wait(self, remaining_ms: float | None) -> None:
        """Wait until enough is known, as long as a call may.

        Parameters
        ----------
        remaining_ms : float or None
            Time that the caller waits; None when it does not say.
        """
        if self._has_ended.is_set() or remaining_ms is None:
            return
        seconds = min(MAX_WAIT_SECONDS, remaining_ms / 1000 * WAIT_SHARE)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._has_ended.wait()
