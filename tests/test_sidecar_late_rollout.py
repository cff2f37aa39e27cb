"""Rollouts on a VM whose process starts while the store does not answer."""

import json

from lacewingstair.platform.rollouts import KEY_PREFIX
from lacewingstair.staged_rollouts.policy import Stage
from tests.test_sidecar import until, with_mesh

ORDER = {"service": "board", "target_version": "v2", "duration": "60s"}


def test_a_restarted_vm_learns_from_others_that_a_version_was_taken_back():
    """Guards against calls to a bad version from a VM that missed its roll-back.

    The others greet it with the mark, and send the order when it asks for it.
    """

    async def check(store, vms, session):
        def stages(found):
            rollouts = [vm.sidecar.rollouts.get("board") for vm in found]
            return {rollout and rollout.stage for rollout in rollouts}

        order = json.dumps(ORDER).encode()
        await store.put("keyed.op", f"{KEY_PREFIX}board", order)
        await until(lambda: None not in stages(vms))
        coordinator = vms[1].sidecar.rollouts
        coordinator._advance(coordinator.get("board"), Stage.ROLLED_BACK, "test")
        await until(lambda: stages(vms) == {Stage.ROLLED_BACK})
        store.status = 503
        await vms[0].sidecar.close()
        await vms[0].start()
        await until(lambda: vms[0].sidecar.rollouts.get("board") is not None)
        await until(lambda: stages(vms[:1]) == {Stage.ROLLED_BACK})

    with_mesh(check)
