"""Several rollout controllers in one process and in virtual time.

It carries evidence and marks between them with delays, losses and partitions, and is
driven by a plain queue of events, so that thousands of rollouts can be simulated.
"""

import heapq
import json
import random
from collections.abc import Callable, Mapping
from datetime import UTC, datetime

import attrs

from lacewingstair.rollouts.controller import STEP_SECONDS, RolloutController
from lacewingstair.rollouts.evidence import EvidenceReport
from lacewingstair.rollouts.marks import Marks, RollbackMark, RolloutKey, StageMark
from lacewingstair.routing.outcomes import CallOutcome, CallResult
from lacewingstair.standins.virtual_time import START_WALL_SECONDS
from lacewingstair.tickets.acceptance import TicketRecord
from lacewingstair.tickets.state_store import StateStore

REPAIR_SECONDS = 1.0


class EventQueue:
    """Events in the order of their virtual time in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._entries: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Run an action at a time, or now when the time has passed."""
        self._count += 1
        heapq.heappush(self._entries, (max(time, self.now), self._count, action))

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        self.at(self.now + seconds, action)

    def run_until(self, end: float) -> None:
        """Run all events up to a time."""
        while self._entries and self._entries[0][0] <= end:
            self.now, _, action = heapq.heappop(self._entries)
            action()
        self.now = end


@attrs.define
class SimulatedClock:
    """Clock of one VM, whose wall clock may be off by some seconds."""

    queue: EventQueue
    wall_error: float = 0.0

    def monotonic(self) -> float:
        """Return virtual seconds."""
        return self.queue.now

    def wall(self) -> float:
        """Return virtual seconds since the Unix epoch as this VM sees them."""
        return START_WALL_SECONDS + self.queue.now + self.wall_error

    async def sleep(self, seconds: float) -> None:
        """Not available: the queue drives the controllers."""
        raise NotImplementedError(f"sleep of {seconds} s in an event queue")


@attrs.define
class SimulatedVm:
    """One VM with its controller; also its evidence transport."""

    mesh: "RolloutMesh"
    vm_id: str
    availability_zone: str
    clock: SimulatedClock
    store: StateStore = attrs.field(factory=StateStore)
    marks: Marks = attrs.field(factory=Marks)
    is_alive: bool = True
    is_paused: bool = False
    controller: RolloutController = attrs.field(init=False)
    reports: list[EvidenceReport] = attrs.field(factory=list)
    listener: Callable[[EvidenceReport], None] = attrs.field(init=False)
    child_lost: Callable[[str], None] = attrs.field(init=False)

    def send_evidence(self, report: EvidenceReport) -> None:
        """Send a report to the parent, or a zone's totals to the other roots."""
        self.reports.append(report)
        self.mesh.carry(self, report)

    def is_zone_root(self) -> bool:
        """Return whether this VM is the first live one of its zone."""
        return self.mesh.root(self.availability_zone) is self

    def on_evidence(self, listener: Callable[[EvidenceReport], None]) -> None:
        """Set the receiver of reports."""
        self.listener = listener

    def on_child_lost(self, listener: Callable[[str], None]) -> None:
        """Set the receiver of lost children."""
        self.child_lost = listener


