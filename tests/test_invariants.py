"""Requirements R1 to R4 and R10 for whole VMs together, under failure."""

import asyncio

import attrs
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lacewingstair.marks import RolloutKey
from lacewingstair.platform.log import TICKET_STREAM
from lacewingstair.rollouts import SETTLE_SECONDS
from lacewingstair.standins.full_mesh import BAD_SERVICE, GOOD_SERVICE, FullMesh
from lacewingstair.standins.mesh_cluster import zones
from lacewingstair.standins.virtual_time import run_virtual

GOOD = RolloutKey(GOOD_SERVICE, 1)
BAD = RolloutKey(BAD_SERVICE, 1)
IN_FORCE_SECONDS = 5.0
SETTLED_SECONDS = 60.0
START = 30.0
END = 400.0


class Monitors:
    """Checks of every change on every VM; faults are collected."""

    def __init__(self, mesh):
        self.mesh = mesh
        self.faults = []
        self._calls = self._decisions = 0
        make_vm = mesh.make_vm

        def watched(place, index):
            vm = make_vm(place, index)
            self.watch(vm)
            return vm

        mesh.make_vm = watched

    def watch(self, vm):
        vm.store.subscribe(lambda before, after: self._on_state(vm, before, after))
        merge_stage, prune = vm.marks.merge_stage, vm.marks.prune
        taken = set()

        def check_marks():
            held = set(vm.marks.take_backs_by_key)
            numbers = vm.store.state.rollout_numbers
            taken.update(held)
            gone = {k for k in taken - held if numbers.get(k.name) == k.number}
            self._expect(not gone, f"R4 {vm.vm_id} forgot the take-back of {gone}")

        def merged(mark):
            is_news = merge_stage(mark)
            check_marks()
            return is_news

        def pruned(*args):
            check_marks()
            prune(*args)
            check_marks()

        vm.marks.merge_stage, vm.marks.prune = merged, pruned

    def _expect(self, holds, fault):
        if not holds:
            self.faults.append(f"{self.mesh.clock.monotonic():.2f} {fault}")

    def _on_state(self, vm, before, after):
        name = vm.vm_id
        is_forward = before.number <= after.number
        is_forward = is_forward and before.next_offset < after.next_offset
        self._expect(is_forward, f"R1 {name} went back from {before.number}")
        missing = {r.service for r in after.routes.values()} - after.services.keys()
        self._expect(not missing, f"R2 {name} lacks {missing}")
        expected = self.mesh.reference(after.next_offset)
        self._expect(after == expected, f"R3/R10 {name} differs at {after.next_offset}")

    def check(self):
        """Check what was noted since the last time, and raise on any fault."""
        for call in self.mesh.calls[self._calls :]:
            is_new = call.is_taken_back and call.version == "v2"
            self._expect(not is_new, f"R4 a call after the take-back: {call}")
        self._calls = len(self.mesh.calls)
        for at, vm, mark in self.mesh.decisions[self._decisions :]:
            is_late = at < vm.woke_at + SETTLE_SECONDS
            self._expect(not is_late, f"R4 {vm.vm_id} woke and decided {mark}")
        self._decisions = len(self.mesh.decisions)
        for vm in self.mesh:
            is_good_kept = not vm.marks.is_taken_back(GOOD)
            self._expect(is_good_kept, f"R4 {vm.vm_id} took the good version back")
        assert self.faults == [], self.faults[:5]


