"""Links of this VM to all others, kept open so that calls need not wait to connect."""

import random
from collections.abc import Callable, Iterator

from lacewingstair import events
from lacewingstair.runtime import Clock
from lacewingstair.vm.call_link import CallLink, OnStoreChecked
from lacewingstair.vm.call_messages import EvidenceChanged, MarkChanged
from lacewingstair.vm.entries import MeshView, VmEntry
from lacewingstair.vm.record_fetcher import RecordFetcher
from lacewingstair.vm.stream_traffic import StreamTraffic

MAINTENANCE_INTERVAL_SECONDS = 0.5


class CallLinks:
    """Keeps one open link to each known VM.

    Parameters
    ----------
    own_entry : callable
        Returns the entry of this VM.
    view : MeshView
        Entries of all VMs.
    clock, rng
        Clock and random generator.
    fetcher : RecordFetcher
        Fetches operators' records from other VMs.
    on_rollout_message : callable
        Called with each message of another VM about a rollout.
    traffic : StreamTraffic, optional
        Counts the bytes of messages.
    on_store_checked : callable, optional
        Called with the id of a VM, each message of it about the store, and how many
        seconds later than usual the message has arrived.
    """

    def __init__(
        self,
        own_entry: Callable[[], VmEntry],
        view: MeshView,
        clock: Clock,
        rng: random.Random,
        fetcher: RecordFetcher,
        on_rollout_message: Callable[[EvidenceChanged | MarkChanged], None],
        traffic: StreamTraffic | None = None,
        on_store_checked: OnStoreChecked = lambda vm_id, message, late_seconds: None,
    ) -> None:
        self._on_store_checked = on_store_checked
        self._traffic = traffic
        self._own_entry = own_entry
        self._view = view
        self._clock = clock
        self._rng = rng
        self._fetcher = fetcher
        self._on_rollout_message = on_rollout_message
        self._links_by_vm_id: dict[str, CallLink] = {}
        view.subscribe(self._handle_entry)

    def get(self, vm_id: str) -> CallLink | None:
        """Return the link to a VM, or None if the VM is unknown."""
        return self._links_by_vm_id.get(vm_id)

    def __iter__(self) -> Iterator[CallLink]:
        return iter(list(self._links_by_vm_id.values()))

    async def run(self) -> None:
        """Reopen links that are not connected, until cancelled."""
        while True:
            await self._clock.sleep(
                MAINTENANCE_INTERVAL_SECONDS * self._rng.uniform(0.5, 1.0)
            )
            now = self._clock.monotonic()
            self._close_removed_links()
            for link in self:
                if not link.entry.is_leaving and link.is_usable(now):
                    link.open()

    @property
    def unsent_bytes(self) -> int:
        """Bytes in the write buffers of all links."""
        return sum(link.unsent_bytes for link in self)

    def close(self) -> None:
        """Close all links."""
        for link in self:
            link.close()

    def _close_removed_links(self) -> None:
        """Close links to removed VMs once no calls are in flight on them."""
        for vm_id, link in list(self._links_by_vm_id.items()):
            if self._view.get(vm_id) is None and not link.in_flight:
                link.close()
                del self._links_by_vm_id[vm_id]

    def _handle_hello(self, expected_vm_id: str, entry: VmEntry) -> None:
        """Merge the entry of a peer; remove the expected VM if another one answered."""
        if entry.vm_id != expected_vm_id:
            events.info("vm_replaced", vm=expected_vm_id, by=entry.vm_id)
            self._view.remove(expected_vm_id)
        self._view.merge(entry)

    def _handle_entry(self, entry: VmEntry) -> None:
        own = self._own_entry()
        if entry.vm_id == own.vm_id:
            return
        link = self._links_by_vm_id.get(entry.vm_id)
        if link is not None and link.entry.address != entry.address:
            link.close()
            link = None
        if link is None:
            link = self._new_link(entry)
            self._links_by_vm_id[entry.vm_id] = link
            link.open()
        link.entry = entry

    def _new_link(self, entry: VmEntry) -> CallLink:
        return CallLink(
            entry,
            self._own_entry,
            self._clock,
            on_entry=self._view.merge,
            on_hello=self._handle_hello,
            on_record_source=self._fetcher.add_source,
            on_records_part=self._fetcher.receive_part,
            on_rollout_message=self._on_rollout_message,
            on_store_checked=self._on_store_checked,
            traffic=self._traffic,
        )
