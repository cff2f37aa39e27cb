"""Whole VMs of a platform with a metadata store, on loopback addresses."""

import asyncio
import itertools
import json
import os
import random

import aiohttp
import pytest
from aiohttp.test_utils import TestServer

from lacewingstair.runtime import SystemClock
from lacewingstair.settings.reader import parse_settings
from lacewingstair.sidecar import build
from tests.platform.store_standin import StoreStandIn
from tests.platform.test_configuration import document
from tests.platform.upstream_standin import UpstreamStandIn

ROUTES = [
    ["view", "a.example", "/view/", "idempotent", "1s", "600ms", 1, "board", 2, None],
    [
        "load",
        "a.example",
        "/load/",
        "non_idempotent",
        "1s",
        "600ms",
        1,
        "board",
        2,
        None,
    ],
]


# Each VM has an address of its own, whose ports no outgoing connection takes.
_numbers = itertools.count(1)


def own_address():
    number = next(_numbers)
    return f"127.{os.getpid() % 200 + 20}.{number // 250}.{number % 250 + 1}"


class Vm:
    """A sidecar with its backend server.

    Attributes
    ----------
    call_port : int
        Where streams of other VMs are accepted; its entry names port 7100.
    """

    def __init__(self, name, service, store_url, zone="z", slots=4, grace="3s"):
        self.name = name
        self.service = service
        self.store_url = store_url
        self.zone = zone
        self.slots = slots
        self.grace = grace
        self.upstream = UpstreamStandIn(f"i-{name}")
        self.sidecar = None
        self.host = own_address()
        self.call_port = 7100
        self.link_mbps = 0
        self.sequence = 0

    async def start(self):
        if not self.upstream.address:
            await self.upstream.start()
        self.text = self.settings_text()
        settings = parse_settings("test", self.text).unwrap()
        self.sidecar = build(settings, SystemClock(), random.Random(1))
        self.sidecar.call_server._address = f"{self.host}:{self.call_port}"
        assert (await self.sidecar.start()).is_ok()

    def settings_text(self):
        return f"""
[vm]
id = {self.name}
region = r
availability_zone = {self.zone}
address = {self.host}:7100
link_mbps = {self.link_mbps}
[caller]
address = {self.host}:7101
[backend_server]
address = {self.host}:7102
own_address = {self.upstream.address}
own_service = {self.service}
[operator]
address = {self.host}:7103
ready_address = {self.host}:7104
[platform]
interface = metadata_store
log_url = {self.store_url}
log_timeout_seconds = 1
bounds = grace={self.grace}
"""

    async def report(self, session, state="ready"):
        self.sequence += 1
        body = {
            "address": self.upstream.address,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": state, "seq": self.sequence, "cold_remaining": "0ms"},
        }
        url = f"http://{self.host}:7102/instances/{self.upstream.upstream_id}"
        async with session.put(url, json=body) as answer:
            return answer.status

    async def call(self, session, path="/view/1", method="GET", request_id="q1"):
        headers = {
            "Host": "a.example",
            "Request-Id": request_id,
            "Timeout-Ms": "900",
            "Caller-Service": "forged",
        }
        url = f"http://{self.host}:7101{path}"
        async with session.request(method, url, headers=headers) as answer:
            return answer.status, await answer.read(), answer.headers

    async def is_ready(self, session):
        url = f"http://{self.host}:7104/ready"
        async with session.get(url) as answer:
            return answer.status == 200

    async def stop(self):
        self.upstream.stop()
        await self.sidecar.close()


async def until(condition, seconds=4.0):
    async with asyncio.timeout(seconds):
        while not condition():  # noqa: ASYNC110 - the conditions are plain state
            await asyncio.sleep(0.01)


