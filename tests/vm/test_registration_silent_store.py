"""Writes of an entry on connections that have gone silent."""

import asyncio
import random

import pytest
from aiohttp.test_utils import TestServer

from lacewingstair.platform.store import MESH_TOPIC, MetadataStore
from lacewingstair.runtime import SystemClock
from lacewingstair.vm.entries import MeshView, VmEntry
from lacewingstair.vm.registration import Registration
from soak.proxy import Fault, FaultProxy
from tests.platform.store_standin import StoreStandIn

# deploy/lacewingstaird.ini
TIMEOUT_SECONDS = 2.0
# Comment of RETRY_CAP_SECONDS in vm/registration.py.
WRITTEN_AFTER_OUTAGE_SECONDS = 2.0


@pytest.mark.parametrize("outage_seconds", [0.4, 2.4, 4.8, 7.0])
def test_an_entry_is_written_within_two_seconds_of_an_outage(outage_seconds):
    """Guards against writes that are waited for on silent connections."""

    async def main():
        store = StoreStandIn()
        server = TestServer(store.application())
        await server.start_server()
        proxy = FaultProxy(f"127.0.0.1:{server.port}")
        await proxy.start()
        client = MetadataStore(f"http://{proxy.address}", TIMEOUT_SECONDS)
        entry = VmEntry("vm1", "r", "z", "127.0.0.1:1", "board", 1)
        registration = Registration(
            entry,
            MeshView("vm1"),
            lambda vm_id, value: client.append(MESH_TOPIC, vm_id, value),
            SystemClock(),
            random.Random(1),
        )
        task = asyncio.create_task(registration.run())
        proxy.set_fault(Fault.SILENT)
        registration.change(slots=3)
        await asyncio.sleep(outage_seconds)
        proxy.set_fault(Fault.NONE)
        loop = asyncio.get_running_loop()
        ended_at = loop.time()
        async with asyncio.timeout(10):
            while not store.topic(MESH_TOPIC).records:  # noqa: ASYNC110 - plain state
                await asyncio.sleep(0.01)
        seconds = loop.time() - ended_at
        task.cancel()
        await client.close()
        await proxy.stop()
        await server.close()
        assert seconds < WRITTEN_AFTER_OUTAGE_SECONDS

    asyncio.run(main())
