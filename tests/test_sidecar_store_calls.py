"""Calls to the store that VMs make when they all start together."""

import asyncio

from lacewingstair.metadata.store_follower import MESH_BATCH_SECONDS
from lacewingstair.vm.store_readers import READERS_PER_REGION
from tests.test_sidecar import until, with_mesh

VMS = 10
# Two of the short pauses between reads of the entries.
SETTLED_SECONDS = 2 * MESH_BATCH_SECONDS + 0.5


def test_vms_that_start_together_know_each_other_by_few_calls():
    """Guards against calls to the store that grow with each change of any VM.

    A VM reads the entries when it starts and once more after its own was written;
    its links tell it the rest.
    """

    async def check(store, vms, session):
        await asyncio.sleep(SETTLED_SECONDS)
        for number in range(3):
            state = "ready" if number % 2 else "draining"
            for vm in vms:
                await vm.report(session, state)
            await asyncio.sleep(MESH_BATCH_SECONDS + 0.2)
        others = [vm for vm in vms if not vm.sidecar.operator_reading.is_reading]
        assert len(others) == VMS - READERS_PER_REGION
        for vm in others:
            calls = vm.sidecar.store.calls_by_operation
            assert calls["log-append"] <= 1 + 3
            # One of the operators' topic and two of the entries.
            assert calls["log-read"] <= 3
        drained = [vm for vm in vms if vm.name != "vm0"]
        await until(
            lambda: all(
                vm.sidecar.view.get("vm0").state.value == "draining" for vm in drained
            )
        )

    with_mesh(check, ["board"] * VMS)
