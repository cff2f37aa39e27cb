import asyncio
import random

import attrs
import pytest

from lacewingstair.operator.report import MoveState, make_report
from lacewingstair.rollouts import schedule
from lacewingstair.rollouts.controller import CATCH_UP_SECONDS, RolloutController
from lacewingstair.rollouts.evidence import EvidenceCounter, EvidenceReport
from lacewingstair.rollouts.marks import RollbackMark, StageMark
from lacewingstair.routing.outcomes import CallOutcome, CallResult
from lacewingstair.standins.rollout_mesh import (
    Answer,
    RolloutMesh,
    SimulatedCalls,
    first_sections,
    key_of,
    rollout_document,
)
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual

ZONES = {"a-1": "a", "a-2": "a", "b-1": "b"}
START, END = 5.0, 105.0
ROUTES = ("read", "confirm")
FAILED = Answer(CallResult.FAILED)


def make_mesh(seed=1, zones=ZONES, **options):
    mesh = RolloutMesh(zones, 3, random.Random(seed), **options)
    mesh.publish(**first_sections(START, END, ROUTES))
    return mesh


def succeeding(version, route, now):
    return Answer()


def failing(version, route, now):
    return FAILED if version == "v2" else Answer()


def rollback_marks(mesh):
    return [vm.marks.rollbacks_by_key.get(key_of(vm)) for vm in mesh.vms()]


def stages(mesh, zone=None):
    return {
        vm.marks.stage(key_of(vm), vm.availability_zone, route)
        for vm in mesh.vms(zone)
        for route in ROUTES
    }


def report_of(vm):
    return make_report(vm.store.state, vm.marks, vm.clock.wall())


def state_of(vm):
    return report_of(vm).rollouts["move"].state


@pytest.mark.parametrize("rate", [1.0, 40.0])
def test_a_good_version_gets_all_calls_by_end_by_and_all_vms_report_it(rate):
    mesh = make_mesh()
    calls = SimulatedCalls(mesh, rate, succeeding)
    mesh.queue.run_until(END + 40.0)
    assert stages(mesh) == {schedule.FINAL_STAGE}
    assert calls.count("v1", since=END + 0.6) == 0
    assert calls.count("v2", since=END + 0.6) > 0
    reports = [report_of(vm) for vm in mesh.vms()]
    assert {r.rollouts["move"].state for r in reports} == {MoveState.DONE}
    assert all(report == reports[0] for report in reports)


@pytest.mark.parametrize(
    "bad",
    [
        FAILED,
        Answer(latency_seconds=0.06),
        Answer(CallResult.NOT_RUN, 0.001),
    ],
    ids=["failures", "slowness", "refusals"],
)
def test_a_bad_version_is_rolled_back_early_and_gets_no_call_afterwards(bad):
    mesh = make_mesh()

    def answer(version, route, now):
        return bad if version == "v2" else Answer()

    calls = SimulatedCalls(mesh, 40.0, answer)
    mesh.queue.run_until(60.0)
    found = rollback_marks(mesh)
    assert None not in found and len(set(found)) == 1
    rolled_back_at = found[0].at - mesh.vms()[0].clock.wall() + mesh.queue.now
    assert calls.count("v2", since=rolled_back_at + 0.1) == 0
    assert calls.count("v2") < 60
    assert {state_of(vm) for vm in mesh.vms()} == {MoveState.TAKEN_BACK}
    vm = mesh.vms()[0]
    assert vm.controller.versions("read", "board") == ("v1",)


def test_late_faults_on_one_route_are_detected_after_the_rollout_is_done():
    mesh = make_mesh()

    def answer(version, route, now):
        is_bad = version == "v2" and route == "confirm" and now > END + 5.0
        return FAILED if is_bad else Answer()

    SimulatedCalls(mesh, 40.0, answer)
    mesh.queue.run_until(END + 4.0)
    assert {state_of(vm) for vm in mesh.vms()} == {MoveState.DONE}
    mesh.queue.run_until(END + 50.0)
    assert {state_of(vm) for vm in mesh.vms()} == {MoveState.TAKEN_BACK}


@pytest.mark.parametrize("seed", range(3))
def test_overload_of_both_versions_causes_no_rollback_or_delay(seed):
    mesh = make_mesh(seed)
    rng = random.Random(seed)

    def answer(version, route, now):
        if not 45.0 < now < 75.0:
            return Answer(latency_seconds=rng.uniform(0.01, 0.03))
        return FAILED if rng.random() < 0.4 else Answer(latency_seconds=0.5)

    SimulatedCalls(mesh, 40.0, answer)
    mesh.queue.run_until(END + 5.0)
    assert {state_of(vm) for vm in mesh.vms()} == {MoveState.DONE}


