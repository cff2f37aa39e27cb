"""Keeps this VM's entry in the platform's store."""

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
# An entry is back in the store within 2 s of its return.
RETRY_CAP_SECONDS = 1.2

Write = Callable[
    [str, bytes | None], Awaitable[Result[int, StoreUnavailable | StoreConflict]]
]


class Registration:
    """Owns this VM's entry and writes each change of it.

    Parameters
    ----------
    entry : VmEntry
        Entry at the start.
    view : MeshView
        Gets the entry as well.
    write : callable
        Writes the entry under the VM's id; None drops it.
    clock, rng
        Time and randomness.

    Attributes
    ----------
    entry : VmEntry
        The entry now.
    former : VmEntry or None
        Newest entry that an earlier process of this VM has written.
    """

    def __init__(
        self,
        entry: VmEntry,
        view: MeshView,
        write: Write,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.entry = entry
        self.previous_entry: VmEntry | None = None
        self._view = view
        self._write = write
        self._clock = clock
        self._rng = rng
        self._changed = asyncio.Event()
        self._listeners: list[Callable[[VmEntry], None]] = []
        view.merge(entry)

    def subscribe(self, listener: Callable[[VmEntry], None]) -> None:
        """Call `listener` with each change of the entry."""
        self._listeners.append(listener)

    def change(self, **values: object) -> None:
        """Change fields of the entry and have it written."""
        changed = attrs.evolve(self.entry, **values)
        if changed == self.entry:
            return
        self._replace(attrs.evolve(changed, sequence=self.entry.sequence + 1))

    def handle_observed_entry(self, entry: VmEntry) -> None:
        """Take this VM's entry as the store or a peer holds it.

        One of an earlier process must not outlast this one, and an old write can take
        effect late.
        """
        own = self.entry
        is_former = entry.incarnation != own.incarnation
        if is_former and (
            self.previous_entry is None or entry.order > self.previous_entry.order
        ):
            self.previous_entry = entry
        if entry.order > own.order:
            self._replace(attrs.evolve(own, incarnation=entry.incarnation + 1))
        elif entry.order < own.order:
            self._changed.set()

    def handle_missing_entry(self) -> None:
        """Take that the store no longer has the entry; a late write can drop it."""
        if not self.entry.is_leaving:
            self._changed.set()

    async def run(self) -> None:
        """Write the entry whenever it has changed, until cancelled."""
        failures = 0
        while True:
            await self._changed.wait()
            self._changed.clear()
            entry = self.entry
            # The others learn of a planned stop on their links; the store forgets it.
            value = None if entry.is_leaving else encode_entry(entry)
            written = await self._write(entry.vm_id, value)
            if isinstance(written, Err):
                delay = full_jitter(
                    self._rng, failures, RETRY_BASE_SECONDS, RETRY_CAP_SECONDS
                )
                failures += 1
                events.warning("entry_not_written", error=written.err_value)
                self._changed.set()
                await self._clock.sleep(delay)
                continue
            failures = 0
            events.info("entry_written", offset=written.ok_value, **_shown(entry))

    def _replace(self, entry: VmEntry) -> None:
        self.entry = entry
        self._view.merge(entry)
        self._changed.set()
        for listener in self._listeners:
            listener(entry)


def _shown(entry: VmEntry) -> dict[str, object]:
    return {
        "state": entry.state.value,
        "upstream": entry.upstream_id,
        "version": entry.version,
        "sequence": entry.sequence,
        "is_leaving": entry.is_leaving,
    }
