"""VMs that start while connections to the store are silent."""

import asyncio
import math

import pytest
from result import Err

from lacewingstair.errors import StoreUnavailable
from lacewingstair.standins.virtual_time import run_virtual
from tests.metadata import test_follower_fleet as fleet_model
from tests.metadata import test_store_watch
from tests.metadata.test_follower_fleet import CONFIG_APPLY_SECONDS, Fleet, StoreClient

# Default of `log_timeout_seconds`; deploy/lacewingstaird.ini has 2 s.
DEFAULT_TIMEOUT_SECONDS = 5.0


@pytest.mark.parametrize("vms", [1, 18])
@pytest.mark.parametrize("silent_seconds", [0.3, 1.0, 1.9, 2.1, 3.0, 4.1, 6.0])
def test_vms_that_start_in_a_silence_have_the_configuration_soon_after_it(
    monkeypatch, vms, silent_seconds
):
    """Guards against first reads that are waited for on silent connections."""
    read = StoreClient.read

    async def silent_read(self, topic, offset, wait_seconds):
        if asyncio.get_running_loop().time() < silent_seconds:
            await asyncio.sleep(wait_seconds + fleet_model.TIMEOUT_SECONDS)
            return Err(StoreUnavailable("log-read", "TimeoutError"))
        return await read(self, topic, offset, wait_seconds)

    monkeypatch.setattr(StoreClient, "read", silent_read)

    async def main():
        async with Fleet(vms, 4) as fleet:
            await asyncio.sleep(silent_seconds + 10)
            taken = [vm.taken_at.get(0, math.inf) for vm in fleet.vms]
            assert max(taken) - silent_seconds < CONFIG_APPLY_SECONDS

    run_virtual(main())


@pytest.mark.parametrize("silent_seconds", [1.0, 2.0, 3.0, 4.0])
def test_open_checks_do_not_delay_the_next_one(monkeypatch, silent_seconds):
    """Guards against a limit of open checks that is reached by hanging ones."""
    monkeypatch.setattr(test_store_watch, "TIMEOUT_SECONDS", DEFAULT_TIMEOUT_SECONDS)

    async def main():
        fleet = test_store_watch.Fleet(1)
        running = asyncio.create_task(fleet.run(20))
        await asyncio.sleep(5)
        fleet.unreachable = {0}
        await asyncio.sleep(silent_seconds)
        fleet.unreachable = set()
        back_at = fleet.clock.monotonic()
        while fleet.proven_at[0] < back_at:  # noqa: ASYNC110 - plain state
            await asyncio.sleep(0.05)
        assert fleet.clock.monotonic() - back_at < CONFIG_APPLY_SECONDS
        running.cancel()

    run_virtual(main())