def test_cold_starts_cause_no_rollback_but_fast_failures_of_new_endpoints_do():
    def slow_start(version, route, now):
        return Answer(CallResult.FAILED, 2.0) if version == "v2" else Answer()

    cold = make_mesh()
    SimulatedCalls(cold, 40.0, slow_start, endpoint_age=1.0)
    cold.queue.run_until(30.0)
    assert rollback_marks(cold) == [None] * 9
    crashing = make_mesh()
    SimulatedCalls(crashing, 40.0, failing, endpoint_age=1.0)
    crashing.queue.run_until(60.0)
    assert None not in rollback_marks(crashing)


def test_lost_reports_neither_prevent_nor_cause_a_rollback():
    mesh = make_mesh(evidence_loss=0.5)
    SimulatedCalls(mesh, 20.0, failing)
    mesh.queue.run_until(80.0)
    assert None not in rollback_marks(mesh)
    good = make_mesh(evidence_loss=0.5)
    SimulatedCalls(good, 20.0, succeeding)
    good.queue.run_until(END + 1.0)
    assert {state_of(vm) for vm in good.vms()} == {MoveState.DONE}


def test_a_child_that_keeps_changing_its_parent_is_never_counted_twice():
    # Guards against rollbacks caused by a few failures that are counted repeatedly.
    mesh = make_mesh(zones={"a-1": "a"})
    root, parent, child = mesh.vms()
    calls = SimulatedCalls(mesh, 10.0, failing)
    reported = []
    for turn in range(20):
        mesh.move_child(child.vm_id, (root, parent)[turn % 2].vm_id)
        mesh.queue.run_until(mesh.queue.now + 3.0)
        if root.reports:
            counters = root.reports[-1].counters
            reported.append(sum(c.failures for c in counters))
        assert not reported or reported[-1] <= calls.count("v2")
    assert max(reported) > 0


def test_a_root_that_fails_is_replaced_and_the_rollout_is_done_in_time():
    mesh = make_mesh()
    SimulatedCalls(mesh, 20.0, succeeding)
    for at, vm_id in ((30.0, "a-1-vm0"), (55.0, "b-1-vm0"), (70.0, "a-1-vm1")):
        mesh.queue.run_until(at)
        mesh.kill(vm_id)
    mesh.queue.run_until(END + 1.0)
    assert {state_of(vm) for vm in mesh.vms()} == {MoveState.DONE}


def test_partitioned_zones_roll_back_independently():
    mesh = make_mesh()
    mesh.cut = {frozenset(("a-1", "b-1")), frozenset(("a-2", "b-1"))}
    SimulatedCalls(mesh, 40.0, lambda v, r, now: failing(v, r, now))
    mesh.queue.run_until(45.0)
    assert None not in [vm.marks.rollbacks_by_key.get(key_of(vm)) for vm in mesh.vms()]
    assert len(set(rollback_marks(mesh))) == 2
    mesh.cut.clear()
    mesh.queue.run_until(50.0)
    # All VMs keep the same one of the two rollbacks.
    assert len(set(rollback_marks(mesh))) == 1


def test_a_partitioned_zone_continues_a_good_rollout_and_then_converges():
    mesh = make_mesh()
    mesh.cut = {frozenset(("a-1", "b-1")), frozenset(("a-2", "b-1"))}
    SimulatedCalls(mesh, 20.0, succeeding)
    mesh.queue.run_until(END)
    assert stages(mesh) == {schedule.FINAL_STAGE}
    mesh.cut.clear()
    mesh.queue.run_until(END + 3.0)
    assert len({vm.marks.digest() for vm in mesh.vms()}) == 1


def test_a_rollback_concurrent_with_a_stage_mark_wins_in_either_order():
    mesh = make_mesh()
    mesh.queue.run_until(20.0)
    first, second = mesh.vms("a-1")[:2]
    key = key_of(first)
    stage = StageMark(key, "a-1", "read", schedule.FINAL_STAGE, first.clock.wall())
    rollback = RollbackMark(key, "fails", "", first.clock.wall(), "vm")
    for vm, order in ((first, (stage, rollback)), (second, (rollback, stage))):
        for mark in order:
            is_stage = isinstance(mark, StageMark)
            merge = vm.marks.merge_stage if is_stage else vm.marks.merge_rollback
            assert merge(mark)
        chosen = {vm.controller.choose_version("read", "board") for _ in range(200)}
        assert chosen == {"v1"}
    assert first.marks.digest() == second.marks.digest()


