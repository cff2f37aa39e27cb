"""A mesh whose store holds what another writer has left among its records."""

import asyncio

import pytest

from lacewingstair.vm.entries import decode_entry
from tests.metadata.test_odd_entries import ODD_ENTRIES
from tests.test_sidecar import Vm, configuration, until, with_mesh

DEEP_JSON = b"[" * 200_000 + b"]" * 200_000
ODD_OPERATOR_RECORDS = {
    "rollout/board": DEEP_JSON,
    "rollout/book": b'{"duration": "%bs"}' % (b"9" * 5000),
    "rollout/other": b'{"duration": %b}' % (b"9" * 5000),
    "rollout/": b"\xff",
    "config": DEEP_JSON,
    "\ud800".encode("utf-8", "surrogatepass").decode("utf-8", "replace"): b"{}",
}


def has_sound_entry(store, name):
    return decode_entry(store.newest("keyed.mesh")[name][0]).is_ok()


async def assert_mesh_goes_on(store, vms, session):
    """A VM that starts now is learnt from the store, and calls are served."""
    late = Vm("late", "book", vms[0].store_url)
    await late.start()
    assert await late.report(session) == 200
    await until(lambda: all(vm.sidecar.view.get("late") for vm in vms))
    await store.put("keyed.op", "config", configuration(9))
    numbers = [vm.sidecar.configurations for vm in (*vms, late)]
    await until(lambda: all(found.current.number == 9 for found in numbers))
    for number, vm in enumerate((*vms, late)):
        assert (await vm.call(session, request_id=f"q{number}"))[0] == 200
    for vm in (*vms, late):
        ended = [task for task in vm.sidecar._tasks if task.done()]
        assert not ended
    await late.stop()


def test_odd_entries_in_the_store_end_no_vm_and_hide_no_other_entry():
    """Guards against VMs that end, or follow the entries no more, for one odd entry."""

    async def check(store, vms, session):
        for number, data in enumerate(ODD_ENTRIES.values()):
            await store.put("keyed.mesh", f"odd{number}", data)
            await store.put("keyed.mesh", "vm0", data)
            await store.put("keyed.mesh", "vm1", data)
        await assert_mesh_goes_on(store, vms, session)
        for name in ("vm0", "vm1"):
            await until(lambda name=name: has_sound_entry(store, name))

    with_mesh(check)


@pytest.mark.parametrize("key", ODD_OPERATOR_RECORDS)
def test_odd_records_of_operators_end_no_vm(key):
    """Guards against VMs that follow the operators no more for one odd record."""

    async def check(store, vms, session):
        await store.put("keyed.op", key, ODD_OPERATOR_RECORDS[key])
        await asyncio.sleep(0.1)
        await assert_mesh_goes_on(store, vms, session)

    with_mesh(check)