class RolloutMesh:
    """Controllers of several zones.

    Parameters
    ----------
    regions_by_zone : mapping of str to str
        Zones and their regions.
    vms_per_zone : int
        VMs of each zone.
    rng : random.Random
        Source of all randomness.
    slots : callable
        Returns the slots of a service's version.
    evidence_delay : float
        Seconds added to each report.
    evidence_loss : float
        Probability that a report is lost.
    wall_errors : mapping of str to float
        Clock errors by VM id, in seconds.
    zone_seconds, region_seconds : float
        One-way latency within a region and between regions.
    has_steps : bool
        Whether the controllers run; without, only marks are carried.
    """

    def __init__(
        self,
        regions_by_zone: Mapping[str, str],
        vms_per_zone: int,
        rng: random.Random,
        *,
        slots: Callable[[str, str], int] = lambda service, version: 60,
        evidence_delay: float = 0.0,
        evidence_loss: float = 0.0,
        wall_errors: Mapping[str, float] | None = None,
        zone_seconds: float = 0.002,
        region_seconds: float = 0.02,
        has_steps: bool = True,
    ) -> None:
        self.queue = EventQueue()
        self.rng = rng
        self.regions_by_zone = dict(regions_by_zone)
        self.cut: set[frozenset[str]] = set()
        self.parent_by_vm_id: dict[str, str] = {}
        self.evidence_loss = evidence_loss
        self._evidence_delay = evidence_delay
        self._zone_seconds = zone_seconds
        self._region_seconds = region_seconds
        self._has_steps = has_steps
        self._offset = 0
        self._repaired = (0, frozenset())
        self.vms_by_id: dict[str, SimulatedVm] = {}
        for zone in regions_by_zone:
            for index in range(vms_per_zone):
                vm_id = f"{zone}-vm{index}"
                error = (wall_errors or {}).get(vm_id, 0.0)
                self._add_vm(vm_id, zone, error, slots)
        self.queue.after(REPAIR_SECONDS, self._repair)

    def _add_vm(
        self, vm_id: str, zone: str, error: float, slots: Callable[[str, str], int]
    ) -> None:
        vm = SimulatedVm(self, vm_id, zone, SimulatedClock(self.queue, error))
        vm.controller = RolloutController(
            vm_id=vm_id,
            availability_zone=zone,
            store=vm.store,
            marks=vm.marks,
            clock=vm.clock,
            rng=random.Random(self.rng.random()),
            transport=vm,
            publish_stage=lambda mark: self.publish_mark(vm, mark),
            publish_rollback=lambda mark: self.publish_mark(vm, mark),
            slots=slots,
            vm_count=lambda: len(self.vms_by_id),
        )
        self.vms_by_id[vm_id] = vm
        if self._has_steps:
            delay = self.rng.random() * STEP_SECONDS
            self.queue.after(delay, lambda: self._step(vm))

    def vms(self, zone: str | None = None) -> list[SimulatedVm]:
        """Return the live VMs, of one zone or of all."""
        return [
            vm
            for vm in self.vms_by_id.values()
            if vm.is_alive and zone in (None, vm.availability_zone)
        ]

    def root(self, zone: str) -> SimulatedVm | None:
        """Return the root of a zone."""
        return next(iter(self.vms(zone)), None)

    def publish(self, **sections: object) -> int:
        """Put a ticket in force on all VMs at once and return its number."""
        self._offset += 1
        text = json.dumps({"number": self._offset, **sections})
        record = TicketRecord(self._offset - 1, text)
        for vm in self.vms():
            vm.store.apply([record])
        return self._offset

    def kill(self, vm_id: str) -> None:
        """Stop a VM for good."""
        vm = self.vms_by_id[vm_id]
        vm.is_alive = False
        for other in self.vms(vm.availability_zone):
            other.child_lost(vm_id)

    def move_child(self, vm_id: str, parent: str) -> None:
        """Give a VM another parent."""
        self.parent_by_vm_id[vm_id] = parent

    def is_connected(self, zone: str, other: str) -> bool:
        """Return whether two zones reach each other."""
        return frozenset((zone, other)) not in self.cut

    def carry(self, sender: SimulatedVm, report: EvidenceReport) -> None:
        """Deliver a report to those that it is for."""
        if report.is_zone_total:
            zones = [z for z in self.regions_by_zone if z != sender.availability_zone]
            roots = (self.root(zone) for zone in zones)
            receivers = [root for root in roots if root is not None]
        else:
            parent = self.parent_by_vm_id.get(sender.vm_id)
            held = self.vms_by_id[parent] if parent else None
            root = held or self.root(sender.availability_zone)
            receivers = [root] if root is not None and root is not sender else []
        for receiver in receivers:
            if self.rng.random() >= self.evidence_loss:
                self._deliver(
                    sender,
                    receiver,
                    self._evidence_delay,
                    lambda vm=receiver: vm.listener(report),
                )

    def publish_mark(self, sender: SimulatedVm, mark: StageMark | RollbackMark) -> None:
        """Merge a mark and send it to all VMs that are reached."""
        for vm in self.vms():
            if vm is sender:
                _merge(vm, mark)
            else:
                self._deliver(sender, vm, 0.0, lambda vm=vm: _merge(vm, mark))

    def _deliver(
        self,
        sender: SimulatedVm,
        receiver: SimulatedVm,
        delay: float,
        action: Callable[[], None],
    ) -> None:
        here, there = sender.availability_zone, receiver.availability_zone
        is_far = self.regions_by_zone[here] != self.regions_by_zone[there]
        delay += self._region_seconds if is_far else self._zone_seconds

        def arrive() -> None:
            if not receiver.is_alive or not self.is_connected(here, there):
                return
            if receiver.is_paused:
                # The frame waits in the connection of the paused process.
                self.queue.after(STEP_SECONDS / 5, arrive)
                return
            action()

        self.queue.after(delay, arrive)

    def _step(self, vm: SimulatedVm) -> None:
        if not vm.is_alive:
            return
        if not vm.is_paused:
            vm.controller.step()
        self.queue.after(STEP_SECONDS, lambda: self._step(vm))

    def _repair(self) -> None:
        """Let VMs with different marks exchange them, as heartbeats do."""
        self.queue.after(REPAIR_SECONDS, self._repair)
        known = (sum(vm.marks.version for vm in self.vms()), frozenset(self.cut))
        if known == self._repaired:
            return
        self._repaired = known
        roots = [r for zone in self.regions_by_zone if (r := self.root(zone))]
        for root in roots:
            for vm in self.vms(root.availability_zone):
                _exchange(root, vm)
        for root in roots:
            for other in roots:
                if self.is_connected(root.availability_zone, other.availability_zone):
                    _exchange(root, other)


