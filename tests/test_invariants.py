"""Requirements R1 to R4 and R10 for whole VMs together, under failure."""

import asyncio
import random
import unittest.mock

import attrs
import pytest
from aiohttp.streams import StreamReader
from aiohttp.test_utils import make_mocked_request
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from loguru import logger

from lacewingstair.backend_server.pool import ConnectionPool
from lacewingstair.caller.messages.headers import OUTCOME, OUTCOME_NOT_RUN
from lacewingstair.caller.server import CallServer
from lacewingstair.rollouts.controller import CATCH_UP_SECONDS
from lacewingstair.rollouts.marks import RollbackMark, RolloutKey
from lacewingstair.standins.full_mesh import BAD_SERVICE, GOOD_SERVICE, FullMesh, FullVm
from lacewingstair.standins.memory_server import MemoryServer
from lacewingstair.standins.mesh_cluster import zones
from lacewingstair.standins.virtual_time import run_virtual
from lacewingstair.ticket_log.log import TICKET_STREAM
from lacewingstair.tickets.acceptance import MeshState
from lacewingstair.tickets.state_store import StateStore
from lacewingstair.vm.directory import VmStatus

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
        self.has_one_history = True
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
            held = set(vm.marks.rollbacks_by_key)
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
        is_forward = is_forward and before.next_offset <= after.next_offset
        self._expect(is_forward, f"R1 {name} went back from {before.number}")
        missing = {r.service for r in after.routes.values()} - after.services.keys()
        self._expect(not missing, f"R2 {name} lacks {missing}")
        if not self.has_one_history:
            return
        expected = self.mesh.reference(after.next_offset)
        self._expect(after == expected, f"R3/R10 {name} differs at {after.next_offset}")

    def check(self):
        """Check what was noted since the last time, and raise on any fault."""
        for call in self.mesh.calls[self._calls :]:
            is_new = call.is_rolled_back and call.version == "v2"
            self._expect(not is_new, f"R4 a call after the take-back: {call}")
        self._calls = len(self.mesh.calls)
        for at, vm, mark in self.mesh.decisions[self._decisions :]:
            is_late = at < vm.woke_at + CATCH_UP_SECONDS
            self._expect(not is_late, f"R4 {vm.vm_id} woke and decided {mark}")
        self._decisions = len(self.mesh.decisions)
        for vm in self.mesh:
            is_good_kept = not vm.marks.is_rolled_back(GOOD)
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
        assert all(vm.marks.is_rolled_back(BAD) for vm in world.mesh)
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


def in_world(**options):
    """Run a test coroutine on a mesh with ticket 1 in force, under the monitors."""

    def decorate(scenario):
        def run():
            async def main():
                world = World(seed=7, **options)
                await world.start()
                await scenario(world, world.mesh)
                await world.mesh.stop()
                world.monitors.check()

            run_virtual(main())

        run.__name__ = scenario.__name__
        return run

    return decorate


@in_world()
async def test_a_bad_version_gets_few_calls_and_none_soon_after_its_faults_show(
    world, mesh
):
    await asyncio.sleep(START + 60.0)
    found = [
        (at, vm) for at, vm, mark in mesh.decisions if isinstance(mark, RollbackMark)
    ]
    taken_at, decider = min(found, key=lambda entry: entry[0])
    zone = decider.place.availability_zone
    calls = [call for call in mesh.calls if call.service == BAD_SERVICE]
    bad = [call for call in calls if call.version == "v2"]
    assert bad and len(bad) < 0.02 * len(calls)
    assert all(c.at <= taken_at + 1.0 for c in bad if c.availability_zone == zone)
    assert all(c.at <= taken_at + 3.0 for c in bad)
    assert all(vm.marks.is_rolled_back(BAD) for vm in mesh)
    good = [call for call in mesh.calls if call.service == GOOD_SERVICE]
    assert any(call.version == "v2" for call in good)


# With delays between reads of up to 10 s it took 6 s with seed 28.
@pytest.mark.parametrize("seed", [0, 1, 28])
def test_a_ticket_of_an_outage_is_in_force_soon_after_the_log_answers_again(seed):
    async def main():
        world = World(seed)
        await world.start()
        await asyncio.sleep(10.0)
        world.mesh.set_log_down(True)
        await asyncio.sleep(60.0)
        await world.publish(0)
        world.mesh.set_log_down(False)
        await world.in_force_everywhere()
        await world.mesh.stop()
        world.monitors.check()

    run_virtual(main())


class OneBackendServer:
    """Calls to a VM that end at one backend server in memory."""

    def __init__(self, vm):
        self.backend_server = MemoryServer()
        self._calls = CallServer(
            vm.store,
            vm.directory,
            random.Random(1),
            clock=vm.clock,
            chooser=vm.rollouts,
            pool=ConnectionPool(vm.clock, self.backend_server.connect),
        )

    async def get(self):
        host = {"Host": GOOD_SERVICE}
        payload = StreamReader(unittest.mock.Mock(), 1 << 16)
        payload.feed_eof()
        request = make_mocked_request("GET", "/board", headers=host, payload=payload)
        return await self._calls.handle(request)