def with_mesh(check, services=("board", "board", "book")):
    async def main():
        store = StoreStandIn()
        server = TestServer(store.application())
        await server.start_server()
        await store.put("keyed.op", "config", configuration(1))
        url = str(server.make_url("")).rstrip("/")
        vms = [Vm(f"vm{n}", service, url) for n, service in enumerate(services)]
        for vm in vms:
            await vm.start()
        async with aiohttp.ClientSession() as session:
            for vm in vms:
                assert await vm.report(session) == 200
            await until(lambda: all(knows_all(vm, len(vms)) for vm in vms))
            await check(store, vms, session)
        for vm in vms:
            await vm.stop()
        await server.close()

    asyncio.run(main())


def knows_all(vm, count):
    links = [link for link in vm.sidecar.links if link.load.is_open]
    number = vm.sidecar.configurations.current.number
    return len(links) == count - 1 and number > 0


def configuration(number, routes=ROUTES):
    return json.dumps(document(number, routes)).encode()


def test_a_call_is_answered_by_a_backend_server_on_another_vm():
    async def check(_, vms, session):
        status, body, headers = await vms[2].call(session)
        assert (status, body) == (200, b"answer of q1")
        assert headers["Response-Signature"] == "s"
        heads = [head for vm in vms[:2] for head in vm.upstream.heads]
        assert len(heads) == 1
        assert heads[0][1]["Caller-Service"] == "book"
        assert await vms[2].is_ready(session)
        assert (await vms[2].call(session, "/none/1"))[0] == 404

    with_mesh(check)


def test_a_new_configuration_is_in_force_on_all_vms():
    async def check(store, vms, session):
        moved = [[*ROUTES[0][:7], "book", *ROUTES[0][8:]]]
        await store.put("keyed.op", "config", configuration(5, moved))
        await store.put("keyed.op", "config", configuration(4))
        await until(
            lambda: all(vm.sidecar.configurations.current.number == 5 for vm in vms)
        )
        status, _, _ = await vms[0].call(session)
        assert status == 200
        assert vms[2].upstream.runs == ["q1"]

    with_mesh(check)


def test_a_non_idempotent_call_whose_answer_is_lost_is_not_sent_again():
    """Guards against a confirmation that runs twice."""

    async def check(_, vms, session):
        for vm in vms[:2]:
            vm.upstream.behaviour = "reset"
        status, _, headers = await vms[2].call(session, "/load/1", "POST")
        assert status == 502
        assert "Retry-After" not in headers
        assert sum(len(vm.upstream.runs) for vm in vms) == 1

    with_mesh(check)


@pytest.mark.parametrize(
    "behaviour", ["endless interim answers", "endless chunk extension"]
)
def test_a_call_whose_answer_never_ends_may_have_run(behaviour):
    """Guards against a success or a false not-run for bytes that are no answer."""

    async def check(_, vms, session):
        for vm in vms[:2]:
            vm.upstream.behaviour = behaviour
        status, _, headers = await vms[2].call(session, "/load/1", "POST")
        assert status == 502
        assert "Not-Executed" not in headers and "Retry-After" not in headers
        for vm in vms[:2]:
            vm.upstream.behaviour = "ok"
        assert (await vms[2].call(session, "/load/2", "POST", "q2"))[0] == 200

    with_mesh(check)


@pytest.mark.parametrize(
    "behaviour", ["repeated refusal", "repeated refusal without id"]
)
def test_refusals_that_are_written_once_more_break_no_promise(behaviour):
    """Guards against calls that are said not to have run, or run twice, for them."""

    async def check(_, vms, session):
        for vm in vms[:2]:
            vm.upstream.behaviour = behaviour
            vm.upstream.seconds = 0.02
        statuses_by_id = {}
        for number in range(40):
            request_id = f"q{number}"
            status, _, _ = await vms[2].call(session, "/load/1", "POST", request_id)
            statuses_by_id[request_id] = status
        runs = [request_id for vm in vms for request_id in vm.upstream.runs]
        assert len(runs) == len(set(runs)) >= 20
        refused = {found for found, status in statuses_by_id.items() if status == 503}
        assert not refused & set(runs)

    with_mesh(check)


