"""Many VMs of one mesh in one process and in virtual time, with a log."""

import asyncio
import contextlib
import json
import random
from collections.abc import Callable, Coroutine, Iterable, Iterator
from typing import Any

from lacewingstair.rollouts.marks import Marks
from lacewingstair.standins.memory_network import Latency, MemoryNetwork, Place
from lacewingstair.standins.virtual_time import VirtualClock
from lacewingstair.tickets.acceptance import TicketRecord
from lacewingstair.tickets.state_store import StateStore
from lacewingstair.vm.directory import Directory, Endpoint, VmRecord
from lacewingstair.vm.node import VmNode

MESH = "cluster"
POLL_SECONDS = 20.0
ROLE_CHECK_SECONDS = 1.0
RETRY_SECONDS = 1.0


class PausableClock(VirtualClock):
    """Clock whose sleepers do not wake while the VM is paused."""

    def __init__(self, running: asyncio.Event) -> None:
        self._running = running

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task in virtual time, and while paused."""
        await super().sleep(seconds)
        await self._running.wait()


class MemoryLog:
    """Ticket stream of the platform's log.

    Attributes
    ----------
    values : list of str
        Records, by offset.
    reads, records_read : int
        Reads answered, and records in them.
    count_poll : callable
        Returns the bytes of a poll on the wire from the records in its answer.
    far_poll_bytes : int
        Bytes of polls from other regions than that of the log.
    cut_zones : set of str
        Zones that cannot reach the log.
    """

    def __init__(self, place: Place, latency: Latency) -> None:
        self._place = place
        self._latency = latency
        self._appended = asyncio.Event()
        self.values: list[str] = []
        self.reads = 0
        self.records_read = 0
        self.count_poll: Callable[[list[str]], int] = lambda values: 0
        self.far_poll_bytes = 0
        self.cut_zones: set[str] = set()

    def append(self, value: str) -> None:
        """Append a record."""
        self.values.append(value)
        self._appended.set()
        self._appended = asyncio.Event()

    async def read(self, reader: Place, offset: int) -> list[TicketRecord] | None:
        """Return records from an offset on; None when the log does not answer."""
        delay = self._latency.between(self._place, reader)
        await asyncio.sleep(delay)
        if reader.availability_zone in self.cut_zones:
            return None
        if offset >= len(self.values):
            # Not wait_for: in CPython 3.11 it loses a cancellation that comes together
            # with the event.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(POLL_SECONDS):
                    await self._appended.wait()
        records = [
            TicketRecord(offset + i, value)
            for i, value in enumerate(self.values[offset : offset + 100])
        ]
        await asyncio.sleep(delay)
        if reader.availability_zone in self.cut_zones:
            return None
        self.reads += 1
        self.records_read += len(records)
        if reader.region != self._place.region:
            self.far_poll_bytes += self.count_poll([r.value for r in records])
        return records


class ClusterVm:
    """One VM: its node, its state and its tail of the log."""

    def __init__(self, cluster: "Cluster", record: VmRecord, seed: int) -> None:
        network = cluster.network
        self._cluster = cluster
        self.transport = network.transport(record.region, record.availability_zone)
        self.clock = PausableClock(self.transport.running)
        self.store = StateStore()
        self.directory = Directory()
        self.marks = Marks()
        self.node = VmNode(
            mesh=MESH,
            own=record,
            contacts=cluster.contacts,
            store=self.store,
            directory=self.directory,
            marks=self.marks,
            transport=self.transport,
            clock=self.clock,
            rng=random.Random(seed),
            eager_trees=cluster.eager_trees,
            log_region=cluster.log_region,
        )
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def vm_id(self) -> str:
        """Id of the VM."""
        return self.node.own.vm_id

    @property
    def place(self) -> Place:
        """Where the VM stands."""
        return self.transport.place

    @property
    def number(self) -> int:
        """Ticket number in force."""
        return self.store.state.number

    async def start(self) -> None:
        """Listen and start the tasks."""
        listening = await self.node.listen()
        listening.unwrap()
        self._tasks = [asyncio.ensure_future(run) for run in self.runs()]

    def runs(self) -> Iterable[Coroutine[Any, Any, None]]:
        """Return the tasks of this VM."""
        return (self.node.run(), self._tail())

    async def stop(self) -> None:
        """Stop on purpose."""
        for task in self._tasks:
            task.cancel()
        results = await asyncio.gather(*self._tasks, return_exceptions=True)
        for result in results:
            if not isinstance(result, asyncio.CancelledError):
                raise RuntimeError(f"{self.vm_id} failed") from result

    def is_converged(self, number: int) -> bool:
        """Return whether a ticket is in force."""
        return self.store.state.number >= number

    async def _tail(self) -> None:
        while True:
            if not self.node.is_log_reader():
                await self.clock.sleep(ROLE_CHECK_SECONDS)
                continue
            offset = self.store.state.next_offset
            records = await self._cluster.log.read(self.place, offset)
            await self.transport.running.wait()
            if records is None:
                await self.clock.sleep(RETRY_SECONDS)
                continue
            self.node.publish_records(records)


class Cluster:
    """A mesh over zones of the same size.

    Parameters
    ----------
    places : iterable of Place
        Zones; the log stands in the first.
    vms_per_zone : int
        VMs that `start` starts in each zone.
    seed : int
        Seed of all randomness.
    decodes : bool
        Whether receivers decode the bytes of frames.
    eager_trees : int
        Trees on which updates are pushed.
    log_region : str
        Region that reads the log for all; empty if each reads it.

    Attributes
    ----------
    vm_class : type
        What `make_vm` returns.
    """

    vm_class: type[ClusterVm] = ClusterVm

    def __init__(
        self,
        places: Iterable[Place],
        vms_per_zone: int,
        seed: int = 1,
        decodes: bool = True,
        eager_trees: int = 1,
        log_region: str = "",
    ) -> None:
        self.places = list(places)
        self.vms_per_zone = vms_per_zone
        self.eager_trees = eager_trees
        self.log_region = log_region
        self.clock = VirtualClock()
        self.rng = random.Random(seed)
        self.network = MemoryNetwork(self.rng, decodes=decodes)
        self.log = MemoryLog(self.places[0], self.network.latency)
        self.vms_by_id: dict[str, ClusterVm] = {}
        # One VM in each of three zones, as an operator would list them.
        self.contacts = tuple(f"{p.availability_zone}-0:1" for p in self.places[:3])

    def __iter__(self) -> Iterator[ClusterVm]:
        return iter(list(self.vms_by_id.values()))

    async def start(self, settle_seconds: float = 120.0) -> None:
        """Start all VMs and wait until they know each other."""
        for place in self.places:
            for index in range(self.vms_per_zone):
                await self.add(place, index)
        await self.until(self.is_settled, settle_seconds)

    async def add(self, place: Place, index: int) -> ClusterVm:
        """Start a VM; an id that was used before gets a higher incarnation."""
        vm = self.make_vm(place, index)
        await vm.start()
        return vm

    def make_vm(self, place: Place, index: int) -> ClusterVm:
        """Return a VM of the mesh that has not started."""
        vm_id = f"{place.availability_zone}-{index}"
        record = VmRecord(
            vm_id=vm_id,
            region=place.region,
            availability_zone=place.availability_zone,
            address=f"{vm_id}:1",
            incarnation=int(self.clock.wall() * 1000),
            endpoints=(Endpoint(f"service-{index}", "v1", f"{vm_id}:2"),),
        )
        vm = self.vm_class(self, record, self.rng.getrandbits(32))
        self.vms_by_id[vm_id] = vm
        return vm

    async def crash(self, vm_id: str) -> ClusterVm:
        """End a VM without notice to its peers."""
        vm = self.vms_by_id.pop(vm_id)
        self.network.crash(vm.transport)
        await vm.stop()
        return vm

    async def stop(self) -> None:
        """Stop all VMs; an error in one of them is raised."""
        for vm in self:
            await vm.stop()

    def in_zone(self, availability_zone: str) -> list[ClusterVm]:
        """Return the VMs of a zone."""
        return [v for v in self if v.place.availability_zone == availability_zone]

    def zones_of(self, region: str) -> list[str]:
        """Return the names of a region's zones."""
        return [p.availability_zone for p in self.places if p.region == region]

    def publish(self, number: int, min_length: int = 0, routes: int = 1) -> None:
        """Append a ticket to the log, filled up with spaces to a length."""
        document = {
            "number": number,
            "services": {"board": {"versions": ["v1"], "current": "v1"}},
            "routes": {
                f"read-{self.rng.getrandbits(64):x}": {
                    "service": "board",
                    "path_prefix": f"/farms/{self.rng.getrandbits(64):x}",
                    "worth": number,
                }
                for _ in range(routes)
            },
        }
        self.log.append(json.dumps(document).ljust(min_length))

    def is_settled(self) -> bool:
        """Return whether all VMs have the same directory, with all of them alive."""
        vms = list(self)
        digest = vms[0].directory.digest
        if any(vm.directory.digest != digest for vm in vms):
            return False
        live = {record.vm_id for record in vms[0].directory.live()}
        return live == set(self.vms_by_id)

    def has_ticket(self, number: int) -> bool:
        """Return whether a ticket is in force on all VMs."""
        return all(vm.is_converged(number) for vm in self)

    async def until(
        self, condition: Callable[[], bool], limit: float, step: float = 0.05
    ) -> float:
        """Wait for a condition; return the virtual seconds that it took.

        Raises
        ------
        TimeoutError
            If it does not hold within `limit` virtual seconds.
        """
        start = self.clock.monotonic()
        while not condition():
            if self.clock.monotonic() - start > limit:
                raise TimeoutError(f"not within {limit} virtual seconds")
            await asyncio.sleep(step)
        return self.clock.monotonic() - start


def zones(count: int = 9, regions: int = 4) -> list[Place]:
    """Return zones spread over regions as evenly as possible."""
    return [Place(f"r{i % regions}", f"r{i % regions}z{i}") for i in range(count)]
