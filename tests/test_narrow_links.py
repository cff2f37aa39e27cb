"""VMs whose links are full of configurations while calls are under way.

VMs on wide links have a new version early. Each VM on a narrow link hears of it from
all of them, which is what fills its link.
"""

import asyncio
import json
import random

import aiohttp
import attrs
import pytest
from aiohttp.test_utils import TestServer
from loguru import logger

from lacewingstair.events import parse_event
from lacewingstair.vm.store_readers import READERS_PER_REGION
from tests import link_standin
from tests.link_standin import Link, LinkProxy
from tests.platform.store_standin import StoreStandIn
from tests.platform.test_configuration import document
from tests.platform.upstream_standin import UpstreamStandIn
from tests.test_sidecar import Vm, until

NARROW_BITS_PER_SECOND = 5e6
WIDE_BITS_PER_SECOND = 1e8
VMS = 12
LINK_DELAY_SECONDS = 0.005
# Routes as long as 1,650 usual ones, 190 kB. All VMs run on one event loop, which would
# be late for all if it decoded 1,650 routes for each of them.
ROUTES = 150
WORDS_OF_A_ROUTE = 150
WORDS = [
    f"{start}{end}"
    for start in ("dis", "con", "pre", "re")
    for end in ("patch", "firm", "fix", "load", "view", "tour", "serve", "feed")
]
STORM_VERSIONS = 20
STORM_GAP_SECONDS = 0.23
CALLS_PER_SECOND = 10
TIMEOUT_SECONDS = 3.0
# An answer that is ready this long before the deadline has to reach its caller in time.
WAY_SECONDS = 1.0
# Callers note when an answer comes, and wait for late ones.
LATE_SECONDS = 0.5
SPREAD_SECONDS = 3.0
CUT_SECONDS = 0.7
# What a VM may receive in a storm, in sizes of the newest document.
# Roles of VMs that start together settle as their links open.
SETTLE_SECONDS = 10.0
MAX_COPIES = 4.0
# Each version about once.
MAX_READER_COPIES = 1.1 * STORM_VERSIONS
CALL_PORT = 7110


@attrs.define
class Run:
    """A call at a backend server; times are those of the event loop."""

    started_at: float
    answered_at: float | None = None
    cut_at: float | None = None


class TimedUpstream(UpstreamStandIn):
    """Backend server whose calls take 0.3 to 1 s, drawn from the call's id."""

    def __init__(self, upstream_id, seed):
        super().__init__(upstream_id)
        self.seed = seed
        self.runs_by_id = {}

    async def _work(self, reader, request_id):
        self.seconds = random.Random(f"{self.seed} {request_id}").uniform(0.3, 1.0)
        loop = asyncio.get_running_loop()
        run = self.runs_by_id[request_id] = Run(loop.time())
        if await super()._work(reader, request_id):
            run.answered_at = loop.time()
            return True
        run.cut_at = loop.time()
        return False


@attrs.define
class CallRecord:
    """A call as its caller saw it; status 0 without an answer."""

    request_id: str
    deadline: float
    status: int = 0
    ended_at: float = 0.0
    body: str = ""


@attrs.define
class Report:
    """Calls of a storm that ended badly, and what explains them."""

    calls: int = 0
    statuses: dict = attrs.field(factory=dict)
    given_up: list = attrs.field(factory=list)
    cut: list = attrs.field(factory=list)
    late: list = attrs.field(factory=list)
    links_lost: int = 0
    links_silent: int = 0
    bytes_by_vm: dict = attrs.field(factory=dict)

    def summary(self):
        return (
            f"{self.calls} calls by status {self.statuses}: {len(self.given_up)} given "
            f"up, {len(self.cut)} cut, {len(self.late)} late; {self.links_lost} links "
            f"lost, {self.links_silent} silent; received {self.bytes_by_vm}; "
            f"{[*self.given_up[:3], *self.cut[:3], *self.late[:3]]}"
        )


