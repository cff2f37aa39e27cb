"""Fetches missing operators' records from other VMs, one transfer at a time.

Each load message states the offset up to which its sender holds the records, and the
version of its configuration, which can be higher at the same offset. Many VMs
announce the same records at about the same time. The fetcher requests them from one
source at a time, the nearest first, and from another one if that fails, so that each
version is transferred over this VM's link about once.
"""

import asyncio
import itertools
import random
from collections.abc import Callable

import attrs

from lacewingstair import events
from lacewingstair.runtime import Clock
from lacewingstair.vm import distances
from lacewingstair.vm.call_messages import RecordsPart, RecordsRequest

# Mean delay before the first request, as nearer VMs often announce the same records
# shortly after farther ones.
INITIAL_DELAY_SECONDS = 0.05
# Pause between transfers, so that versions written in quick succession are fetched
# together.
TRANSFER_PAUSE_SECONDS = 0.3
# Pause after a refusal. It is shorter as a busy VM refuses at once and another source
# may have capacity.
REFUSAL_PAUSE_SECONDS = 0.05
# A transfer is abandoned when no part arrives for this long. The timeout and the pauses
# double with each consecutive failure of a source, so that slow senders are not flooded
# with requests.
PART_TIMEOUT_SECONDS = 0.5
MAX_BACKOFF_DOUBLINGS = 3
# The failures of a source expire when none is added for this long, so that a near VM is
# preferred again after it recovers. The cost is one timeout per period for a source
# that stays silent.
FAILURE_EXPIRY_SECONDS = 10.0
# Offset and version of a request that matches no records; it only ends the earlier
# transfer on its stream.
CANCEL_OFFSET = 2**63 - 1
MAX_TRANSFER_BYTES = 32 << 20
_RANKS_BY_DISTANCE = {
    distances.ZONE: 0,
    distances.REGION: 1,
    distances.OTHER_REGION: 2,
}


@attrs.define(eq=False)
class RecordSource:
    """VM that records can be requested from.

    Parameters
    ----------
    vm_id : str
        Id of the VM.
    distance : str
        Network distance to the VM, as in `vm.distances`.
    send : callable
        Sends a request to the VM.
    is_usable : callable
        Returns whether the link to the VM is known to work.
    position : int
        Offset up to which the VM holds all records.
    configuration_number : int
        Version of the configuration that the VM holds.
    consecutive_failures : int
        Number of recent consecutive failed transfers.
    failed_at : float
        Monotonic time of the last failure in seconds.
    """

    vm_id: str
    distance: str
    send: Callable[[RecordsRequest], None]
    is_usable: Callable[[], bool]
    position: int = -1
    configuration_number: int = 0
    consecutive_failures: int = 0
    failed_at: float = 0.0