def test_a_call_refused_by_all_says_when_to_come_back():
    async def check(_, vms, session):
        for vm in vms[:2]:
            await vm.report(session, "draining")
        status, _, headers = await vms[2].call(session, "/load/1", "POST")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert not any(vm.upstream.heads for vm in vms)

    with_mesh(check)


def test_calls_go_on_while_the_store_is_down_and_a_restarted_vm_learns_from_others():
    """Guards against an outage of the store that stops calls or new processes."""

    async def check(store, vms, session):
        store.status = 503
        assert (await vms[2].call(session))[0] == 200
        await vms[0].sidecar.close()
        await vms[0].start()
        await vms[0].report(session)
        await until(lambda: vms[0].sidecar.configurations.current.number == 1)
        # Its backend server is asked whether it leaves as soon as the path is known.
        await until(lambda: vms[0].sidecar.gate.is_open, 0.5)
        assert (await vms[0].call(session, request_id="q2"))[0] == 200
        vms[1].upstream.stop()
        status, body, _ = await vms[2].call(session, request_id="q3")
        assert (status, body) == (200, b"answer of q3")

    with_mesh(check)


def test_an_entry_that_the_store_lost_is_back_soon():
    """Guards against a live VM that stays unknown after an outage of the store."""

    async def check(store, vms, session):
        older = store.newest("keyed.mesh")["vm0"][0]
        await vms[0].report(session, "draining")
        await until(lambda: store.newest("keyed.mesh")["vm0"][0] != older)
        await store.put("keyed.mesh", "vm0", older)
        await until(lambda: store.newest("keyed.mesh")["vm0"][0] != older, 2.0)

    with_mesh(check)


def test_a_planned_stop_finishes_its_calls_and_sends_new_ones_elsewhere():
    """Guards against calls that are cut by a planned stop."""

    async def check(_, vms, session):
        vms[0].upstream.seconds = vms[1].upstream.seconds = 0.3
        calls = [
            asyncio.create_task(vms[2].call(session, request_id=f"s{n}"))
            for n in range(4)
        ]
        own = asyncio.create_task(vms[0].call(session, request_id="own"))
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(vms[0].sidecar.stop())
        await asyncio.sleep(0.1)
        assert not await vms[0].is_ready(session)
        await until(lambda: vms[0].sidecar.gate.is_stopping, 0.9)
        await asyncio.sleep(0.1)
        before = len(vms[0].upstream.runs)
        assert (await vms[2].call(session, request_id="new"))[0] == 200
        assert "new" in vms[1].upstream.runs
        assert len(vms[0].upstream.runs) == before
        assert not await vms[0].is_ready(session)
        late = await vms[0].call(session, request_id="late")
        assert late[0] == 200
        assert {(await call)[0] for call in [*calls, own]} == {200}
        await stopping

    with_mesh(check)


def test_a_leaving_backend_server_gets_no_calls_from_any_vm():
    async def check(_, vms, session):
        assert await vms[0].report(session, "draining") == 200
        for number in range(6):
            status, _, _ = await vms[2].call(session, request_id=f"q{number}")
            assert status == 200
        assert vms[0].upstream.runs == []

    with_mesh(check)


def test_a_caller_that_leaves_ends_the_call_at_its_backend_server():
    async def check(_, vms, session):
        for vm in vms[:2]:
            vm.upstream.seconds = 0.8
        task = asyncio.create_task(vms[2].call(session))
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        cancelled = [vm.upstream.cancelled for vm in vms[:2]]
        await until(lambda: ["q1"] in cancelled, 0.5)

    with_mesh(check)