class NarrowMesh:
    """VMs of two services in two zones, each behind a link of its own.

    The links of one service are narrow and those of the other are wide; the callers of
    each call the other one.
    """

    def __init__(self, seed):
        self.seed = seed
        self.rng = random.Random(seed)
        self.store = StoreStandIn()
        self.vms = []
        self.links_by_host = {}
        self.proxies = []
        self.records = []
        self.events = []
        self.number = 0
        self.calling = []
        self.document_bytes = 0
        self._server = TestServer(self.store.application())
        self._sink = None

    async def start(self):
        self._sink = logger.add(
            lambda message: self.events.append(parse_event(str(message))),
            format="{message}",
            level="INFO",
        )
        connector = aiohttp.TCPConnector(limit=0)
        self.session = aiohttp.ClientSession(connector=connector)
        await self._server.start_server()
        await self.publish(routes=0)
        for number in range(VMS):
            await self._start_vm(number)
        for vm in self.vms:
            assert await vm.report(self.session) == 200
        await until(self._is_linked, 10.0)

    async def _start_vm(self, number):
        name, zone = f"vm{number}", f"z{number * 2 // VMS}"
        if number % 2:
            service, caller_of, rate = "board", "book", WIDE_BITS_PER_SECOND
        else:
            service, caller_of, rate = "book", "board", NARROW_BITS_PER_SECOND
        link = Link(rate, LINK_DELAY_SECONDS)
        store_address = f"{self._server.host}:{self._server.port}"
        to_store = LinkProxy(store_address, None, {"127.0.0.1": link})
        await to_store.start()
        url = f"http://{to_store.address}"
        vm = Vm(name, service, url, zone, slots=24, grace="6s")
        vm.link_mbps = rate / 1e6
        vm.upstream = TimedUpstream(f"i-{name}", self.seed)
        vm.call_port = CALL_PORT
        vm.link, vm.caller_of = link, caller_of
        self.links_by_host[vm.host] = link
        to_vm = LinkProxy(f"{vm.host}:{CALL_PORT}", link, self.links_by_host)
        await to_vm.start(vm.host, 7100)
        self.proxies += [to_store, to_vm]
        self.vms.append(vm)

        async def start():
            link_standin.connect_from(vm.host)
            await vm.start()

        await asyncio.create_task(start())

    def _is_linked(self):
        return all(
            vm.sidecar.configurations.current.number == self.number
            and sum(link.load.is_open for link in vm.sidecar.links) == len(self.vms) - 1
            for vm in self.vms
        )

    async def publish(self, routes=ROUTES):
        """Write the next version, as the operator does."""
        self.number += 1
        data = configuration(self.number, routes)
        self.document_bytes = len(data)
        await self.store.put("keyed.op", "config", data)

    async def grow(self):
        """Bring a large configuration into force on all VMs."""
        await self.publish()
        await until(lambda: all(newest(vm) == self.number for vm in self.vms), 15.0)

    async def storm(self):
        for _ in range(STORM_VERSIONS):
            await self.publish()
            await asyncio.sleep(STORM_GAP_SECONDS)

    def begin_calls(self):
        """Let the callers of each VM send calls until `end_calls`."""
        self.calling = [asyncio.create_task(self._call_often(vm)) for vm in self.vms]

    async def end_calls(self, vm=None):
        """End the calls of one VM's callers, or of all."""
        chosen = self.calling if vm is None else [self.calling[self.vms.index(vm)]]
        for task in chosen:
            task.cancel()
        await asyncio.gather(*chosen, return_exceptions=True)

    async def settle(self):
        """Wait until each call has ended for its caller."""
        await until(
            lambda: all(record.ended_at for record in self.records),
            TIMEOUT_SECONDS + LATE_SECONDS + 5.0,
        )

    async def _call_often(self, vm):
        rng = random.Random(f"{self.seed} {vm.name}")
        calls = set()
        try:
            for number in range(10_000):
                calls.add(asyncio.create_task(self._call(vm, number)))
                await asyncio.sleep(rng.uniform(0.5, 1.5) / CALLS_PER_SECOND)
        finally:
            # The calls go on; the tasks are kept, so that none is lost.
            vm.open_calls = calls

    async def _call(self, vm, number):
        loop = asyncio.get_running_loop()
        request_id = f"{vm.name}-{number}"
        record = CallRecord(request_id, loop.time() + TIMEOUT_SECONDS)
        self.records.append(record)
        method, path = (("GET", "view"), ("POST", "load"))[number % 2]
        headers = {
            "Host": "a.example",
            "Request-Id": request_id,
            "Timeout-Ms": str(int(TIMEOUT_SECONDS * 1000)),
        }
        url = f"http://{vm.host}:7101/{vm.caller_of}/{path}/{number}"
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS + LATE_SECONDS):
                async with self.session.request(method, url, headers=headers) as answer:
                    record.body = (await answer.read()).decode()
                    record.status = answer.status
        except (aiohttp.ClientError, TimeoutError) as error:
            record.body = repr(error)
        finally:
            record.ended_at = loop.time()

    def report(self):
        """Return what became of the calls."""
        report = Report(len(self.records))
        for record in self.records:
            runs = [
                vm.upstream.runs_by_id[record.request_id]
                for vm in self.vms
                if record.request_id in vm.upstream.runs_by_id
            ]
            report.statuses[record.status] = report.statuses.get(record.status, 0) + 1
            self._judge(report, record, runs)
        names = [event.get("event") for event in self.events]
        report.links_lost = names.count("vm_lost")
        report.links_silent = names.count("vm_silent")
        report.bytes_by_vm = {vm.name: vm.link.inward.sent_bytes for vm in self.vms}
        return report

    def _judge(self, report, record, runs):
        is_served = record.status == 200 and record.ended_at <= record.deadline
        if runs and record.status in (0, 502) and record.ended_at < record.deadline:
            report.given_up.append((record.request_id, record.status, record.body))
        for run in runs:
            if run.cut_at is not None and run.cut_at < record.deadline:
                report.cut.append(record.request_id)
            answered_at = run.answered_at
            if answered_at is None or answered_at > record.deadline - WAY_SECONDS:
                continue
            if not is_served:
                report.late.append((record.request_id, record.status))

    async def close(self):
        await self.end_calls()
        await self.session.close()
        for vm in self.vms:
            await vm.stop()
        for proxy in self.proxies:
            await proxy.stop()
        await self._server.close()
        logger.remove(self._sink)


