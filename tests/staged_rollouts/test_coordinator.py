import asyncio
import itertools
import random

from result import Err, Ok

from lacewingstair.errors import StoreUnavailable
from lacewingstair.staged_rollouts.coordinator import RolloutCoordinator
from lacewingstair.staged_rollouts.marks import RolloutMark
from lacewingstair.staged_rollouts.policy import Order, Stage
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual


class Reports:
    """In-memory store of reports."""

    def __init__(self):
        self.final_by_service = {}
        self.written = []
        self.is_down = False

    async def write(self, order, stage):
        if self.is_down:
            return Err(StoreUnavailable("write", "down"))
        final = self.final_by_service.get(order.service)
        if final is not None:
            return Ok(final)
        self.written.append(stage)
        if stage.is_final:
            self.final_by_service[order.service] = stage
        return Ok(stage)


class Mesh:
    """Coordinators of several VMs that exchange messages."""

    def __init__(self, vm_ids, reports=None):
        self.clock = VirtualClock()
        self.reports = reports or Reports()
        self.live = list(vm_ids)
        self.cut_off_from_store = set()
        self.by_vm_id = {vm_id: self.coordinator(vm_id) for vm_id in vm_ids}

    def coordinator(self, vm_id):
        async def write(order, stage):
            if vm_id in self.cut_off_from_store:
                return Err(StoreUnavailable("write", "cut"))
            return await self.reports.write(order, stage)

        return RolloutCoordinator(
            vm_id,
            1,
            lambda: self.live,
            lambda mark: self.deliver(vm_id, "apply_mark", mark),
            lambda evidence: self.deliver(vm_id, "apply_evidence", evidence),
            write,
            self.clock,
            random.Random(1),
        )

    def deliver(self, sender, method, message):
        for vm_id, coordinator in self.by_vm_id.items():
            if vm_id != sender and vm_id in self.live:
                getattr(coordinator, method)(message)

    def order(self, order):
        for coordinator in self.by_vm_id.values():
            coordinator.apply_order(order)

    async def simulate(self, seconds, is_bad):
        """Simulate calls: VM c has the new version, the others have the old one."""
        tasks = [asyncio.create_task(c.run()) for c in self.by_vm_id.values()]
        for _ in range(int(seconds * 50)):
            await self.clock.sleep(0.02)
            is_new = self.by_vm_id["a"].selects_new_version("board")
            gate = self.by_vm_id["c" if is_new else "b"]
            version = "v2" if is_new else "v1"
            gate.record_call("board", version, "view", bool(is_new) and is_bad, 100.0)
        for task in tasks:
            task.cancel()

    def stages(self):
        return {c.get("board").stage for c in self.by_vm_id.values()}


ORDER = Order("board", "v2", 20.0, 7)


def test_a_good_version_is_completed_and_reported_once():
    async def main():
        mesh = Mesh("abc")
        mesh.order(ORDER)
        await mesh.simulate(20, is_bad=False)
        assert mesh.stages() == {Stage.COMPLETED}
        assert mesh.reports.written == [Stage.TRIAL, Stage.COMPLETED]
        old = mesh.by_vm_id["a"].allows("board", "b", "v1", True)
        new = mesh.by_vm_id["a"].allows("board", "c", "v2", True)
        assert (old, new) == (False, True)

    run_virtual(main())


def test_a_bad_version_gets_no_calls_from_any_vm_after_its_rollback():
    async def main():
        mesh = Mesh("abc")
        mesh.order(ORDER)
        await mesh.simulate(10, is_bad=True)
        assert mesh.stages() == {Stage.ROLLED_BACK}
        assert mesh.reports.written[-1] is Stage.ROLLED_BACK
        for coordinator in mesh.by_vm_id.values():
            assert coordinator.selects_new_version("board") is False
            assert not coordinator.allows("board", "c", "v2", None)

    run_virtual(main())


