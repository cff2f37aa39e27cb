"""Calls of many VMs during a rollout, in virtual time, on the real coordinators."""

import asyncio
import math
import random

import attrs
from result import Ok

from lacewingstair.staged_rollouts.coordinator import RolloutCoordinator
from lacewingstair.staged_rollouts.policy import Order, Stage, TrialAllowance
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual

SERVICE = "board"
# Bound on the calls of a bad version: a share of all calls during the order, and 50.
ALLOWED_SHARE = 0.1
ALLOWED_EXTRA_CALLS = 50
# The 50th bad call ends a version within this time.
MAX_BAD_CALLS = 50
ROLLBACK_SECONDS = 5.0
OLD_FAILURES = 0.004
LINK_SECONDS = 0.02
LATENCY_SPREAD = 0.8
SPEEDS = (0.6, 1.0, 1.4)
ROUTES = ("view", "other")


@attrs.define
class Load:
    """What happens during a rollout.

    Parameters
    ----------
    kind : str
        How the new version is bad: good, errors, slow, under_load, one_class or late.
    share, factor : float
        Share of the calls of a bad version that are bad, and by what they are slower.
    late_seconds : float
        From when on a version of the kind late is bad.
    calls_per_second, median_ms : float
        Rate of all calls, and their median time at a backend server.
    vms_per_version, slots : int
        Backend servers of each version, and the calls that each runs at once.
    duration_seconds : float
        Duration of the order.
    patience_ms : float
        Time after which callers give up.
    impatient_share, impatient_ms : float
        Share of the callers that give up sooner, and when.
    old_slow_until, old_slow_factor : float
        Until when the old version is slow, and by what.
    restart_every_seconds : float
        Interval at which one VM after the other loses its state; 0 for never.
    second_order_at : float
        When a third version is ordered, which no VM has; 0 for never.
    burst : tuple of float
        Beginning, end and factor of a burst of calls.
    """

    kind: str = "good"
    share: float = 0.5
    factor: float = 8.0
    late_seconds: float = 3.0
    calls_per_second: float = 340.0
    median_ms: float = 120.0
    vms_per_version: int = 6
    slots: int = 18
    duration_seconds: float = 16.0
    patience_ms: float = 2500.0
    impatient_share: float = 0.0
    impatient_ms: float = math.inf
    old_slow_until: float = 0.0
    old_slow_factor: float = 5.0
    restart_every_seconds: float = 0.0
    second_order_at: float = 0.0
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)


@attrs.define
class Result:
    """Outcome of a rollout under a load."""

    stage: Stage = Stage.TRIAL
    decided_at: float = math.inf
    calls: int = 0
    new_calls: int = 0
    bad_calls: int = 0
    late_calls: int = 0

    @property
    def allowed_calls(self) -> float:
        """Calls that a bad version may get."""
        return ALLOWED_SHARE * self.calls + ALLOWED_EXTRA_CALLS