def newest(vm):
    return vm.sidecar.configurations.current.number


def configuration(number, fillers):
    """Return a document with the routes of the calls and further ones."""
    rows = []
    for service in ("board", "book"):
        for path, kind in (("view", "idempotent"), ("load", "non_idempotent")):
            name, prefix = f"{path}-{service}", f"/{service}/{path}/"
            rows.append(
                [name, "a.example", prefix, kind, "3s", "1.5s", 1, service, 2, None]
            )
    words = random.Random(0)
    for filler in range(fillers):
        path = "/".join(words.choices(WORDS, k=WORDS_OF_A_ROUTE))
        name, prefix = f"route-{filler:04}", f"/filler/{filler:04}/{path}/"
        rows.append(
            [name, "a.example", prefix, "idempotent", "3s", "1.5s", 1, "book", 2, None]
        )
    return json.dumps(document(number, rows)).encode()


def run_mesh(seed, check):
    """Return the result of a check on a mesh of VMs with narrow links."""

    async def main():
        mesh = NarrowMesh(seed)
        try:
            await mesh.start()
            return await check(mesh)
        finally:
            await mesh.close()

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(asyncio, "open_connection", link_standin.open_connection)
        return asyncio.run(main())


@pytest.mark.parametrize("seed", [1])
def test_full_links_make_no_vm_give_up_a_call_that_runs(seed):
    """Guards against a live VM that is taken for dead behind a full link (issue 15)."""

    async def check(mesh):
        await mesh.grow()
        mesh.begin_calls()
        await asyncio.sleep(0.5)
        storm = asyncio.create_task(mesh.storm())
        await asyncio.sleep(STORM_VERSIONS * STORM_GAP_SECONDS / 2)
        leaving = mesh.vms[mesh.rng.randrange(len(mesh.vms))]
        stopping = asyncio.create_task(leaving.sidecar.stop())
        await mesh.end_calls(leaving)
        await storm
        await mesh.end_calls()
        await mesh.settle()
        await stopping
        return mesh.report()

    report = run_mesh(seed, check)
    assert report.given_up == [], report.summary()
    assert report.cut == [], report.summary()
    assert report.late == [], report.summary()


