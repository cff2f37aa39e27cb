"""Rollouts while VMs are frozen to which other VMs have open links."""

import asyncio

import pytest

from lacewingstair.staged_rollouts.policy import Order, Stage
from lacewingstair.standins.virtual_time import run_virtual
from tests.staged_rollouts.test_coordinator import Mesh

ORDER = Order("board", "v2", 20.0, 7)
FROZEN_AFTER_SECONDS = 5.0


class FrozenMesh(Mesh):
    """Mesh in which some VMs stop, and still count as live as their links are open."""

    frozen = ()

    def deliver(self, sender, method, message):
        for vm_id, coordinator in self.by_vm_id.items():
            if vm_id != sender and vm_id not in self.frozen:
                getattr(coordinator, method)(message)

    async def simulate(self, seconds, frozen):
        tasks = {v: asyncio.create_task(c.run()) for v, c in self.by_vm_id.items()}
        for step in range(int(seconds * 50)):
            await self.clock.sleep(0.02)
            if step == int(FROZEN_AFTER_SECONDS * 50):
                self.frozen = frozen
                for vm_id in frozen:
                    tasks[vm_id].cancel()
            is_new = self.by_vm_id["a"].selects_new_version("board")
            gate = self.by_vm_id["c" if is_new else "b"]
            version = "v2" if is_new else "v1"
            gate.record_call("board", version, "view", False, 100.0)
        for task in tasks.values():
            task.cancel()


@pytest.mark.parametrize("count", [0, 1, 3, 4, 6])
def test_a_good_version_is_completed_although_vms_are_frozen(count):
    """Guards against rollouts that wait for VMs which only seem to be live.

    A link to a frozen VM of another region stays open, see
    `test_a_frozen_vm_of_another_region_does_not_count_as_connected`.
    """
    frozen = [f"0{n}" for n in range(count)]

    async def main():
        mesh = FrozenMesh([*frozen, "a", "b", "c"])
        mesh.order(ORDER)
        await mesh.simulate(ORDER.duration_seconds, frozen)
        assert Stage.COMPLETED in mesh.reports.written

    run_virtual(main())
