"""Tells other VMs up to which offset this one holds the operators' records."""

import asyncio
from collections.abc import Callable

from lacewingstair.runtime import Clock

# Each VM tells all others of its zone, so that announcements after transfers grow with
# the square of these; in a storm of versions one for several versions is enough.
MIN_INTERVAL_SECONDS = 0.5


class RecordsAnnouncer:
    """Announces at once what came from the store, and at intervals what VMs passed on.

    Parameters
    ----------
    announce : callable
        Tells other VMs the offset.
    clock : Clock
        Time.
    """

    def __init__(self, announce: Callable[[], None], clock: Clock) -> None:
        self._announce = announce
        self._clock = clock
        self._announced_at: float | None = None
        self._scheduled: asyncio.TimerHandle | None = None

    def announce_store_records(self) -> None:
        """Announce at once; the other VMs get the records from this one."""
        self._announce_now()

    def announce_transferred_records(self) -> None:
        """Announce for VMs that reach no reader, soon after the last announcement."""
        if self._scheduled is not None:
            return
        now = self._clock.monotonic()
        if self._announced_at is None:
            wait_seconds = 0.0
        else:
            wait_seconds = self._announced_at + MIN_INTERVAL_SECONDS - now
        if wait_seconds <= 0:
            self._announce_now()
            return
        loop = asyncio.get_running_loop()
        self._scheduled = loop.call_later(wait_seconds, self._announce_now)

    def close(self) -> None:
        """Drop an announcement that is due later."""
        if self._scheduled is not None:
            self._scheduled.cancel()
            self._scheduled = None

    def _announce_now(self) -> None:
        self.close()
        self._announced_at = self._clock.monotonic()
        self._announce()