def test_another_vm_reports_when_the_first_is_cut_off_from_the_store():
    async def main():
        mesh = Mesh("abc")
        mesh.cut_off_from_store = {"a"}
        mesh.order(ORDER)
        await mesh.simulate(20, is_bad=False)
        assert mesh.reports.written[-1] is Stage.COMPLETED
        assert mesh.stages() == {Stage.COMPLETED}

    run_virtual(main())


def test_a_bad_version_is_rolled_back_without_the_store():
    """Guards against a bad version that keeps its calls while the store is down."""

    async def main():
        mesh = Mesh("abc")
        mesh.reports.is_down = True
        mesh.order(ORDER)
        await mesh.simulate(10, is_bad=True)
        assert mesh.stages() == {Stage.ROLLED_BACK}
        mesh.reports.is_down = False
        await mesh.simulate(3, is_bad=False)
        assert mesh.reports.written == [Stage.ROLLED_BACK]

    run_virtual(main())


def test_the_final_report_in_the_store_is_authoritative():
    """Guards against an outage: a report of completion stops the old version."""

    async def main():
        reports = Reports()
        reports.final_by_service["board"] = Stage.COMPLETED
        mesh = Mesh("abc", reports)
        mesh.order(ORDER)
        await mesh.simulate(10, is_bad=True)
        assert mesh.stages() == {Stage.COMPLETED}
        assert mesh.by_vm_id["a"].allows("board", "c", "v2", True)

    run_virtual(main())


def test_a_later_order_replaces_an_earlier_one_and_not_the_reverse():
    async def main():
        mesh = Mesh("ab")
        later = Order("board", "v3", 20.0, 9)
        mesh.order(later)
        mesh.order(ORDER)
        assert mesh.by_vm_id["a"].get("board").order is later

    run_virtual(main())


def test_a_late_rollback_mark_does_not_change_a_completed_rollout():
    """Guards against VMs that alternate between two final stages without end.

    In a run with network partitions, one VM found the version bad while the others
    reported it as completed; the marks circulated endlessly and used all bandwidth.
    """

    async def main():
        mesh = Mesh("abc")
        mesh.order(ORDER)
        await mesh.simulate(20, is_bad=False)
        published = []
        for coordinator in mesh.by_vm_id.values():
            publish = coordinator._publish_mark
            coordinator._publish_mark = lambda mark, publish=publish: (
                published.append(mark),
                publish(mark) if len(published) < 50 else None,
            )
        late = RolloutMark("board", ORDER.offset, Stage.ROLLED_BACK, 12.0, False, "v2")
        mesh.by_vm_id["b"].apply_mark(late)
        assert mesh.stages() == {Stage.COMPLETED}
        assert published == []

    run_virtual(main())


def test_vms_that_hold_different_final_stages_agree_after_few_messages():
    async def main():
        mesh = Mesh("abcdef")
        mesh.order(ORDER)
        for vm_id in "abc":
            mesh.by_vm_id[vm_id].get("board").stage = Stage.ROLLED_BACK
        published = []
        for coordinator in mesh.by_vm_id.values():
            publish = coordinator._publish_mark
            coordinator._publish_mark = lambda mark, publish=publish: (
                published.append(mark),
                publish(mark) if len(published) < 500 else None,
            )
        report = RolloutMark("board", ORDER.offset, Stage.COMPLETED, 12.0, True, "v2")
        mesh.by_vm_id["d"].apply_mark(report)
        assert mesh.stages() == {Stage.COMPLETED}
        assert len(published) <= 2 * len(mesh.by_vm_id)

    run_virtual(main())


def test_a_vm_that_starts_after_a_second_order_sends_no_calls_to_the_first_version():
    """Guards against a version on trial that counts as old once another is ordered."""

    async def main():
        mesh = Mesh("abc")
        mesh.order(ORDER)
        await mesh.simulate(2, is_bad=False)
        mesh.order(Order("board", "v3", 20.0, 9))
        started = mesh.coordinator("d")
        for mark in mesh.by_vm_id["a"].marks():
            started.apply_mark(mark)
        started.apply_order(Order("board", "v3", 20.0, 9))
        for coordinator in (*mesh.by_vm_id.values(), started):
            assert not coordinator.allows("board", "c", "v2", False)
            assert coordinator.allows("board", "b", "v1", False)

    run_virtual(main())


