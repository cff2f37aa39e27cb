"""Configurations that are written while connections to the store are silent."""

import asyncio
import random

from aiohttp.test_utils import TestServer

from lacewingstair.runtime import SystemClock
from lacewingstair.settings.reader import parse_settings
from lacewingstair.sidecar import build
from soak.proxy import Fault, FaultProxy
from tests.platform.store_standin import StoreStandIn
from tests.test_sidecar import Vm, configuration, until

REGIONS = ("north", "south", "east")
VMS = 6
# A VM counts as in touch so long after a disruption has ended, and then has all that
# was written `config_apply` before.
STABILITY_WINDOW_SECONDS = 3.0
CONFIG_APPLY_SECONDS = 2.5


class RegionVm(Vm):
    """VM of one of three regions."""

    def __init__(self, number, store_url):
        super().__init__(f"vm{number}", "board", store_url)
        self.region = REGIONS[number % len(REGIONS)]

    def settings_text(self):
        return super().settings_text().replace("region = r", f"region = {self.region}")

    async def start(self):
        await self.upstream.start()
        settings = parse_settings("test", self.settings_text()).unwrap()
        self.sidecar = build(settings, SystemClock(), random.Random(self.name))
        assert (await self.sidecar.start()).is_ok()

    @property
    def number(self):
        """Version in force."""
        return self.sidecar.configurations.current.number


def with_site(check):
    """Run a check with a store, the proxy before it, and VMs that hold version 1."""

    async def main():
        store = StoreStandIn()
        server = TestServer(store.application())
        await server.start_server()
        await store.put("keyed.op", "config", configuration(1))
        proxy = FaultProxy(f"127.0.0.1:{server.port}")
        await proxy.start()
        vms = [RegionVm(n, f"http://{proxy.address}") for n in range(VMS)]
        for vm in vms:
            await vm.start()
        await until(lambda: all(vm.number == 1 for vm in vms))
        await until(lambda: all(is_linked(vm) for vm in vms))
        # The first, short waits of the reads are over.
        await asyncio.sleep(2.0)
        await check(store, proxy, vms)
        for vm in vms:
            await vm.stop()
        await proxy.stop()
        await server.close()

    asyncio.run(main())


def is_linked(vm):
    return sum(link.is_connected for link in vm.sidecar.links) == VMS - 1


async def silence(store, proxy, number):
    """Write a version while the proxy passes nothing on, and then only new streams."""
    proxy.set_fault(Fault.SILENT)
    await store.put("keyed.op", "config", configuration(number))
    await asyncio.sleep(1.0)
    proxy.set_fault(Fault.NONE)


def test_a_version_written_while_the_store_is_silent_is_in_force_soon_after():
    """Guards against VMs that stay on an older version while their reads hang."""

    async def check(store, proxy, vms):
        await silence(store, proxy, 2)
        await until(lambda: all(vm.number == 2 for vm in vms), STABILITY_WINDOW_SECONDS)

    with_site(check)


def test_a_version_written_after_a_silence_is_in_force_in_time():
    """Guards against connections that the silence has left silent for good."""

    async def check(store, proxy, vms):
        proxy.set_fault(Fault.SILENT)
        # Something has to pass for a connection to be lost.
        await store.put("keyed.op", "other", b"x")
        await store.put("keyed.mesh", "other", b"x")
        await asyncio.sleep(0.2)
        proxy.set_fault(Fault.NONE)
        await asyncio.sleep(STABILITY_WINDOW_SECONDS)
        await store.put("keyed.op", "config", configuration(2))
        await until(lambda: all(vm.number == 2 for vm in vms), CONFIG_APPLY_SECONDS)

    with_site(check)
