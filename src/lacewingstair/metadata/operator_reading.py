"""Reads the operators' records from the store while this VM is a reader."""

import asyncio
from collections.abc import Callable, Iterator

from lacewingstair import events
from lacewingstair.background_tasks import RESTART_SECONDS, keep_running
from lacewingstair.metadata.tail import KeyedTail
from lacewingstair.runtime import Clock
from lacewingstair.vm.call_links import CallLinks
from lacewingstair.vm.entries import VmEntry
from lacewingstair.vm.record_fetcher import RecordFetcher
from lacewingstair.vm.store_readers import Peer, StoreReaderElection

CHECK_SECONDS = 0.25


class OperatorReading:
    """Starts and stops reading as `StoreReaderElection` decides.

    Parameters
    ----------
    tail : KeyedTail
        Reads the operators' topic.
    own_entry : callable
        Returns the entry of this VM.
    links : CallLinks
        Links to other VMs.
    fetcher : RecordFetcher
        Fetches records from other VMs.
    on_change : callable
        Called when this VM starts or stops reading the store.
    clock : Clock
        Source of time.

    Attributes
    ----------
    is_reading : bool
        Whether this VM reads the topic and the store responds.
    """

    def __init__(
        self,
        tail: KeyedTail,
        own_entry: Callable[[], VmEntry],
        links: CallLinks,
        fetcher: RecordFetcher,
        on_change: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._tail = tail
        self._own_entry = own_entry
        self._links = links
        self._fetcher = fetcher
        self._on_change = on_change
        self._clock = clock
        self._readers = StoreReaderElection()
        self._reading: asyncio.Task[None] | None = None
        self._restart_at = 0.0
        self.is_reading = False

    async def run(self) -> None:
        """Reevaluate the election periodically until cancelled."""
        try:
            while True:
                self._decide()
                await self._clock.sleep(CHECK_SECONDS)
        finally:
            self._stop()

    def skip_to(self, offset: int) -> None:
        """Continue at an offset, as earlier records were received from another VM."""
        self._tail.skip_to(offset)

    def _decide(self) -> None:
        now = self._clock.monotonic()
        reads = self._readers.decide(
            self._own_entry(), self._peers(), self._fetcher.lag_seconds(), now
        )
        if reads and self._reading is None and now >= self._restart_at:
            reading = keep_running("store_reading", self._tail.run, self._clock)
            self._reading = asyncio.create_task(reading)
            events.info("store_reading", is_reader=True)
        elif not reads and self._reading is not None:
            self._stop()
            events.info("store_reading", is_reader=False)
        is_reading = self._reading is not None and self._tail.is_up
        if is_reading != self.is_reading:
            self.is_reading = is_reading
            self._on_change()

    def _peers(self) -> Iterator[Peer]:
        region = self._own_entry().region
        for link in self._links:
            entry = link.entry
            if link.is_connected and entry.region == region and not entry.is_leaving:
                yield Peer(entry, link.load.reads_store)

    def _stop(self) -> None:
        if self._reading is not None:
            self._reading.cancel()
            self._reading = None
            # The cancelled task has not finished yet, and two must not overlap.
            self._restart_at = self._clock.monotonic() + RESTART_SECONDS
