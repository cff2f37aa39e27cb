import asyncio

from lacewingstair.standins.virtual_time import run_virtual
from lacewingstair.vm.record_fetcher import (
    INITIAL_DELAY_SECONDS,
    PART_TIMEOUT_SECONDS,
    TRANSFER_PAUSE_SECONDS,
    RecordSource,
)
from tests.vm.test_record_fetcher import FetchHarness


def test_a_near_vm_is_asked_again_some_time_after_a_timeout():
    """Guards against permanent cross-region transfers after a single timeout."""

    async def main():
        harness = FetchHarness()
        sources = {}
        for vm_id, distance in (("near", "zone"), ("far", "other_region")):
            sources[vm_id] = RecordSource(
                vm_id,
                distance,
                lambda request, vm_id=vm_id: harness.handle_request(vm_id, request),
                lambda: True,
            )

        def announce(position):
            for vm_id, source in sources.items():
                harness.position_by_vm_id[vm_id] = source.position = position
                harness.fetcher.add_source(source)

        harness.silent_vm_ids = {"near"}
        announce(1)
        await asyncio.sleep(2 * INITIAL_DELAY_SECONDS + PART_TIMEOUT_SECONDS)
        harness.silent_vm_ids = set()
        await asyncio.sleep(2.0)
        assert harness.requests == ["near", "far"] and harness.position == 1
        for position in range(2, 12):
            # Versions one minute apart are not fetched together.
            await asyncio.sleep(60.0)
            announce(position)
            await asyncio.sleep(2.0 + TRANSFER_PAUSE_SECONDS)
            assert harness.position == position
        assert "near" in harness.requests[2:], harness.requests

    run_virtual(main())
