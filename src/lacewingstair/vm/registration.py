"""Registration of this VM's entry in the platform's store."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import attrs
from result import Err, Result

from lacewingstair import events
from lacewingstair.errors import StoreConflict, StoreUnavailable
from lacewingstair.runtime import Clock, full_jitter
from lacewingstair.vm.entries import MeshView, VmEntry, encode_entry

RETRY_BASE_SECONDS = 0.2
# Changes that come one upon the other, such as a report of the backend server and its
# health check, are written together.
WRITE_DELAY_SECONDS = 0.1
# All VMs write their entries again when the store has lost some; this spreads them.
RESTORED_SPREAD_SECONDS = 1.0
# Short enough that the entry is written within 2 s after an outage of the store.
RETRY_CAP_SECONDS = 1.2

WriteEntry = Callable[
    [str, bytes | None], Awaitable[Result[int, StoreUnavailable | StoreConflict]]
]


class Registration:
    """Owns this VM's entry and writes each change of it.

    Parameters
    ----------
    entry : VmEntry
        Initial entry.
    view : MeshView
        Receives the entry and each change of it.
    write : callable
        Writes the encoded entry under the VM's id; None deletes it.
    clock, rng
        Clock and random generator.

    Attributes
    ----------
    entry : VmEntry
        Current entry.
    previous_entry : VmEntry or None
        Newest entry that was written by an earlier process of this VM.
    first_written_at : float or None
        When the store first acknowledged the entry, monotonic seconds.
    """

    def __init__(
        self,
        entry: VmEntry,
        view: MeshView,
        write: WriteEntry,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.entry = entry
        self.previous_entry: VmEntry | None = None
        self.first_written_at: float | None = None
        self._written_offset = -1
        self._view = view
        self._write = write
        self._clock = clock
        self._rng = rng
        self._spread_seconds = 0.0
        self._write_needed = asyncio.Event()
        self._listeners: list[Callable[[VmEntry], None]] = []
        view.merge(entry)

    def subscribe(self, listener: Callable[[VmEntry], None]) -> None:
        """Call `listener` with each change of the entry."""
        self._listeners.append(listener)

    def change(self, **values: object) -> None:
        """Change fields of the entry and schedule a write."""
        changed = attrs.evolve(self.entry, **values)
        if changed == self.entry:
            return
        self._replace(attrs.evolve(changed, sequence=self.entry.sequence + 1))

    def handle_observed_entry(self, entry: VmEntry, offset: int) -> None:
        """Handle this VM's entry as the store holds it at an offset.

        A newer one is of an earlier process and must not prevail, so that the own
        incarnation is raised above it. An older one that follows the latest own write
        results from a delayed write, so that the current entry is written again.
        """
        own = self.entry
        is_previous = entry.incarnation != own.incarnation
        if is_previous and (
            self.previous_entry is None or entry.order > self.previous_entry.order
        ):
            self.previous_entry = entry
        if entry.order > own.order:
            self._replace(attrs.evolve(own, incarnation=entry.incarnation + 1))
        elif entry.order < own.order and offset > self._written_offset:
            self._write_needed.set()

    def handle_missing_entry(self, offset: int) -> None:
        """Write the entry again if a delayed write has deleted it at an offset."""
        if not self.entry.is_leaving and offset > self._written_offset:
            self._write_needed.set()

    def handle_restored_store(self) -> None:
        """Write the entry again, as the store came back from an older copy."""
        if self.first_written_at is None:
            return
        self._spread_seconds = RESTORED_SPREAD_SECONDS * self._rng.random()
        self._write_needed.set()

    async def run(self) -> None:
        """Write the entry after each change, until cancelled."""
        failures = 0
        while True:
            await self._write_needed.wait()
            if not self.entry.is_leaving:
                await self._clock.sleep(WRITE_DELAY_SECONDS + self._spread_seconds)
            self._spread_seconds = 0.0
            self._write_needed.clear()
            entry = self.entry
            # Other VMs are told of a planned stop on their links, so that the entry can
            # be deleted from the store.
            value = None if entry.is_leaving else encode_entry(entry)
            try:
                written = await self._write(entry.vm_id, value)
            except Exception:
                # The next run writes it.
                self._write_needed.set()
                raise
            if isinstance(written, Err):
                delay = full_jitter(
                    self._rng, failures, RETRY_BASE_SECONDS, RETRY_CAP_SECONDS
                )
                failures += 1
                events.warning("entry_not_written", error=written.err_value)
                self._write_needed.set()
                await self._clock.sleep(delay)
                continue
            failures = 0
            self._written_offset = written.ok_value
            if self.first_written_at is None:
                self.first_written_at = self._clock.monotonic()
            events.info(
                "entry_written", offset=written.ok_value, **_event_fields(entry)
            )

    def _replace(self, entry: VmEntry) -> None:
        self.entry = entry
        self._view.merge(entry)
        self._write_needed.set()
        for listener in self._listeners:
            listener(entry)


def _event_fields(entry: VmEntry) -> dict[str, object]:
    return {
        "state": entry.state.value,
        "upstream": entry.upstream_id,
        "version": entry.version,
        "sequence": entry.sequence,
        "is_leaving": entry.is_leaving,
    }