def test_a_rollout_set_again_is_new_and_late_marks_of_the_old_one_have_no_effect():
    mesh = make_mesh()
    SimulatedCalls(mesh, 40.0, lambda v, r, now: failing(v, r, now - 60.0))
    mesh.queue.run_until(60.0)
    old = rollback_marks(mesh)[0]
    assert old is not None
    mesh.publish(rollouts={"move": rollout_document(61.0, 161.0)})
    mesh.queue.run_until(62.0)
    vm = mesh.vms()[0]
    assert state_of(vm) is not MoveState.TAKEN_BACK
    assert not vm.marks.merge_rollback(old)
    assert not vm.marks.merge_stage(StageMark(old.key, "a-1", "read", 4, 1e9))
    assert not vm.marks.is_rolled_back(key_of(vm))
    assert {key.number for key, _, _ in vm.marks.stage_marks_by_scope} == {2}


def test_evidence_of_another_rollout_is_neither_analyzed_nor_forwarded():
    mesh = make_mesh(zones={"a-1": "a"})
    mesh.queue.run_until(START + 1.0)
    root = mesh.vms()[0]
    other = attrs.evolve(key_of(root), number=99)
    for sequence, count in ((1, 0), (2, 500)):
        counter = EvidenceCounter(other, "read", "v2", 0, count, count, 0, 0)
        for source, is_zone in (("child", False), ("b-1 vm", True)):
            root.listener(EvidenceReport(source, is_zone, sequence, (counter,)))
    mesh.queue.run_until(START + 3.0)
    assert rollback_marks(mesh) == [None] * 3
    assert not any(report.counters for report in root.reports)


def test_a_zone_root_that_resumes_after_a_pause_publishes_no_mark():
    mesh = make_mesh()
    calls = SimulatedCalls(mesh, 40.0, succeeding)
    mesh.queue.run_until(12.0)
    root = mesh.root("a-1")
    root.is_paused = True
    key = key_of(root)
    mesh.queue.run_until(80.0)
    other = mesh.vms("a-2")[0]
    rollback = RollbackMark(key, "fails", "", other.clock.wall(), other.vm_id)
    mesh.publish_mark(other, rollback)
    mesh.queue.run_until(90.0)
    published = []
    mesh.publish_mark = lambda sender, mark: published.append((sender.vm_id, mark))
    root.is_paused = False
    root.controller.step()
    mesh.queue.run_until(100.0)
    assert published == []
    assert root.marks.rollbacks_by_key[key] == rollback
    assert calls.count("v2", since=91.0) == 0


def test_clock_skew_of_a_second_neither_delays_a_rollout_nor_prevents_a_rollback():
    errors = {"a-1-vm0": 1.0, "a-1-vm1": -1.0, "a-2-vm0": -1.0, "b-1-vm2": 1.0}
    good = make_mesh(wall_errors=errors)
    SimulatedCalls(good, 20.0, succeeding)
    good.queue.run_until(END + 1.1)
    assert {state_of(vm) for vm in good.vms()} == {MoveState.DONE}
    bad = make_mesh(wall_errors=errors)
    SimulatedCalls(bad, 20.0, failing)
    bad.queue.run_until(60.0)
    assert len(set(rollback_marks(bad))) == 1
    assert None not in rollback_marks(bad)


def test_the_old_version_serves_until_late_endpoints_of_the_new_one_are_ready():
    slots_by_version = {"v1": 60, "v2": 0}
    mesh = make_mesh(slots=lambda service, version: slots_by_version[version])
    calls = SimulatedCalls(mesh, 20.0, succeeding)
    mesh.queue.run_until(70.0)
    vm = mesh.vms()[0]
    assert calls.count("v2") == 0
    entry = report_of(vm).rollouts["move"]
    assert (entry.state, entry.reason) == (
        MoveState.WAITING,
        "waits for endpoints of v2",
    )
    slots_by_version["v2"] = 60
    mesh.queue.run_until(71.5)
    assert state_of(vm) is MoveState.IN_PROGRESS
    mesh.queue.run_until(END)
    assert state_of(vm) is MoveState.DONE