class World:
    """A mesh with its monitors, and the faults that a schedule asks for."""

    def __init__(self, seed, vms_per_zone=3):
        self.mesh = FullMesh(zones(3, 2), vms_per_zone, seed, decodes=False)
        self.monitors = Monitors(self.mesh)
        self.number = 1
        self.down = []

    async def start(self):
        await self.mesh.start()
        self.mesh.publish_first(START, END)
        await self.mesh.until(lambda: self.mesh.has_ticket(1), IN_FORCE_SECONDS)

    def pick(self, n):
        vms = list(self.mesh)
        return vms[n % len(vms)]

    async def apply(self, step):
        await getattr(self, step.action)(step.pick)
        await asyncio.sleep(step.seconds)
        self.monitors.check()

    async def kill(self, n):
        vm = self.pick(n)
        if len(list(self.mesh)) > 3:
            await self.mesh.crash(vm.vm_id)
            self.down.append((vm.place, int(vm.vm_id.rsplit("-", 1)[1])))

    async def start_killed(self, n):
        while self.down:
            await self.mesh.add(*self.down.pop())

    async def restart(self, n):
        await self.mesh.restart(self.pick(n).vm_id)

    async def restart_zone(self, n):
        place = self.mesh.places[n % len(self.mesh.places)]
        for vm in self.mesh.in_zone(place.availability_zone):
            await self.mesh.restart(vm.vm_id)

    async def freeze(self, n):
        self.pick(n).freeze()

    async def wake(self, n):
        for vm in self.mesh:
            vm.wake()

    async def cut(self, n):
        names = [place.availability_zone for place in self.mesh.places]
        apart = names[n % len(names)]
        self.mesh.network.cut([apart], [name for name in names if name != apart])
        if n % 2 and apart != names[0]:
            self.mesh.set_log_down(True, [apart])

    async def heal(self, n):
        self.mesh.network.heal()

    async def silence(self, n):
        chosen = self.mesh.rng
        self.mesh.network.silence(lambda one, other: chosen.random() < 0.5)

    async def log_down(self, n):
        self.mesh.set_log_down(True)

    async def log_up(self, n):
        self.mesh.set_log_down(False)

    async def lose_answers(self, n):
        for place in self.mesh.places:
            self.mesh.log_faults(place).lost_answers = 1 + n % 3

    async def expire(self, n):
        """Drop the records that a checkpoint covers."""
        offsets = [vm.log_reader.status.checkpoint_offset for vm in self.mesh]
        self.mesh.streams.expire(TICKET_STREAM, max(0, *offsets))

    async def publish(self, n):
        self.number += 1
        self.mesh.publish(self.number)

    async def race(self, n):
        self.number += 1
        for prefix in ("/one", "/other"):
            route = {"service": GOOD_SERVICE, "path_prefix": prefix}
            self.mesh.publish(self.number, routes={"raced": route})

    async def bad_ticket(self, n):
        good = {"service": GOOD_SERVICE, "path_prefix": "/bad"}
        missing = {"service": "missing", "path_prefix": "/bad"}
        number = self.number + 1
        self.mesh.publish(number, routes={"a": good, "b": missing})
        self.mesh.publish(number, services={GOOD_SERVICE: None})
        self.mesh.append("{" * (1 + n % 3))

    async def end_faults(self):
        await self.wake(0)
        await self.heal(0)
        await self.log_up(0)
        await self.start_killed(0)

    async def calm(self, n):
        """End all faults; a ticket is then in force everywhere in time (R10)."""
        await self.end_faults()
        await asyncio.sleep(SETTLED_SECONDS)
        self.number += 1
        self.mesh.publish(self.number)
        await self.in_force_everywhere()
        await self.mesh.until(lambda: len(self.mesh.digests()) == 1, SETTLED_SECONDS)
        self.monitors.check()

    async def in_force_everywhere(self):
        expected = self.mesh.reference().number
        await self.mesh.until(
            lambda: self.mesh.has_ticket(expected), IN_FORCE_SECONDS, 0.01
        )


ACTIONS = (
    *("kill", "start_killed", "restart", "restart_zone", "freeze", "wake", "cut"),
    *("heal", "silence", "log_down", "log_up", "lose_answers", "expire"),
    *("publish", "publish", "race", "bad_ticket", "calm"),
)


@attrs.frozen
class Step:
    """One fault or change, and the time until the next."""

    action: str
    pick: int
    seconds: float


schedule_steps = st.builds(
    Step,
    action=st.sampled_from(ACTIONS),
    pick=st.integers(0, 11),
    seconds=st.sampled_from((0.0, 0.3, 2.0, 8.0, 25.0)),
)


def run_schedule(schedule, seed):
    async def main():
        world = World(seed)
        await world.start()
        for step in schedule:
            await world.apply(step)
        await world.calm(0)
        assert all(vm.marks.is_taken_back(BAD) for vm in world.mesh)
        await world.mesh.stop()
        world.monitors.check()

    run_virtual(main())


@settings(max_examples=12, suppress_health_check=list(HealthCheck))
@given(st.lists(schedule_steps, min_size=5, max_size=15), st.integers(0, 1 << 16))
def test_all_requirements_hold_under_any_faults(schedule, seed):
    run_schedule(schedule, seed)


def test_a_vm_frozen_before_a_rollout_starts_decides_nothing_when_it_wakes():
    # Guards against marks by a VM that has not yet read what others have decided.
    run_schedule([Step("freeze", 8, 25.0), Step("wake", 0, 2.0)], 28)