@attrs.frozen
class Answer:
    """How a simulated backend server answers a call."""

    result: CallResult = CallResult.OK
    latency_seconds: float = 0.02


class SimulatedCalls:
    """Callers of all VMs of a mesh, at random times.

    Parameters
    ----------
    mesh : RolloutMesh
        Whose controllers choose versions and take outcomes.
    rate : float
        Calls per second of the whole mesh.
    answer : callable
        Returns the answer of a version on a route at a time.
    endpoint_age : float
        Age of the endpoints, in seconds.
    """

    def __init__(
        self,
        mesh: RolloutMesh,
        rate: float,
        answer: Callable[[str, str, float], Answer],
        endpoint_age: float = 3600.0,
    ) -> None:
        self._mesh = mesh
        self._mean_seconds = len(mesh.vms_by_id) / rate
        self._answer = answer
        self._endpoint_age = endpoint_age
        self.times_by_version: dict[str, list[tuple[float, str]]] = {}
        for vm in mesh.vms():
            self._schedule(vm)

    def count(self, version: str, since: float = 0.0, zone: str | None = None) -> int:
        """Return the calls that a version got after a time, in a zone or in all."""
        return sum(
            at > since and zone in (None, place)
            for at, place in self.times_by_version.get(version, ())
        )

    def _schedule(self, vm: SimulatedVm) -> None:
        delay = self._mesh.rng.expovariate(1.0 / self._mean_seconds)
        self._mesh.queue.after(delay, lambda: self._call(vm))

    def _call(self, vm: SimulatedVm) -> None:
        if not vm.is_alive:
            return
        if not vm.is_paused:
            self._dispatch(vm)
        self._schedule(vm)

    def _dispatch(self, vm: SimulatedVm) -> None:
        queue = self._mesh.queue
        route = self._mesh.rng.choice(sorted(vm.store.state.routes))
        version = vm.controller.choose_version(route, "board")
        answer = self._answer(version, route, queue.now)
        place = (queue.now, vm.availability_zone)
        self.times_by_version.setdefault(version, []).append(place)
        outcome = CallOutcome(
            route,
            "board",
            version,
            f"{version}:1",
            answer.result,
            answer.latency_seconds,
            self._endpoint_age,
        )
        queue.after(answer.latency_seconds, lambda: vm.controller.record(outcome))


def rollout_document(
    start: float, end_by: float, **changes: object
) -> dict[str, object]:
    """Return a rollout of ``board`` from v1 to v2 for a ticket; times are virtual."""
    times = {
        name: datetime.fromtimestamp(START_WALL_SECONDS + value, UTC).isoformat()
        for name, value in (("start", start), ("end_by", end_by))
    }
    versions = {"from_version": "v1", "to_version": "v2"}
    return {"service": "board", **versions, **times, **changes}


def first_sections(
    start: float, end_by: float, routes: tuple[str, ...] = ("read",), **changes: object
) -> dict[str, object]:
    """Return a ticket's sections with one service, its routes and the rollout ``move``.

    Times are virtual seconds.
    """
    return {
        "services": {"board": {"versions": ["v1", "v2"], "current": "v1"}},
        "routes": {
            route: {"service": "board", "path_prefix": f"/{route}"} for route in routes
        },
        "rollouts": {"move": rollout_document(start, end_by, **changes)},
    }


def key_of(vm: SimulatedVm, name: str = "move") -> RolloutKey:
    """Return the key of a rollout in force."""
    return RolloutKey(name, vm.store.state.rollout_numbers[name])


def _merge(vm: SimulatedVm, mark: StageMark | RollbackMark) -> None:
    if isinstance(mark, StageMark):
        vm.marks.merge_stage(mark)
    else:
        vm.marks.merge_rollback(mark)


def _exchange(one: SimulatedVm, other: SimulatedVm) -> None:
    if one is other or one.is_paused or other.is_paused:
        return
    for giver, taker in ((one, other), (other, one)):
        for mark in list(giver.marks.stage_marks_by_scope.values()):
            taker.marks.merge_stage(mark)
        for mark in list(giver.marks.rollbacks_by_key.values()):
            taker.marks.merge_rollback(mark)