class RecordFetcher:
    """Requests records that other VMs hold and this VM lacks.

    Parameters
    ----------
    position : callable
        Returns the offset up to which this VM holds all records.
    base_offsets : callable
        Returns the offsets of held values that a delta can have as its base.
    on_transfer : callable
        Called with the data of a complete transfer; returns whether it was applied.
    clock : Clock
        Source of time.
    rng : Random
        Source of randomness.
    on_newer : callable, optional
        Called with an offset and the id of a VM that holds records up to it, which this
        VM lacks.
    configuration_number : callable, optional
        Returns the version of the configuration that this VM holds.

    Attributes
    ----------
    transferred_from : str
        Id of the VM that sent the latest complete transfer.
    """

    def __init__(
        self,
        position: Callable[[], int],
        base_offsets: Callable[[], list[int]],
        on_transfer: Callable[[bytes], bool],
        clock: Clock,
        rng: random.Random,
        on_newer: Callable[[int, str], None] = lambda position, vm_id: None,
        configuration_number: Callable[[], int] = lambda: 0,
    ) -> None:
        self._configuration_number = configuration_number
        self._position = position
        self._base_offsets = base_offsets
        self._on_transfer = on_transfer
        self._on_newer = on_newer
        self._clock = clock
        self._rng = rng
        self._sources_by_vm_id: dict[str, RecordSource] = {}
        self._transfer_ids = itertools.count(1)
        self._transfer_id = 0
        self._active_source: RecordSource | None = None
        # Abandoned transfers that their senders may still continue.
        self._abandoned_by_vm_id: dict[str, tuple[int, RecordSource]] = {}
        # VMs whose abandoned transfer was received in part. The parts are discarded, so
        # that the remaining ones are useless.
        self._partly_received_vm_ids: set[str] = set()
        self._parts: list[bytes] = []
        self._received_bytes = 0
        self._part_received = asyncio.Event()
        self._is_complete = False
        self._fetch_task: asyncio.Task[None] | None = None
        self._lagging_since: float | None = None
        self.transferred_from = ""

    def add_source(self, source: RecordSource) -> None:
        """Register a VM if it holds records that this VM lacks."""
        if not self._is_ahead(source):
            return
        self._on_newer(source.position, source.vm_id)
        if self._lagging_since is None:
            self._lagging_since = self._clock.monotonic()
        self._sources_by_vm_id[source.vm_id] = source
        if self._fetch_task is None:
            self._fetch_task = asyncio.create_task(self._fetch())

    def _is_ahead(self, source: RecordSource) -> bool:
        """Return whether a VM holds records that this VM lacks.

        After a late write of an older version, the newer version has the lower offset,
        so positions do not tell which VM holds it.
        """
        return (
            source.position > self._position()
            or source.configuration_number > self._configuration_number()
        )

    def lag_seconds(self) -> float:
        """Return for how long this VM has lacked records that another VM holds."""
        if self._lagging_since is None:
            return 0.0
        return self._clock.monotonic() - self._lagging_since

    def receive_part(self, vm_id: str, part: RecordsPart) -> None:
        """Handle a received part of a transfer; unexpected parts are dropped."""
        active_source = self._active_source
        is_from_active_source = (
            active_source is not None and active_source.vm_id == vm_id
        )
        is_active_transfer = (
            is_from_active_source and part.transfer_id == self._transfer_id
        )
        if self._is_complete or not (
            is_active_transfer or self._resume_abandoned(vm_id, part)
        ):
            self._cancel_abandoned(vm_id, part)
            return
        self._received_bytes += len(part.data)
        if self._received_bytes > MAX_TRANSFER_BYTES:
            return
        self._parts.append(part.data)
        self._is_complete = part.is_last
        self._part_received.set()

    def _resume_abandoned(self, vm_id: str, part: RecordsPart) -> bool:
        """Resume an abandoned transfer whose first part precedes any active one.

        Its request or its parts may only have been delayed by a saturated link.
        Returns whether the part now belongs to the active transfer.
        """
        transfer_id, source = self._abandoned_by_vm_id.get(vm_id, (0, None))
        if source is None or part.transfer_id != transfer_id:
            return False
        if (
            self._active_source is None
            or self._received_bytes
            or vm_id in self._partly_received_vm_ids
        ):
            return False
        del self._abandoned_by_vm_id[vm_id]
        self._abandoned_by_vm_id[self._active_source.vm_id] = (
            self._transfer_id,
            self._active_source,
        )
        self._active_source, self._transfer_id = source, transfer_id
        return True

    def _cancel_abandoned(self, vm_id: str, part: RecordsPart) -> None:
        """Tell a VM that continues an abandoned transfer to stop it."""
        transfer_id, source = self._abandoned_by_vm_id.get(vm_id, (0, None))
        if source is None or part.transfer_id != transfer_id:
            return
        del self._abandoned_by_vm_id[vm_id]
        if not part.is_last:
            source.send(RecordsRequest(transfer_id, CANCEL_OFFSET, [], CANCEL_OFFSET))

    def close(self) -> None:
        """Cancel the fetch task."""
        if self._fetch_task is not None:
            self._fetch_task.cancel()

    async def _fetch(self) -> None:
        """Request transfers until no usable source holds more records than this VM."""
        try:
            await self._clock.sleep(INITIAL_DELAY_SECONDS * self._rng.uniform(0.5, 1.5))
            while (source := self._choose_source()) is not None:
                data = await self._request_transfer(source)
                is_applied = data is not None and self._on_transfer(data)
                if is_applied:
                    source.consecutive_failures = 0
                    self._lagging_since = None
                else:
                    source.consecutive_failures += 1
                    source.failed_at = self._clock.monotonic()
                base_seconds = (
                    REFUSAL_PAUSE_SECONDS
                    if self._was_refused()
                    else TRANSFER_PAUSE_SECONDS
                )
                pause_seconds = _backoff_seconds(
                    base_seconds, source.consecutive_failures - 1
                )
                await self._clock.sleep(pause_seconds * self._rng.uniform(0.75, 1.0))
        finally:
            self._lagging_since = None
            self._fetch_task = None

    def _was_refused(self) -> bool:
        """Return whether the last request was refused with an empty last part."""
        return self._is_complete and not self._received_bytes

    def _choose_source(self) -> RecordSource | None:
        """Return the best source of missing records, if any.

        Sources with fewer consecutive failures come first, then nearer ones.
        """
        sources = [
            source
            for source in self._sources_by_vm_id.values()
            if self._is_ahead(source) and source.is_usable()
        ]
        self._sources_by_vm_id = {source.vm_id: source for source in sources}
        expire_before = self._clock.monotonic() - FAILURE_EXPIRY_SECONDS
        for source in sources:
            if source.failed_at <= expire_before:
                source.consecutive_failures = 0
        return min(
            sources,
            key=lambda source: (
                source.consecutive_failures,
                _RANKS_BY_DISTANCE.get(source.distance, len(_RANKS_BY_DISTANCE)),
                -source.configuration_number,
                -source.position,
                self._rng.random(),
            ),
            default=None,
        )

    async def _request_transfer(self, source: RecordSource) -> bytes | None:
        self._active_source = source
        self._transfer_id = next(self._transfer_ids)
        self._parts = []
        self._received_bytes = 0
        self._is_complete = False
        request = RecordsRequest(
            self._transfer_id,
            self._position(),
            self._base_offsets(),
            self._configuration_number(),
        )
        # The new request makes the source end any earlier transfer on the same stream.
        self._abandoned_by_vm_id.pop(source.vm_id, None)
        self._partly_received_vm_ids.discard(source.vm_id)
        source.send(request)
        timeout_seconds = _backoff_seconds(
            PART_TIMEOUT_SECONDS, source.consecutive_failures
        )
        try:
            while not self._is_complete:
                self._part_received.clear()
                async with asyncio.timeout(timeout_seconds):
                    await self._part_received.wait()
            self.transferred_from = self._active_source.vm_id
        except TimeoutError:
            vm_id = self._active_source.vm_id
            self._abandoned_by_vm_id[vm_id] = (self._transfer_id, self._active_source)
            if self._received_bytes:
                self._partly_received_vm_ids.add(vm_id)
            events.info(
                "records_not_sent",
                vm=source.vm_id,
                received_bytes=self._received_bytes,
                after=request.after,
            )
            return None
        finally:
            self._active_source = None
        if self._was_refused():
            events.info("records_refused_by_vm", vm=source.vm_id, after=request.after)
            return None
        return b"".join(self._parts)


def _backoff_seconds(base_seconds: float, consecutive_failures: int) -> float:
    return base_seconds * 2 ** min(max(consecutive_failures, 0), MAX_BACKOFF_DOUBLINGS)