def test_a_version_that_is_ordered_again_gets_calls_again():
    async def main():
        mesh = Mesh("abc")
        mesh.order(ORDER)
        await mesh.simulate(10, is_bad=True)
        mesh.order(Order("board", "v2", 20.0, 9))
        late = RolloutMark("board", ORDER.offset, Stage.ROLLED_BACK, 12.0, True, "v2")
        mesh.by_vm_id["a"].apply_mark(late)
        assert mesh.by_vm_id["a"].allows("board", "c", "v2", True)

    run_virtual(main())


def test_a_vm_that_missed_the_completion_of_a_version_does_not_block_it():
    """Guards against an outage: the old version was stopped at the completion."""

    async def main():
        mesh = Mesh("abc")
        mesh.order(ORDER)
        await mesh.simulate(2, is_bad=False)
        cut_off = mesh.by_vm_id.pop("c")
        mesh.live.remove("c")
        mesh.by_vm_id["c"] = mesh.coordinator("c")
        await mesh.simulate(18, is_bad=False)
        assert mesh.by_vm_id["a"].get("board").stage is Stage.COMPLETED
        for coordinator in (*mesh.by_vm_id.values(), cut_off):
            coordinator.apply_order(Order("board", "v3", 20.0, 9))
        for mark in cut_off.marks():
            mesh.by_vm_id["a"].apply_mark(mark)
        for mark in mesh.by_vm_id["a"].marks():
            cut_off.apply_mark(mark)
        for coordinator in (mesh.by_vm_id["a"], cut_off):
            assert coordinator.allows("board", "c", "v2", False)

    run_virtual(main())


def test_an_order_whose_report_was_never_read_blocks_no_version():
    """Guards against an outage after a start: the version may be the only one left."""

    async def main():
        started = Mesh("a").by_vm_id["a"]
        started.apply_order(ORDER)
        started.apply_order(Order("board", "v3", 20.0, 9))
        assert started.allows("board", "c", "v2", False)

    run_virtual(main())


def test_counts_are_published_while_the_store_does_not_answer_a_report():
    """Guards against a bad version whose calls no other VM hears of for seconds."""

    async def main():
        clock = VirtualClock()
        published_at = []

        async def write_slowly(order, stage):
            await asyncio.sleep(4.0)
            return Err(StoreUnavailable("write", "no answer"))

        coordinator = RolloutCoordinator(
            "a",
            1,
            lambda: ["a"],
            lambda mark: None,
            lambda evidence: published_at.append(clock.monotonic()),
            write_slowly,
            clock,
            random.Random(1),
        )
        coordinator.apply_order(ORDER)
        running = asyncio.create_task(coordinator.run())
        while clock.monotonic() < 3.5:
            await asyncio.sleep(0.05)
            coordinator.record_call("board", "v2", "view", False, 100.0)
        running.cancel()
        gaps = [b - a for a, b in itertools.pairwise(published_at)]
        assert published_at[0] < 0.6
        assert max(gaps) < 0.6

    run_virtual(main())


def test_only_one_report_of_an_order_is_on_its_way():
    """Guards against reports that pile up while the store does not answer."""

    async def main():
        clock = VirtualClock()
        open_reports = []
        most = []

        async def write_slowly(order, stage):
            open_reports.append(stage)
            most.append(len(open_reports))
            await asyncio.sleep(4.0)
            open_reports.pop()
            return Err(StoreUnavailable("write", "no answer"))

        coordinator = RolloutCoordinator(
            "a",
            1,
            lambda: ["a"],
            lambda mark: None,
            lambda evidence: None,
            write_slowly,
            clock,
            random.Random(1),
        )
        coordinator.apply_order(ORDER)
        running = asyncio.create_task(coordinator.run())
        await asyncio.sleep(30.0)
        running.cancel()
        assert 3 < len(most) < 9
        assert max(most) == 1

    run_virtual(main())
