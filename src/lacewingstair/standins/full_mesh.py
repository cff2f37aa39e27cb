"""A mesh of whole VMs in virtual time: state, links, log reader and rollouts.

The parts of a VM are wired as in `daemon.py`. Calls are simulated: backend servers
answer by their version.
"""

import asyncio
import json
import random
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from lacewingstair.rollouts.controller import (
    PAUSE_THRESHOLD_SECONDS,
    STEP_SECONDS,
    RolloutController,
)
from lacewingstair.rollouts.marks import RollbackMark, StageMark
from lacewingstair.routing.outcomes import CallOutcome, CallResult
from lacewingstair.standins.memory_log import LogFaults, LogStreams, MemoryLogClient
from lacewingstair.standins.mesh_cluster import MESH, Cluster, ClusterVm
from lacewingstair.standins.rollout_mesh import rollout_document
from lacewingstair.ticket_log.log import TICKET_STREAM
from lacewingstair.ticket_log.options import LogOptions
from lacewingstair.ticket_log.reader import LogReader
from lacewingstair.tickets.acceptance import MeshState, TicketRecord, fold
from lacewingstair.vm.directory import Endpoint, VmRecord

CALL_SECONDS = 0.1
CALL_LATENCY_SECONDS = 0.02
FAILURE_RATE = 0.01
ENDPOINT_AGE_SECONDS = 3600.0
RETENTION_SECONDS = 2000.0
SLOTS = 20
GOOD_SERVICE = "board"
BAD_SERVICE = "desk"


@attrs.frozen
class SimulatedCall:
    """One call of a VM, with what the VM knew when it chose the version."""

    at: float
    vm_id: str
    availability_zone: str
    service: str
    version: str
    is_rolled_back: bool


class PausableLogClient(MemoryLogClient):
    """Client whose answers are read only while the VM runs."""

    def __init__(self, vm: "FullVm", streams: LogStreams, faults: LogFaults) -> None:
        super().__init__(streams, vm.clock, faults)
        self._running = vm.transport.running

    async def append(self, stream: str, value: str) -> Any:
        """Append a record and return its offset."""
        answer = await super().append(stream, value)
        await self._running.wait()
        return answer

    async def read(self, *request: Any) -> Any:
        """Return records from an offset on."""
        answer = await super().read(*request)
        await self._running.wait()
        return answer


class FullVm(ClusterVm):
    """One VM with its log reader, its rollout controller and its callers.

    Attributes
    ----------
    woke_at : float
        When the last freeze ended that was long enough to be noticed.
    """

    def __init__(self, mesh: "FullMesh", record: VmRecord, seed: int) -> None:
        super().__init__(mesh, record, seed)
        self._mesh = mesh
        self._rng = random.Random(seed + 1)
        self.woke_at = float("-inf")
        self._frozen_at = 0.0
        self.log_reader = LogReader(
            log=PausableLogClient(self, mesh.streams, mesh.log_faults(self.place)),
            writer_id=f"{MESH}/{record.vm_id}/{record.incarnation}",
            store=self.store,
            marks=self.marks,
            publish_records=self.node.publish_records,
            publish_take_back=self.node.publish_take_back,
            is_reader=self.node.is_log_reader,
            clock=self.clock,
            rng=random.Random(seed + 2),
            options=LogOptions(retention_seconds=RETENTION_SECONDS),
        )
        self.rollouts = RolloutController(
            vm_id=record.vm_id,
            availability_zone=record.availability_zone,
            store=self.store,
            marks=self.marks,
            clock=self.clock,
            rng=random.Random(seed + 3),
            transport=self.node,
            publish_stage=lambda mark: self._decide(mark, self.node.publish_stage),
            publish_rollback=lambda mark: self._decide(
                mark, self.node.publish_take_back
            ),
            slots=self._slots,
            vm_count=lambda: len(self.directory),
        )

    def runs(self) -> Iterable[Any]:
        """Return the tasks of this VM."""
        tasks = (self.node.run(), self.log_reader.run(), self.rollouts.run())
        return (*tasks, self._call_forever())

    def freeze(self) -> None:
        """Let the process do nothing until `wake`."""
        self._frozen_at = self.clock.monotonic()
        self.transport.running.clear()

    def wake(self) -> None:
        """Let the process go on."""
        now = self.clock.monotonic()
        is_frozen = not self.transport.running.is_set()
        if is_frozen and now - self._frozen_at > PAUSE_THRESHOLD_SECONDS + STEP_SECONDS:
            self.woke_at = now
        self.transport.running.set()

    def _decide(self, mark: StageMark | RollbackMark, publish: Callable) -> None:
        self._mesh.decisions.append((self.clock.monotonic(), self, mark))
        publish(mark)

    def _slots(self, service: str, version: str) -> int:
        return sum(
            endpoint.slots
            for record in self.directory.live()
            for endpoint in record.endpoints
            if (endpoint.service, endpoint.version) == (service, version)
        )

    async def _call_forever(self) -> None:
        while True:
            await self.clock.sleep(self._rng.expovariate(1 / CALL_SECONDS))
            state = self.store.state
            if state.routes:
                self._call(state, self._rng.choice(sorted(state.routes)))

    def _call(self, state: MeshState, route: str) -> None:
        service = state.routes[route].service
        version = self.rollouts.choose_version(route, service)
        is_bad = service == BAD_SERVICE and version == "v2"
        fails = is_bad or self._rng.random() < FAILURE_RATE
        result = CallResult.FAILED if fails else CallResult.OK
        latency = self._rng.uniform(0.5, 1.5) * CALL_LATENCY_SECONDS
        is_rolled_back = any(
            key.name == service and state.rollout_numbers.get(service) == key.number
            for key in self.marks.rollbacks_by_key
        )
        place = self.place.availability_zone
        now = self.clock.monotonic()
        self._mesh.calls.append(
            SimulatedCall(now, self.vm_id, place, service, version, is_rolled_back)
        )
        outcome = CallOutcome(
            route, service, version, "e:1", result, latency, ENDPOINT_AGE_SECONDS
        )
        asyncio.get_running_loop().call_later(latency, self.rollouts.record, outcome)