@attrs.define
class Spread:
    """What a storm left behind.

    Parameters
    ----------
    number : int
        Newest version.
    numbers_by_vm, healed_numbers_by_vm : dict
        Versions in force `SPREAD_SECONDS` after the last write, and as long after the
        end of a silence.
    copies_by_vm : dict
        Bytes received since the storm began, in sizes of the newest document.
    readers : set
        VMs that read versions of the storm from the store, which answers a read with
        every version since the one before.
    """

    number: int
    numbers_by_vm: dict
    copies_by_vm: dict
    readers: set
    healed_numbers_by_vm: dict = attrs.field(factory=dict)

    def outdated(self):
        return self._older(self.numbers_by_vm)

    def outdated_after_silence(self):
        return self._older(self.healed_numbers_by_vm)

    def overfilled(self):
        return {
            vm: copies
            for vm, copies in self.copies_by_vm.items()
            if copies > (MAX_READER_COPIES if vm in self.readers else MAX_COPIES)
        }

    def _older(self, numbers_by_vm):
        found = numbers_by_vm.items()
        return {vm: number for vm, number in found if number < self.number}


async def spread_of(mesh, inject):
    """Write a storm while calls are under way, and wait for its spread."""
    await mesh.grow()
    await until(lambda: reading(mesh) == READERS_PER_REGION, SETTLE_SECONDS)
    mesh.begin_calls()
    await asyncio.sleep(0.5)
    before = {vm.name: vm.link.inward.sent_bytes for vm in mesh.vms}
    read_before = {vm.name: bytes_read(vm) for vm in mesh.vms}
    storm = asyncio.create_task(mesh.storm())
    excluded = await inject(mesh)
    await storm
    # The storm waits once more after its last write.
    await asyncio.sleep(SPREAD_SECONDS - STORM_GAP_SECONDS)
    copies_by_vm = {
        vm.name: (vm.link.inward.sent_bytes - before[vm.name]) / mesh.document_bytes
        for vm in mesh.vms
    }
    numbers = {vm.name: newest(vm) for vm in mesh.vms if vm not in excluded}
    copies_by_vm = {vm: round(copies, 1) for vm, copies in copies_by_vm.items()}
    readers = {
        vm.name
        for vm in mesh.vms
        if bytes_read(vm) - read_before[vm.name] > mesh.document_bytes / 2
    }
    return Spread(mesh.number, numbers, copies_by_vm, readers)


def reading(mesh):
    """Return how many VMs read the store; all do at their start."""
    return sum(vm.sidecar.operator_reading.is_reading for vm in mesh.vms)


def bytes_read(vm):
    return vm.sidecar.store.bytes_by_labels["log-read", "received"]


@pytest.mark.parametrize("seed", [1])
def test_a_storm_neither_fills_the_links_nor_delays_its_newest_version(seed):
    """Guards against VMs that receive each version, from each VM that has it."""

    async def check(mesh):
        async def no_faults(_):
            return ()

        return await spread_of(mesh, no_faults)

    spread = run_mesh(seed, check)
    assert spread.outdated() == {}, str(spread)
    assert spread.overfilled() == {}, str(spread)
    assert len(spread.readers) == READERS_PER_REGION, str(spread)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_faults_in_a_storm_keep_no_other_vm_from_the_newest_configuration(seed):
    """Guards against a VM that waits for a document from one that is gone."""

    async def check(mesh):
        silenced, cut, leaving = mesh.rng.sample(mesh.vms, 3)
        stops = []

        async def inject(_):
            for fault in mesh.rng.sample(("silence", "cut", "stop"), 3):
                await asyncio.sleep(mesh.rng.uniform(0.5, 1.0))
                if fault == "silence":
                    silenced.link.silence()
                elif fault == "cut":
                    cut.link.cut()
                    asyncio.get_running_loop().call_later(CUT_SECONDS, cut.link.heal)
                else:
                    stops.append(asyncio.create_task(leaving.sidecar.stop()))
            return silenced, leaving

        spread = await spread_of(mesh, inject)
        await mesh.end_calls()
        silenced.link.heal()
        await asyncio.sleep(SPREAD_SECONDS)
        spread.healed_numbers_by_vm[silenced.name] = newest(silenced)
        await asyncio.gather(*stops)
        return spread

    spread = run_mesh(seed, check)
    assert spread.outdated() == {}, str(spread)
    assert spread.outdated_after_silence() == {}, str(spread)
    assert spread.overfilled() == {}, str(spread)
    # Others take over from readers that are silenced, cut off or stopped.
    assert len(spread.readers) <= READERS_PER_REGION + 3, str(spread)