class _Simulation:
    def __init__(self, load, seed):
        self.load, self.rng = load, random.Random(seed)
        self.clock = VirtualClock()
        self.result = Result()
        self.final = None
        self.incarnation = 0
        self.tasks = set()
        self.running_by_vm_id = {}
        self.bad_limit_at = math.inf
        self.speed_by_vm_id = {}
        self.version_by_vm_id = {}
        for index in range(load.vms_per_version):
            for prefix, version in (("a", "v1"), ("b", "v2")):
                vm_id = f"{prefix}{index}"
                self.version_by_vm_id[vm_id] = version
                self.speed_by_vm_id[vm_id] = SPEEDS[index % len(SPEEDS)]
                self.running_by_vm_id[vm_id] = 0
        self.order = Order(SERVICE, "v2", load.duration_seconds, 7)
        self.by_vm_id = {}
        self.run_tasks = {}

    def start(self, vm_id):
        async def write(order, stage):
            await self.clock.sleep(0.01)
            if self.final is None and stage.is_final and order is self.order:
                self.final = stage
            return Ok(self.final or stage)

        def send(method):
            return lambda message: self.broadcast(vm_id, method, message)

        self.incarnation += 1
        coordinator = RolloutCoordinator(
            vm_id,
            self.incarnation,
            lambda: list(self.version_by_vm_id),
            send("apply_mark"),
            send("apply_evidence"),
            write,
            self.clock,
            random.Random(self.rng.random()),
            TrialAllowance(ALLOWED_SHARE, ALLOWED_EXTRA_CALLS),
        )
        self.by_vm_id[vm_id] = coordinator
        self.run_tasks[vm_id] = asyncio.create_task(coordinator.run())
        return coordinator

    def restart(self, vm_id):
        self.run_tasks[vm_id].cancel()
        other = next(v for v in self.by_vm_id if v != vm_id)
        order = self.by_vm_id[other].get(SERVICE).order
        coordinator = self.start(vm_id)
        coordinator.apply_order(order)
        for mark in self.by_vm_id[other].marks():
            coordinator.apply_mark(mark)

    def broadcast(self, sender, method, message):
        async def deliver():
            await self.clock.sleep(LINK_SECONDS)
            for vm_id, coordinator in list(self.by_vm_id.items()):
                if vm_id != sender:
                    getattr(coordinator, method)(message)

        self.spawn(deliver())

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def choose(self):
        caller = self.by_vm_id[self.rng.choice(list(self.by_vm_id))]
        wants_new = caller.selects_new_version(SERVICE)
        for wanted in (wants_new, False):
            candidates = [
                vm_id
                for vm_id, version in self.version_by_vm_id.items()
                if caller.allows(SERVICE, vm_id, version, wanted)
            ]
            if candidates:
                return min(
                    self.rng.sample(candidates, min(2, len(candidates))),
                    key=self.running_by_vm_id.get,
                )
        return None

    async def call(self):
        vm_id = self.choose()
        if vm_id is None:
            return
        load, now = self.load, self.clock.monotonic()
        version = self.version_by_vm_id[vm_id]
        route = ROUTES[self.rng.random() < 0.3]
        is_in_order = now <= load.duration_seconds
        self.result.calls += is_in_order
        self.running_by_vm_id[vm_id] += 1
        median_ms = load.median_ms / self.speed_by_vm_id[vm_id]
        ms = self.rng.lognormvariate(math.log(median_ms), LATENCY_SPREAD)
        is_bad = self.rng.random() < OLD_FAILURES
        if version == "v2":
            self.result.new_calls += is_in_order
            self.result.late_calls += now > self.bad_limit_at
            is_bad, ms = self.spoil(vm_id, route, now, is_bad, ms)
        elif now < load.old_slow_until:
            ms *= load.old_slow_factor
        is_impatient = self.rng.random() < load.impatient_share
        patience = load.impatient_ms if is_impatient else load.patience_ms
        await self.clock.sleep(min(ms, patience) / 1000)
        self.running_by_vm_id[vm_id] -= 1
        gate = self.by_vm_id[vm_id]
        if ms > patience:
            gate.record_abandoned_call(SERVICE, version, route, patience)
        else:
            gate.record_call(SERVICE, version, route, is_bad, ms)

    def spoil(self, vm_id, route, now, is_bad, ms):
        load = self.load
        is_affected = self.rng.random() < load.share
        match load.kind:
            case "slow" if is_affected:
                self.count_bad(now)
                return is_bad, ms * load.factor
            case "good" | "slow":
                return is_bad, ms
            case "one_class":
                is_affected = is_affected and route == ROUTES[1]
            case "under_load":
                is_full = 2 * self.running_by_vm_id[vm_id] > load.slots
                is_affected = is_affected and is_full
            case "late":
                is_affected = is_affected and now > load.late_seconds
        if is_affected:
            self.count_bad(now)
        return is_bad or is_affected, ms

    def count_bad(self, now):
        self.result.bad_calls += 1
        if self.result.bad_calls == MAX_BAD_CALLS:
            self.bad_limit_at = now + ROLLBACK_SECONDS

    async def arrivals(self):
        begin, end, factor = self.load.burst
        while True:
            rate = self.load.calls_per_second
            if begin <= self.clock.monotonic() < end:
                rate *= factor
            await self.clock.sleep(self.rng.expovariate(rate))
            self.spawn(self.call())

    async def restarts(self):
        while self.load.restart_every_seconds:
            for vm_id in sorted(self.version_by_vm_id):
                await self.clock.sleep(self.load.restart_every_seconds)
                self.restart(vm_id)

    async def second_order(self):
        if self.load.second_order_at:
            await self.clock.sleep(self.load.second_order_at)
            for coordinator in self.by_vm_id.values():
                coordinator.apply_order(Order(SERVICE, "v3", 16.0, 9))

    async def main(self):
        for vm_id in self.version_by_vm_id:
            self.start(vm_id).apply_order(self.order)
        self.spawn(self.arrivals())
        self.spawn(self.restarts())
        self.spawn(self.second_order())
        while self.clock.monotonic() < self.load.duration_seconds:
            await self.clock.sleep(0.1)
            if self.final is not None and self.result.decided_at == math.inf:
                self.result.decided_at = self.clock.monotonic()
        self.result.stage = self.final or Stage.TRIAL
        for task in (*self.tasks, *self.run_tasks.values()):
            task.cancel()
        return self.result


def simulate(load, seed):
    """Return the result of a rollout under a load."""
    return run_virtual(_Simulation(load, seed).main())