class FullMesh(Cluster):
    """A mesh of whole VMs and the log, which stands in the first zone.

    Attributes
    ----------
    streams : LogStreams
        The log.
    history : list of str
        Every ticket record that was ever appended, by offset.
    calls : list of SimulatedCall
        Calls of all VMs.
    decisions : list of (float, FullVm, mark)
        When and by whom each mark was decided.
    """

    vm_class = FullVm

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.streams = LogStreams(self.clock, RETENTION_SECONDS)
        self.history: list[str] = []
        self.calls: list[SimulatedCall] = []
        self.decisions: list[tuple[float, FullVm, StageMark | RollbackMark]] = []
        self._faults_by_zone: dict[str, LogFaults] = {}
        self._states = [MeshState()]

    def make_vm(self, place: Any, index: int) -> FullVm:
        """Return a VM that has not started, with endpoints of both versions."""
        vm = super().make_vm(place, index)
        vm.node.set_endpoints(
            Endpoint(service, version, f"{vm.vm_id}:2", slots=SLOTS)
            for service in (GOOD_SERVICE, BAD_SERVICE)
            for version in ("v1", "v2")
        )
        return vm

    def log_faults(self, place: Any) -> LogFaults:
        """Return the faults of the way from a zone to the log."""
        return self._faults_by_zone.setdefault(place.availability_zone, LogFaults())

    def set_log_down(self, is_down: bool, zones: Iterable[str] | None = None) -> None:
        """Start or end an outage of the log for some zones, or for all."""
        for place in self.places:
            if zones is None or place.availability_zone in zones:
                self.log_faults(place).is_down = is_down

    def append(self, value: str) -> int:
        """Append a record to the ticket stream."""
        self.history.append(value)
        return self.streams.append(TICKET_STREAM, value)

    def lose_records(self, next_offset: int) -> None:
        """Lose the records from an offset on, as a log restored from a backup does."""
        self.streams.truncate(TICKET_STREAM, next_offset)
        del self.history[next_offset:]
        del self._states[next_offset + 1 :]

    def publish(self, number: int, **sections: Any) -> int:
        """Append a ticket; without sections one that changes a route."""
        if not sections:
            route = {"service": GOOD_SERVICE, "path_prefix": f"/{number}"}
            sections = {"routes": {f"read-{number % 3}": route}}
        return self.append(json.dumps({"number": number, **sections}))

    def publish_first(self, start: float, end_by: float) -> int:
        """Append ticket 1, with a good and a bad rollout; times are virtual seconds."""
        names = (GOOD_SERVICE, BAD_SERVICE)
        return self.publish(
            1,
            services={n: {"versions": ["v1", "v2"], "current": "v1"} for n in names},
            routes={n: {"service": n, "path_prefix": f"/{n}"} for n in names},
            rollouts={n: rollout_document(start, end_by, service=n) for n in names},
        )

    def reference(self, next_offset: int | None = None) -> MeshState:
        """Return the fold of the log's records before an offset, or of all."""
        while len(self._states) <= len(self.history):
            offset = len(self._states) - 1
            record = TicketRecord(offset, self.history[offset])
            self._states.append(fold(self._states[-1], record)[0])
        return self._states[-1 if next_offset is None else next_offset]

    def digests(self) -> set[tuple[str, int, int, int]]:
        """Return the digests of all VMs; one when all VMs are equal."""
        return {
            (
                vm.store.state.digest,
                vm.store.state.next_offset,
                vm.directory.digest,
                vm.marks.digest(),
            )
            for vm in self
        }

    async def restart(self, vm_id: str) -> FullVm:
        """Kill a VM and start it again with nothing."""
        place, index = self.vms_by_id[vm_id].place, int(vm_id.rsplit("-", 1)[1])
        await self.crash(vm_id)
        return await self.add(place, index)