def test_few_slots_of_the_new_version_limit_its_share():
    slots_by_version = {"v1": 100, "v2": 10}
    mesh = make_mesh(slots=lambda service, version: slots_by_version[version])
    SimulatedCalls(mesh, 20.0, succeeding)
    mesh.queue.run_until(END - 1.0)
    vm = mesh.vms()[0]
    chosen = [vm.controller.choose_version("read", "board") for _ in range(1000)]
    assert chosen.count("v2") in (199, 200, 201)


def test_a_version_on_trial_takes_overflow_only_if_the_old_one_has_no_slots():
    """Guards against overload of the old version raising the new one over its share."""
    slots_by_version = {"v1": 20, "v2": 20}
    mesh = make_mesh(slots=lambda service, version: slots_by_version[version])
    vm = mesh.vms()[0]
    assert vm.controller.versions("read", "board") == ("v1",)
    slots_by_version["v1"] = 0
    assert vm.controller.versions("read", "board") == ("v1", "v2")
    slots_by_version["v1"] = 20
    SimulatedCalls(mesh, 20.0, succeeding)
    mesh.queue.run_until(END + 1.0)
    assert vm.controller.versions("read", "board") == ("v2", "v1")


def test_evidence_is_sent_only_while_a_rollout_is_active():
    mesh = make_mesh()
    SimulatedCalls(mesh, 40.0, succeeding)
    mesh.queue.run_until(START - 0.1)
    assert not any(vm.reports for vm in mesh.vms())
    mesh.queue.run_until(START + 5.0)
    assert all(vm.reports for vm in mesh.vms())
    ended = END + schedule.MIN_MONITORING_SECONDS + 0.6
    mesh.queue.run_until(ended)
    sent = [len(vm.reports) for vm in mesh.vms()]
    mesh.queue.run_until(ended + 20.0)
    assert [len(vm.reports) for vm in mesh.vms()] == sent


def test_unchanged_totals_are_not_sent_again():
    mesh = make_mesh(zones={"a-1": "a"})
    mesh.queue.run_until(END)
    assert [len(vm.reports) for vm in mesh.vms()] == [1, 1, 1]


def test_calls_of_other_routes_and_versions_and_cancelled_calls_are_not_counted():
    mesh = make_mesh(zones={"a-1": "a"})
    mesh.queue.run_until(START + 1.0)
    controller = mesh.vms()[0].controller
    outcome = CallOutcome("read", "board", "v2", "x:1", CallResult.CANCELLED, 1.0, 99.0)
    controller.record(outcome)
    for change in ({"route": "none"}, {"version": "v9"}):
        other = attrs.evolve(outcome, result=CallResult.FAILED, **change)
        controller.record(other)
    mesh.queue.run_until(START + 3.0)
    assert all(not r.counters for vm in mesh.vms() for r in vm.reports)
    controller.record(attrs.evolve(outcome, result=CallResult.FAILED))
    mesh.queue.run_until(START + 5.0)
    assert mesh.vms()[0].reports[-1].counters[0].failures == 1


def test_a_controller_without_rollouts_sets_no_timer_and_wakes_for_a_ticket():
    async def main():
        mesh = RolloutMesh({"a-1": "a"}, 1, random.Random(1))
        vm = mesh.vms()[0]
        slept = []

        class RecordingClock(VirtualClock):
            async def sleep(self, seconds):
                slept.append(seconds)
                await super().sleep(seconds)

        controller = RolloutController(
            vm_id="vm",
            availability_zone="a-1",
            store=vm.store,
            marks=vm.marks,
            clock=RecordingClock(),
            rng=random.Random(1),
            transport=vm,
            publish_stage=vm.marks.merge_stage,
            publish_rollback=vm.marks.merge_rollback,
            slots=lambda service, version: 10,
            vm_count=lambda: 1,
        )
        task = asyncio.create_task(controller.run())
        await asyncio.sleep(3600.0)
        assert slept == []
        mesh.publish(**first_sections(3700.0, 3800.0))
        await asyncio.sleep(0.1)
        assert slept == [pytest.approx(100.0 - CATCH_UP_SECONDS)]
        await asyncio.sleep(300.0)
        stage = vm.marks.stage(key_of(vm), "a-1", "read")
        steps = len(slept)
        await asyncio.sleep(3600.0)
        task.cancel()
        assert len(slept) == steps
        return stage

    assert run_virtual(main()) == schedule.FINAL_STAGE


def test_without_a_rollout_the_current_version_serves():
    mesh = make_mesh(zones={"a-1": "a"})
    mesh.publish(rollouts={"move": None})
    vm = mesh.vms()[0]
    assert vm.controller.choose_version("read", "board") == "v1"
    assert vm.controller.versions("read", "board") == ("v1",)
