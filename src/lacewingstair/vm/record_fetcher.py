"""Gets the operators' records that other VMs hold already, one transfer at a time.

Each message about load says up to which offset its sender holds the records. Many VMs
say so at the same time, and every one of them could send what is missing here. Only one
is asked at a time, the nearest first, and another one when it does not answer, so that
a version crosses this VM's link about once.
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

# Nearer VMs often learn of the same records a moment later.
GATHER_SECONDS = 0.05
# Versions in quick succession are fetched together.
PAUSE_SECONDS = 0.3
# A VM that is busy refuses at once, and another one may be free.
REFUSED_PAUSE_SECONDS = 0.05
# Another VM is asked when no further part has come for this long; doubled with each
# failure of the same VM in a row, as are the pauses, so that slow senders are not
# flooded with new requests.
PART_TIMEOUT_SECONDS = 0.5
MAX_DOUBLINGS = 3
# Failures are forgotten after this long without a further one, so that transfers from
# far VMs do not go on once a near one has recovered; one that stays silent costs a
# time-out as often.
FAILURE_MEMORY_SECONDS = 10.0
# Offset in a request for nothing, which ends the earlier transfer on its stream.
BEYOND_ALL_RECORDS = 2**63 - 1
MAX_TRANSFER_BYTES = 32 << 20
_RANKS_BY_DISTANCE = {
    distances.ZONE: 0,
    distances.REGION: 1,
    distances.OTHER_REGION: 2,
}


@attrs.define(eq=False)
class RecordSource:
    """A VM that can be asked for records.

    Parameters
    ----------
    vm_id : str
        The VM.
    distance : str
        Where it is, as in `vm.distances`.
    send : callable
        Sends it a message.
    is_usable : callable
        Returns whether the link to it works, as far as this VM knows.
    position : int
        Offset up to which it holds the records.
    failures : int
        Transfers in a row that it did not complete lately.
    failed_at : float
        When the last of them ended, monotonic seconds.
    """

    vm_id: str
    distance: str
    send: Callable[[RecordsRequest], None]
    is_usable: Callable[[], bool]
    position: int = -1
    failures: int = 0
    failed_at: float = 0.0


class RecordFetcher:
    """Asks other VMs for what they hold and this one lacks.

    Parameters
    ----------
    position : callable
        Returns the offset up to which this VM holds the records.
    remembered : callable
        Returns the offsets of values that a difference can refer to.
    on_transfer : callable
        Takes the bytes of a whole transfer; returns whether they could be used.
    clock, rng
        Time and randomness.
    """

    def __init__(
        self,
        position: Callable[[], int],
        remembered: Callable[[], list[int]],
        on_transfer: Callable[[bytes], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._position = position
        self._remembered = remembered
        self._on_transfer = on_transfer
        self._clock = clock
        self._rng = rng
        self._sources_by_vm_id: dict[str, RecordSource] = {}
        self._numbers = itertools.count(1)
        self._transfer_id = 0
        self._asked: RecordSource | None = None
        # Transfers that were given up, and that their senders may still go on with.
        self._abandoned_by_vm_id: dict[str, tuple[int, RecordSource]] = {}
        # Those of them of which parts have come, so that the rest is of no use.
        self._begun_vm_ids: set[str] = set()
        self._parts: list[bytes] = []
        self._received_bytes = 0
        self._progress = asyncio.Event()
        self._is_whole = False
        self._fetching: asyncio.Task[None] | None = None
        self._behind_since: float | None = None

    def add_source(self, source: RecordSource) -> None:
        """Take note that a VM holds records up to `source.position`."""
        if source.position <= self._position():
            return
        if self._behind_since is None:
            self._behind_since = self._clock.monotonic()
        self._sources_by_vm_id[source.vm_id] = source
        if self._fetching is None:
            self._fetching = asyncio.create_task(self._fetch())

    def lag_seconds(self) -> float:
        """Return for how long this VM has lacked records that another one holds."""
        if self._behind_since is None:
            return 0.0
        return self._clock.monotonic() - self._behind_since

    def receive_part(self, vm_id: str, part: RecordsPart) -> None:
        """Take a part of a transfer; parts that were not asked for are dropped."""
        asked = self._asked
        is_asked = asked is not None and asked.vm_id == vm_id
        is_current = is_asked and part.transfer_id == self._transfer_id
        if self._is_whole or not (is_current or self._resume(vm_id, part)):
            self._end_abandoned(vm_id, part)
            return
        self._received_bytes += len(part.data)
        if self._received_bytes > MAX_TRANSFER_BYTES:
            return
        self._parts.append(part.data)
        self._is_whole = part.is_last
        self._progress.set()

    def _resume(self, vm_id: str, part: RecordsPart) -> bool:
        """Return to a transfer that was given up, as its VM is the first to send.

        The request or its answer may only have waited on a full link.
        """
        transfer_id, source = self._abandoned_by_vm_id.get(vm_id, (0, None))
        if source is None or part.transfer_id != transfer_id:
            return False
        if self._asked is None or self._received_bytes or vm_id in self._begun_vm_ids:
            return False
        del self._abandoned_by_vm_id[vm_id]
        self._abandoned_by_vm_id[self._asked.vm_id] = (self._transfer_id, self._asked)
        self._asked, self._transfer_id = source, transfer_id
        return True

    def _end_abandoned(self, vm_id: str, part: RecordsPart) -> None:
        """Tell a VM that goes on with an abandoned transfer to stop it."""
        transfer_id, source = self._abandoned_by_vm_id.get(vm_id, (0, None))
        if source is None or part.transfer_id != transfer_id:
            return
        del self._abandoned_by_vm_id[vm_id]
        if not part.is_last:
            source.send(RecordsRequest(transfer_id, BEYOND_ALL_RECORDS, []))

    def close(self) -> None:
        """End the transfer under way."""
        if self._fetching is not None:
            self._fetching.cancel()

    async def _fetch(self) -> None:
        """Ask one VM after the other until no one has more than this one."""
        try:
            await self._clock.sleep(GATHER_SECONDS * self._rng.uniform(0.5, 1.5))
            while (source := self._choose()) is not None:
                data = await self._ask(source)
                is_done = data is not None and self._on_transfer(data)
                if is_done:
                    source.failures = 0
                    self._behind_since = None
                else:
                    source.failures += 1
                    source.failed_at = self._clock.monotonic()
                first_seconds = (
                    REFUSED_PAUSE_SECONDS if self._is_refused() else PAUSE_SECONDS
                )
                pause_seconds = _doubled(first_seconds, source.failures - 1)
                await self._clock.sleep(pause_seconds * self._rng.uniform(0.75, 1.0))
        finally:
            self._behind_since = None
            self._fetching = None

    def _is_refused(self) -> bool:
        """Return whether the VM that was asked last has refused at once."""
        return self._is_whole and not self._received_bytes

    def _choose(self) -> RecordSource | None:
        """Return a VM that has more than this one; the nearest of those that answer."""
        position = self._position()
        sources = [
            source
            for source in self._sources_by_vm_id.values()
            if source.position > position and source.is_usable()
        ]
        self._sources_by_vm_id = {source.vm_id: source for source in sources}
        forgotten_before = self._clock.monotonic() - FAILURE_MEMORY_SECONDS
        for source in sources:
            if source.failed_at <= forgotten_before:
                source.failures = 0
        return min(
            sources,
            key=lambda source: (
                source.failures,
                _RANKS_BY_DISTANCE.get(source.distance, len(_RANKS_BY_DISTANCE)),
                -source.position,
                self._rng.random(),
            ),
            default=None,
        )

    async def _ask(self, source: RecordSource) -> bytes | None:
        self._asked = source
        self._transfer_id = next(self._numbers)
        self._parts = []
        self._received_bytes = 0
        self._is_whole = False
        request = RecordsRequest(
            self._transfer_id, self._position(), self._remembered()
        )
        # The new request ends an earlier transfer on the same stream.
        self._abandoned_by_vm_id.pop(source.vm_id, None)
        self._begun_vm_ids.discard(source.vm_id)
        source.send(request)
        timeout_seconds = _doubled(PART_TIMEOUT_SECONDS, source.failures)
        try:
            while not self._is_whole:
                self._progress.clear()
                async with asyncio.timeout(timeout_seconds):
                    await self._progress.wait()
        except TimeoutError:
            vm_id = self._asked.vm_id
            self._abandoned_by_vm_id[vm_id] = (self._transfer_id, self._asked)
            if self._received_bytes:
                self._begun_vm_ids.add(vm_id)
            events.info(
                "records_not_sent",
                vm=source.vm_id,
                received_bytes=self._received_bytes,
                after=request.after,
            )
            return None
        finally:
            self._asked = None
        if self._is_refused():
            events.info("records_refused_by_vm", vm=source.vm_id, after=request.after)
            return None
        return b"".join(self._parts)


def _doubled(seconds: float, failures: int) -> float:
    return seconds * 2 ** min(max(failures, 0), MAX_DOUBLINGS)