def test_a_restarted_process_opens_its_gate_before_the_next_report():
    """Guards against a backend server that is idle after each restart."""

    async def check(_, vms, session):
        await vms[0].sidecar.close()
        await vms[0].start()
        await until(lambda: vms[0].sidecar.gate.is_open, 1.0)
        vms[1].upstream.is_healthy = False
        await vms[1].sidecar.close()
        await vms[1].start()
        await asyncio.sleep(0.5)
        assert not vms[1].sidecar.gate.is_open
        await vms[1].report(session)
        assert not vms[1].sidecar.gate.is_open
        vms[1].upstream.is_healthy = True
        await until(lambda: vms[1].sidecar.gate.is_open, 1.0)

    with_mesh(check)


def test_settings_that_cannot_be_used_change_nothing_when_they_are_reloaded(tmp_path):
    """Guards against a running VM that a wrong file stops or changes."""

    async def check(_, vms, session):
        file = tmp_path / "vm.ini"
        file.write_text("[vm]\nregion = two words\n")
        before = vms[0].sidecar.bounds
        assert vms[0].sidecar.reload(str(file)).is_err()
        assert vms[0].sidecar.bounds == before
        file.write_text(vms[0].text.replace("grace=3s", "grace=9s"))
        assert vms[0].sidecar.reload(str(file)).is_ok()
        assert vms[0].sidecar.bounds.stop_ms == 9000
        assert (await vms[0].call(session))[0] == 200

    with_mesh(check)


def test_a_restarted_process_sends_no_calls_to_one_that_leaves():
    """Guards against a late report that opens the gate after a restart.

    The process before it acknowledged that its backend server leaves.
    """

    async def check(_, vms, session):
        vms[0].upstream.is_healthy = False
        await vms[0].sidecar.close()
        await vms[0].start()
        assert await vms[0].report(session) == 200
        await asyncio.sleep(0.3)
        before = len(vms[0].upstream.runs)
        for number in range(4):
            assert (await vms[2].call(session, request_id=f"q{number}"))[0] == 200
        assert len(vms[0].upstream.runs) == before
        vms[0].upstream.is_healthy = True
        await until(lambda: vms[0].sidecar.gate.is_open, 1.5)

    with_mesh(check)


def test_a_stop_serves_callers_that_still_come_and_cuts_none():
    """Guards against callers of a zone whose VMs stop together.

    The platform goes on sending callers to a VM that leaves while fewer than half of
    its zone's VMs are ready.
    """

    async def check(_, vms, session):
        for vm in vms[:2]:
            vm.upstream.seconds = 0.2
        loop = asyncio.get_running_loop()
        started = loop.time()
        stopping = asyncio.create_task(vms[2].sidecar.stop())
        answers = []

        async def call(number):
            at = loop.time() - started
            answers.append((at, *await vms[2].call(session, request_id=f"q{number}")))

        calls = []
        while loop.time() - started < 2.35:
            calls.append(asyncio.create_task(call(len(calls))))
            await asyncio.sleep(0.05)
        assert not stopping.done()
        await asyncio.gather(*calls)
        await stopping
        assert loop.time() - started < 3.0
        for at, status, _, headers in answers:
            # Calls have 0.9 s and take 0.2 s at least, and the process ends 2.4 s after
            # the signal; twice the slowest of them has to fit.
            assert status in (200, 503), at
            if at < 1.4:
                assert status == 200, at
            if at > 2.0:
                assert status == 503, at
            if status == 503:
                assert float(headers["Retry-After"]) < 1.0

    with_mesh(check)


def test_a_stop_without_a_backend_server_takes_all_of_its_time():
    """Guards against callers who find no listener on a VM that is being removed."""

    async def check(_, vms, session):
        url = f"http://{vms[0].host}:7102/instances/{vms[0].upstream.upstream_id}"
        async with session.delete(url) as answer:
            assert answer.status == 200
        loop = asyncio.get_running_loop()
        started = loop.time()
        stopping = asyncio.create_task(vms[0].sidecar.stop())
        await asyncio.sleep(2.3)
        assert not stopping.done()
        status, _, headers = await vms[0].call(session, request_id="late")
        assert (status, headers["Connection"]) == (503, "close")
        await stopping
        assert loop.time() - started < 3.0

    with_mesh(check)
