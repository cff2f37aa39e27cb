import asyncio

from lacewingstair.standins.virtual_time import run_virtual
from lacewingstair.vm.record_fetcher import (
    GATHER_SECONDS,
    PART_TIMEOUT_SECONDS,
    PAUSE_SECONDS,
    RecordSource,
)
from tests.vm.test_record_fetcher import Vms


def test_a_near_vm_that_was_slow_once_is_asked_again_later():
    """Guards against configurations that cross regions for good after one time-out."""

    async def main():
        vms = Vms()
        sources = {}
        for vm_id, distance in (("near", "zone"), ("far", "other_region")):
            sources[vm_id] = RecordSource(
                vm_id,
                distance,
                lambda request, vm_id=vm_id: vms.asked(vm_id, request),
                lambda: True,
            )

        def offer(position):
            for vm_id, source in sources.items():
                vms.position_by_vm_id[vm_id] = source.position = position
                vms.fetcher.add_source(source)

        vms.mute = {"near"}
        offer(1)
        await asyncio.sleep(2 * GATHER_SECONDS + PART_TIMEOUT_SECONDS)
        vms.mute = set()
        await asyncio.sleep(2.0)
        assert vms.requests == ["near", "far"] and vms.position == 1
        for position in range(2, 12):
            # One minute for each version is no storm.
            await asyncio.sleep(60.0)
            offer(position)
            await asyncio.sleep(2.0 + PAUSE_SECONDS)
            assert vms.position == position
        assert "near" in vms.requests[2:], vms.requests

    run_virtual(main())