@in_world()
async def test_after_a_restart_of_all_vms_calls_wait_for_the_log_and_are_not_run(
    world, mesh
):
    mesh.set_log_down(True)
    for vm in list(mesh):
        await mesh.restart(vm.vm_id)
    sites = [OneBackendServer(vm) for vm in mesh]
    await asyncio.sleep(30.0)
    for site in sites:
        response = await site.get()
        assert (response.status, response.headers[OUTCOME]) == (503, OUTCOME_NOT_RUN)
        assert b"no configuration yet" in response.body
    assert not any(site.backend_server.runs_by_target for site in sites)
    mesh.set_log_down(False)
    await mesh.until(lambda: mesh.has_ticket(1), 2 * IN_FORCE_SECONDS)
    for site in sites:
        assert (await site.get()).status == 200
        assert site.backend_server.runs_by_target == {"/board": 1}


@in_world()
async def test_a_zone_cut_off_past_the_retention_goes_on_from_a_checkpoint(world, mesh):
    cut, *others = [place.availability_zone for place in mesh.places][::-1]
    mesh.network.cut([cut], others)
    mesh.set_log_down(True, [cut])
    await asyncio.sleep(20.0)
    for number in range(2, 12):
        mesh.publish(number)
    await asyncio.sleep(5.0)
    mesh.streams.expire(TICKET_STREAM, 10)
    await asyncio.sleep(150.0)
    assert {vm.number for vm in mesh.in_zone(cut)} == {1}
    # Only the log can be reached again, and it has the records no more.
    mesh.set_log_down(False)
    await mesh.until(lambda: mesh.has_ticket(11), 30.0)
    mesh.network.heal()
    await mesh.until(lambda: len(mesh.digests()) == 1, SETTLED_SECONDS)


@in_world()
async def test_no_record_behind_a_gap_on_all_vms_is_folded_until_a_newer_state_comes(
    world, mesh
):
    await asyncio.sleep(10.0)
    mesh.set_log_down(True)
    for number in (2, 3):
        mesh.publish(number)
    mesh.streams.expire(TICKET_STREAM, 3)
    mesh.set_log_down(False)
    mesh.publish(4)
    await asyncio.sleep(60.0)
    assert {vm.number for vm in mesh} == {1}
    assert any(vm.log_reader.status.has_gap for vm in mesh)
    newer = next(iter(mesh))
    newer.store.adopt(mesh.reference(3))
    await mesh.until(lambda: mesh.has_ticket(4), 30.0)

    def is_closed():
        readers = [vm for vm in mesh if vm.node.is_log_reader()]
        return not any(vm.log_reader.status.has_gap for vm in readers)

    await mesh.until(is_closed, 20.0)


@in_world()
async def test_states_that_differ_after_the_log_lost_data_are_settled(world, mesh):
    # A cut-off zone restarts and folds the log from its start, while the others hold
    # tickets that the log has lost.
    await asyncio.sleep(10.0)
    mesh.publish(20)
    await mesh.until(lambda: mesh.has_ticket(20), IN_FORCE_SECONDS)
    cut, *others = [place.availability_zone for place in mesh.places][::-1]
    mesh.network.cut([cut], others)
    mesh.lose_records(1)
    world.monitors.has_one_history = False
    await world.restart_zone(len(mesh.places) - 1)
    for number in (10, 11):
        mesh.publish(number)
    await asyncio.sleep(60.0)
    assert {vm.number for vm in mesh.in_zone(cut)} == {11}
    reported = []
    sink = logger.add(
        lambda line: reported.append(str(line)),
        filter=lambda record: "state_diverged" in record["message"],
    )
    mesh.network.heal()
    await mesh.until(lambda: any(vm.node.repair.diverged_peers() for vm in mesh), 30.0)
    await mesh.until(lambda: len(mesh.digests()) == 1, SETTLED_SECONDS)
    logger.remove(sink)
    assert reported
    assert {vm.number for vm in mesh} == {20}
    await mesh.until(
        lambda: not any(vm.node.repair.diverged_peers() for vm in mesh), 10.0
    )


@in_world()
async def test_two_vms_with_one_id_report_it_and_the_mesh_goes_on(world, mesh):
    older = world.pick(4)
    reported = []
    sink = logger.add(
        lambda line: reported.append(str(line)),
        filter=lambda record: "vm_id_conflict" in record["message"],
    )
    record = attrs.evolve(
        older.node.own,
        address="other:1",
        incarnation=older.node.own.incarnation + 100_000,
    )
    newer = FullVm(mesh, record, 99)
    world.monitors.watch(newer)
    await newer.start()
    await asyncio.sleep(20.0)
    logger.remove(sink)
    assert reported
    incarnations = {vm.directory.get(older.vm_id).incarnation for vm in mesh}
    await asyncio.sleep(30.0)
    # Neither raises its incarnation against the other for ever.
    assert {vm.directory.get(older.vm_id).incarnation for vm in mesh} == incarnations
    mesh.publish(2)
    await mesh.until(lambda: mesh.has_ticket(2) and newer.number == 2, IN_FORCE_SECONDS)
    mesh.network.crash(newer.transport)
    await newer.stop()

    def has_id_again():
        records = [vm.directory.get(older.vm_id) for vm in mesh]
        addresses = {r.address for r in records if r.status is VmStatus.ALIVE}
        return addresses == {older.node.own.address} and mesh.is_settled()

    await mesh.until(has_id_again, SETTLED_SECONDS)


def test_a_store_takes_over_no_older_state_and_no_lower_number():
    # Guards against late snapshots and old checkpoints.
    store = StateStore()
    held = MeshState(next_offset=9, number=4)
    assert store.adopt(held)
    for older in (
        MeshState(next_offset=8, number=4),
        MeshState(next_offset=9, number=3),
        MeshState(next_offset=10, number=3),
    ):
        assert not store.adopt(older)
        assert not store.settle(older)
    assert store.state is held
