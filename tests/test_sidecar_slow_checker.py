"""The VM that checks the store for all gets its answers late."""

import asyncio
import random

from aiohttp import web
from aiohttp.test_utils import TestServer

from lacewingstair.runtime import SystemClock
from lacewingstair.settings.reader import parse_settings
from lacewingstair.sidecar import build
from soak.proxy import Fault, FaultProxy
from tests.platform.store_standin import StoreStandIn
from tests.test_sidecar import Vm, configuration, until
from tests.test_sidecar_silent_store import CONFIG_APPLY_SECONDS, REGIONS

VMS = 6
# Less than `log_timeout_seconds` of deploy/lacewingstaird.ini, which is 2 s.
ANSWER_DELAY_SECONDS = 1.9
VERSIONS = 8


class RegionVm(Vm):
    """VM of one of three regions; the first one has the widest link."""

    def __init__(self, number, store_url):
        super().__init__(f"vm{number}", "board", store_url)
        self.region = REGIONS[number % len(REGIONS)]
        self.link_mbps = 1000 if number == 0 else 100

    def settings_text(self):
        text = super().settings_text().replace("region = r", f"region = {self.region}")
        return text.replace("log_timeout_seconds = 1", "log_timeout_seconds = 2")

    async def start(self):
        await self.upstream.start()
        settings = parse_settings("test", self.settings_text()).unwrap()
        self.sidecar = build(settings, SystemClock(), random.Random(self.name))
        assert (await self.sidecar.start()).is_ok()

    @property
    def number(self):
        """Version in force."""
        return self.sidecar.configurations.current.number


class SlowAnswers:
    """Executes reads that do not wait at once, and answers them late."""

    def __init__(self):
        self.seconds = 0.0
        self.executed = asyncio.Event()

    @web.middleware
    async def middleware(self, request, handler):
        answer = await handler(request)
        if request.query.get("wait_ms") == "0":
            self.executed.set()
            await asyncio.sleep(self.seconds)
        return answer


async def seconds_until_in_force(store, proxies, vms, number):
    """Write a version whose answers to waiting reads are lost."""
    for proxy in proxies:
        proxy.set_fault(Fault.SILENT)
    await store.put("keyed.op", "config", configuration(number))
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    await asyncio.sleep(0.05)
    for proxy in proxies:
        proxy.set_fault(Fault.NONE)
    await until(lambda: all(vm.number == number for vm in vms), 10)
    return loop.time() - began_at


def run_site(answer_delay_seconds):
    """Return how long each version took at the VMs whose answers are not late."""

    async def main():
        store = StoreStandIn()
        slow = SlowAnswers()
        applications = [store.application(), store.application()]
        applications[1].middlewares.append(slow.middleware)
        servers = [TestServer(application) for application in applications]
        proxies = []
        for server in servers:
            await server.start_server()
            proxies.append(FaultProxy(f"127.0.0.1:{server.port}"))
            await proxies[-1].start()
        await store.put("keyed.op", "config", configuration(1))
        urls = [f"http://{proxy.address}" for proxy in proxies]
        vms = [RegionVm(n, urls[n == 0]) for n in range(VMS)]
        for vm in vms:
            await vm.start()
        await until(lambda: all(vm.number == 1 for vm in vms))
        await asyncio.sleep(3.0)
        slow.seconds = answer_delay_seconds
        await asyncio.sleep(4.0)
        taken = []
        for number in range(2, 2 + VERSIONS):
            # The longest time: the checker has read just before.
            slow.executed.clear()
            await slow.executed.wait()
            seconds = await seconds_until_in_force(store, proxies, vms[1:], number)
            taken.append(round(seconds, 2))
            await asyncio.sleep(3.0 + 0.13 * number)
        for vm in vms:
            await vm.stop()
        for proxy, server in zip(proxies, servers, strict=True):
            await proxy.stop()
            await server.close()
        return taken

    return asyncio.run(main())


def test_a_slow_checker_does_not_keep_others_on_an_older_version():
    """Guards against proofs that are as old as the checker's answer is late.

    The store answers all other VMs at once; only the answers to the first VM are late,
    and the answers to waiting reads are lost while a version is written.
    """
    taken = run_site(ANSWER_DELAY_SECONDS)
    assert max(taken) < CONFIG_APPLY_SECONDS, taken


def test_versions_are_in_force_in_time_if_the_checker_is_answered_at_once():
    """Shows that the site itself is fast enough: the same run without late answers."""
    taken = run_site(0.0)
    assert max(taken) < CONFIG_APPLY_SECONDS, taken
