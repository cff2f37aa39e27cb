"""Announces to other VMs the offset up to which this VM holds operators' records."""

import asyncio
from collections.abc import Callable

from lacewingstair.runtime import Clock

# Each VM announces to all others of its zone, so that the number of announcements after
# transfers grows with the square of the VMs of the zone. In a burst of versions, one
# announcement for several versions is sufficient.
MIN_INTERVAL_SECONDS = 0.5


class RecordsAnnouncer:
    """Announces the offset after records were read from the store or from another VM.

    Records from the store are announced immediately, those from other VMs at a limited
    rate.

    Parameters
    ----------
    announce : callable
        Sends the offset to other VMs.
    clock : Clock
        Source of time.
    """

    def __init__(self, announce: Callable[[], None], clock: Clock) -> None:
        self._announce = announce
        self._clock = clock
        self._announced_at: float | None = None
        self._delayed_announcement: asyncio.TimerHandle | None = None

    def announce_store_records(self) -> None:
        """Announce immediately, as other VMs fetch the records from this one."""
        self._announce_now()

    def announce_transferred_records(self) -> None:
        """Announce at a limited rate, for VMs that have no link to a store reader."""
        if self._delayed_announcement is not None:
            return
        now = self._clock.monotonic()
        if self._announced_at is None:
            delay_seconds = 0.0
        else:
            delay_seconds = self._announced_at + MIN_INTERVAL_SECONDS - now
        if delay_seconds <= 0:
            self._announce_now()
            return
        loop = asyncio.get_running_loop()
        self._delayed_announcement = loop.call_later(delay_seconds, self._announce_now)

    def close(self) -> None:
        """Cancel a delayed announcement."""
        if self._delayed_announcement is not None:
            self._delayed_announcement.cancel()
            self._delayed_announcement = None

    def _announce_now(self) -> None:
        self.close()
        self._announced_at = self._clock.monotonic()
        self._announce()
